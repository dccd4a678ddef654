package main

import (
	_ "embed"
	"encoding/json"
)

// namesText maps this program's words to the names on the platform's wire, which Go sources outside the adapter do not contain.
//
//go:embed names.json
var namesText []byte

// names are the names on the wire, by this program's words.
var names = func() (list map[string]string) {
	if err := json.Unmarshal(namesText, &list); err != nil {
		panic(err) // an error in the script
	}
	return list
}()

// wire returns the name on the wire for one of this program's words.
func wire(word string) string {
	name, known := names[word]
	if !known {
		panic("no name on the wire for " + word) // an error in the script
	}
	return name
}
