package lab

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/policy"
)

// Options are what a run is determined by, and how it shows its progress.
type Options struct {
	Scenario *Scenario
	Seed     uint64
	Policy   string // name of a decider; empty: the default
	Faults   Faults // empty: none
	// Progress is called now and then with the virtual time that has passed.
	Progress func(time.Duration)
}

// Run runs a scenario to its end. When ctx ends before, the result covers the
// time until then and is marked as partial.
func Run(ctx context.Context, options Options) (*Result, *Series, error) {
	if options.Policy == "" {
		options.Policy = policy.Names()[0]
	}
	decider, ok := policy.ByName(options.Policy)
	if !ok {
		return nil, nil, errors.Errorf("unknown policy %q; known are %s", options.Policy, strings.Join(policy.Names(), ", "))
	}
	w := newWorld(options.Scenario, options.Seed, decider)
	if err := w.scheduleFaults(options.Faults, newRandom(options.Seed, streamFaults)); err != nil {
		return nil, nil, err
	}
	complete := w.run(ctx, options.Progress)
	result, series := w.result(options, complete)
	return result, series, nil
}
