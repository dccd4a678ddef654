// Command standin2 plays the scripts of the second review: it starts nodes of the product as processes, beside stand-ins of the
// platform's store, of its servers and of its callers in this process.
package main

import (
	"fmt"
	"os"
)

// scripts are the scripts by the number of their case. Each returns the exit status.
var scripts = map[string]func(rec *record, folder string, trouble bool) int{
	"4": continued,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil || os.Getenv("NODE_COMMAND") == "" {
		fmt.Fprintln(os.Stderr, "usage: NODE_COMMAND=COMMAND standin2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(number, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with trouble: %t", number, trouble)
	status := scripts[number](rec, folder, trouble)
	rec.add("exit status %d", status)
	return status
}
