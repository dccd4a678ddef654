package lab

import (
	"context"
	"time"

	"martenwheel.dev/pkg/policy"
)

// Options are what a run is determined by, and how it shows its progress.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	Policy   string  // name of a decider; empty: the default
	Faults   Faults  // empty: none
	Control  Control // empty: DefaultControl
	// Progress is called now and then with the virtual time that has passed.
	Progress func(time.Duration)
}

// DefaultControl returns the control plane that runs with the faults: the ideal
// one compares policies by their decisions alone, the real one has to stand
// failures.
func DefaultControl(faults Faults) Control {
	if faults == FaultsNone {
		return ControlCentral
	}
	return ControlDistributed
}

// Run runs a scenario to its end. When ctx ends before, the result covers the
// time until then and is marked as partial.
func Run(ctx context.Context, options Options) (*Result, *Series, error) {
	if options.Policy == "" {
		options.Policy = policy.Names()[0]
	}
	if options.Faults == "" {
		options.Faults = FaultsNone
	}
	if options.Control == "" {
		options.Control = DefaultControl(options.Faults)
	}
	w, err := newWorld(options.Scenario, options.Seed, options.Control, options.Policy)
	if err != nil {
		return nil, nil, err
	}
	if err := w.scheduleFaults(options.Faults, newRandom(options.Seed, streamFaults)); err != nil {
		return nil, nil, err
	}
	complete := w.run(ctx, options.Progress)
	result, series := w.result(options, complete)
	return result, series, nil
}
