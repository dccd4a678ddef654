package main

import (
	_ "embed"
	"encoding/json"
)

// namesText maps this program's words to the names on the platform's wire, which Go sources outside the adapter don't
// contain.
//
//go:embed names.json
var namesText []byte

// names are the names on the wire, by this program's words.
var names = func() map[string]string {
	var list map[string]string
	if err := json.Unmarshal(namesText, &list); err != nil {
		panic(err)
	}
	return list
}()

// wire returns a name on the wire.
func wire(word string) string {
	name, known := names[word]
	if !known {
		panic("no name for " + word)
	}
	return name
}
