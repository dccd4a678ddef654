package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/cli"
	"martenwheel.dev/pkg/node"
	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/platform"
)

// newNodeCommand returns the "node" command, which runs a node in this process.
func newNodeCommand() cli.Extra {
	command := flaggy.NewSubcommand("node")
	command.Description = "run a node; SIGTERM or an interrupt begins a planned stop"
	command.AdditionalHelpAppend = "Example:\n  martenwheel node --settings node-a.yaml --node-zone zone-a"
	path := ""
	command.String(&path, "s", "settings", "settings file (YAML); every setting of it is also a flag")
	flags := settings.Bind(command)
	run := func(streams cli.Streams) int {
		if given, found := platform.SettingsPath(); found && path == "" {
			return runOnPlatform(streams, given)
		}
		return runNode(streams, path, flags.Overrides())
	}
	return cli.Extra{Command: command, Run: run}
}

// runOnPlatform runs a node configured by the settings file that the hosting platform provides. It
// logs to stdout.
func runOnPlatform(streams cli.Streams, path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := platform.Run(ctx, platform.Options{Path: path, Version: cli.Version(), Logs: streams.Out}); err != nil {
		fmt.Fprintln(streams.Err, err)
		return cli.ExitRefused
	}
	return cli.ExitOK
}

// runNode runs a node. It prints the node's addresses as one JSON line on stdout once the node
// listens, and logs to stderr.
func runNode(streams cli.Streams, path string, overrides map[string]string) int {
	loaded, err := settings.Load(path, overrides)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return cli.ExitRefused
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started, err := node.New(node.Options{Settings: loaded, Version: cli.Version(), Logs: streams.Err})
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return cli.ExitRefused
	}
	if err := json.NewEncoder(streams.Out).Encode(started.Addresses()); err != nil {
		fmt.Fprintln(streams.Err, "cannot print the addresses:", err)
	}
	if err := started.Run(ctx); err != nil {
		fmt.Fprintln(streams.Err, err)
		return cli.ExitRefused
	}
	return cli.ExitOK
}
