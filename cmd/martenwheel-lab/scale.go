package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/lab/scale"
)

// scaleCommand measures what the control side costs a node, with hollow nodes
// in this process.
func scaleCommand() command {
	options := scale.Options{Steps: []int{}, Wakes: 10, Edits: 3, Seed: 1}
	sub := flaggy.NewSubcommand("scale")
	sub.Description = "Measures the control side of hollow nodes at several sizes."
	sub.IntSlice(&options.Steps, "", "nodes", "number of nodes, once for each run (default 7, 15, 30 and 60)")
	sub.Int(&options.Servers, "", "servers", "number of servers (0: in proportion to the nodes)")
	sub.Int(&options.Models, "", "models", "number of models (0: in proportion to the nodes)")
	sub.Int(&options.Adapters, "", "adapters", "number of adapters (0: in proportion to the nodes)")
	sub.Int(&options.Wakes, "", "wakes", "idle models to wake in each run")
	sub.Int(&options.Edits, "", "edits", "changes of the tree in each run")
	sub.UInt64(&options.Seed, "", "seed", "seed of the random choices")
	sub.String(&options.JSON, "", "json", "file for the figures as JSON")
	run := func(ctx context.Context) (int, error) {
		if len(options.Steps) == 0 {
			options.Steps = []int{7, 15, 30, 60}
		}
		err := scale.Command(ctx, options, os.Stdout, os.Stderr)
		switch {
		case ctx.Err() != nil:
			return exitBrokenOff, err
		case err != nil:
			return exitFailed, err
		default:
			return exitDone, nil
		}
	}
	return command{Subcommand: sub, run: run}
}
