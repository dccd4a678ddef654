// Command martenwheel runs a node of martenwheel, and is the operators' command line.
package main

import (
	"os"

	"martenwheel.dev/pkg/cli"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(os.Args[1:], streams, newNodeCommand(), newDemoCommand()))
}
