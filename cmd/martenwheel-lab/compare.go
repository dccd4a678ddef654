package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/lab"
)

// maxCompared is the maximum number of runs in one comparison; flaggy needs a positional value for
// each.
const maxCompared = 100

// compareCommand returns the "compare" subcommand.
func compareCommand() command {
	var out string
	directories := make([]string, maxCompared)
	c := flaggy.NewSubcommand("compare")
	c.Description = "Print a table of the runs in DIR DIR... and, with --out, plot them."
	c.String(&out, "", "out", "Directory for report.html with the frontier of the runs")
	for i := range directories {
		c.AddPositionalValue(&directories[i], fmt.Sprintf("DIR%d", i+1), i+1, i == 0, "Result directory of a run")
		c.PositionalFlags[i].Hidden = i > 1
	}
	return command{c, func(context.Context) (int, error) {
		given := directories
		for i, directory := range directories {
			if directory == "" {
				given = directories[:i]
				break
			}
		}
		return compare(given, out)
	}}
}

// compare prints a table of the runs, and plots them if out is given.
func compare(directories []string, out string) (int, error) {
	if err := lab.Compare(os.Stdout, directories); err != nil {
		return exitFailed, err
	}
	if out == "" {
		return exitDone, nil
	}
	if err := lab.WriteComparison(out, directories); err != nil {
		return exitFailed, err
	}
	return exitDone, nil
}

// reportCommand returns the "report" subcommand, which writes a run's report again.
func reportCommand() command {
	var directory string
	c := flaggy.NewSubcommand("report")
	c.Description = "Write DIR/report.html from DIR/result.json and DIR/series.json."
	c.AddPositionalValue(&directory, "DIR", 1, true, "Result directory of a run")
	return command{c, func(context.Context) (int, error) {
		if err := lab.WriteReport(directory); err != nil {
			return exitFailed, err
		}
		return exitDone, nil
	}}
}
