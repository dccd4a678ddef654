package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/cli"
	"martenwheel.dev/pkg/demo"
)

// newDemoCommand returns the "demo" command, which runs a site in a single process.
func newDemoCommand() cli.Extra {
	command := flaggy.NewSubcommand("demo")
	command.Description = "run a small site on 127.0.0.1 with stand-ins for the platform and the engines"
	command.AdditionalHelpAppend = "Examples:\n  martenwheel demo\n  martenwheel demo --once"
	once, logs := false, false
	command.Bool(&once, "", "once", "stop after the first answers; the exit code tells whether they came")
	command.Bool(&logs, "", "logs", "write the nodes' logs to stderr")
	run := func(streams cli.Streams) int { return runDemo(streams, once, logs) }
	return cli.Extra{Command: command, Run: run}
}

func runDemo(streams cli.Streams, once, logs bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := demo.Options{Once: once, Version: cli.Version(), Out: streams.Out, Logs: io.Discard}
	if logs {
		options.Logs = streams.Err
	}
	if err := demo.Run(ctx, options); err != nil {
		fmt.Fprintln(streams.Err, "demo failed:", err)
		return cli.ExitRefused
	}
	return cli.ExitOK
}
