package lab

import (
	"context"
	"time"

	"martenwheel.dev/pkg/policy"
)

// Options are the parameters of a run.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	Policy   string  // name of a decider; empty: the default
	Faults   Faults  // empty: none
	Control  Control // empty: DefaultControl
	// Progress, if set, is called regularly with the virtual time that has passed.
	Progress func(time.Duration)
}

// DefaultControl returns the default control plane for a schedule of faults. Without faults this is
// the ideal one, which compares policies by their decisions alone; with faults it is the real one,
// which has to tolerate them.
func DefaultControl(faults Faults) Control {
	if faults == FaultsNone {
		return ControlCentral
	}
	return ControlDistributed
}

// Run runs a scenario to its end. If ctx ends earlier, the result covers the time until then and is
// marked as partial.
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
	sim, err := newSimulation(options.Scenario, options.Seed, options.Control, options.Policy)
	if err != nil {
		return nil, nil, err
	}
	if err := sim.scheduleFaults(options.Faults, newRandom(options.Seed, streamFaults)); err != nil {
		return nil, nil, err
	}
	complete := sim.run(ctx, options.Progress)
	result, series := sim.result(options, complete)
	return result, series, nil
}
