package scale

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Options are those of the command "scale".
type Options struct {
	Steps    []int  // numbers of nodes, one run each
	Servers  int    // 0: in proportion to the nodes, as for the two below
	Models   int    // without adapters
	Adapters int    // of all models
	Wakes    int    // idle models woken in each run
	Edits    int    // of the tree in each run
	Seed     uint64 // of the random choices
	JSON     string // file for the reports as JSON; empty: none
}

// Command runs the steps, with progress on errorOutput, and prints a table on
// output. After a failure or when ctx ends it prints what was measured so far, and
// marks the last run as partial.
func Command(ctx context.Context, options Options, output, errorOutput io.Writer) error {
	if len(options.Steps) == 0 {
		return errors.New("scale: no number of nodes")
	}
	var reports []Report
	var failure error
	for _, nodes := range options.Steps {
		report, err := Run(ctx, Config{
			Nodes: nodes, Servers: options.Servers, Models: options.Models, Adapters: options.Adapters,
			Wakes: options.Wakes, Edits: options.Edits, Seed: options.Seed, Progress: errorOutput,
		})
		if err != nil {
			report.Failure = err.Error()
			failure = err
		}
		reports = append(reports, report)
		if err != nil {
			break
		}
	}
	if err := WriteTable(output, reports); err != nil {
		return err
	}
	if options.JSON == "" {
		return failure
	}
	file, err := os.Create(options.JSON)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := WriteJSON(file, reports); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errors.WithStack(err)
	}
	return failure
}
