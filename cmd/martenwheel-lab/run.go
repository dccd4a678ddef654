package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/lab"
	"martenwheel.dev/pkg/policy"
)

// runFlags holds the flags of the "run" subcommand.
type runFlags struct {
	scenario string
	seed     uint64
	policy   string
	set      []string
	faults   string
	control  string
	out      string
}

// runCommand returns the "run" subcommand.
func runCommand() command {
	flags := runFlags{seed: 1, policy: policy.Names()[0], faults: string(lab.FaultsNone)}
	c := flaggy.NewSubcommand("run")
	c.Description = "Run a scenario and write DIR/result.json and DIR/report.html."
	c.String(&flags.scenario, "", "scenario", "File, or one of "+strings.Join(lab.ScenarioNames(), ", "))
	c.UInt64(&flags.seed, "", "seed", "Seed of the run")
	c.String(&flags.policy, "", "policy", "One of "+strings.Join(policy.Names(), ", "))
	c.StringSlice(&flags.set, "", "set", "path=value in the scenario; may be repeated")
	c.String(&flags.faults, "", "faults", fmt.Sprintf("One of %v", lab.AllFaults()))
	c.String(&flags.control, "", "control", fmt.Sprintf("Control plane, %s or %s (default: %s without faults, %s with)",
		lab.ControlCentral, lab.ControlDistributed, lab.DefaultControl(lab.FaultsNone), lab.DefaultControl(lab.FaultsMixed)))
	c.String(&flags.out, "", "out", "Directory for the results")
	return command{c, func(ctx context.Context) (int, error) { return run(ctx, flags) }}
}

// run runs a scenario with the given flags.
func run(ctx context.Context, flags runFlags) (int, error) {
	if flags.scenario == "" || flags.out == "" {
		return exitUsage, errors.New("run needs --scenario and --out; see martenwheel-lab run --help")
	}
	scenario, err := lab.LoadScenario(flags.scenario, flags.set)
	if err != nil {
		return exitUsage, err
	}
	options := lab.Options{
		Scenario: scenario, Seed: flags.seed, Policy: flags.policy,
		Faults: lab.Faults(flags.faults), Control: lab.Control(flags.control), Progress: progress(scenario.Duration),
	}
	result, series, err := lab.Run(ctx, options)
	if err != nil {
		return exitUsage, err
	}
	if err := lab.Write(flags.out, result, series); err != nil {
		return exitFailed, err
	}
	if err := lab.WriteReport(flags.out); err != nil {
		return exitFailed, err
	}
	if err := lab.Compare(os.Stdout, []string{flags.out}); err != nil {
		return exitFailed, err
	}
	return verdict(result), nil
}

// verdict returns the exit code for a result. A violation takes precedence over an interrupted run.
func verdict(result *lab.Result) int {
	switch requests := result.Requests; {
	case result.Violations.Sum()+requests.Lost+requests.Duplicated+requests.Mixed > 0:
		return exitViolations
	case result.Partial:
		return exitInterrupted
	default:
		return exitDone
	}
}

// progressInterval is the minimum time between two updates of the progress line.
const progressInterval = 200 * time.Millisecond

// progress returns a function that prints the progress of a run, or nil if stderr is not a
// terminal.
func progress(total time.Duration) func(time.Duration) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	last := time.Now()
	return func(elapsed time.Duration) {
		if time.Since(last) < progressInterval {
			return
		}
		last = time.Now()
		fmt.Fprintf(os.Stderr, "\r%3.0f%%  %s of %s ", 100*elapsed.Seconds()/total.Seconds(), elapsed.Round(time.Minute), total)
	}
}
