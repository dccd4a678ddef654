package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/traffic/routing"
)

// world is everything of a run.
type world struct {
	scenario  *Scenario
	clock     *clock
	random    *rand.Rand
	models    []*model
	byName    map[api.ModelName]*model
	trace     *trace
	network   *network
	store     *weightStore
	engines   []*emulatedEngine
	nodes     []*node
	plane     controlPlane
	judge     *judge
	meter     *meter
	openWakes [][]int // by model, wakes with refused first requests
	ended     bool    // no more requests and failures
	endedAt   time.Duration
	failures  map[Faults]int // that happened, by their kind
}

// controlPlane is what decides where models are loaded and tells the nodes.
type controlPlane interface {
	// report takes a node's demand of a model.
	report(n *node, model int, demand api.ModelDemand)
	// itemChanged notes that an engine finished a load or an unload.
	itemChanged(e *emulatedEngine, m *model)
	// engineChanged notes that an engine is leaving, died or came back.
	engineChanged(e *emulatedEngine)
	// healed notes that zones reach each other again.
	healed()
	// nodeStarted notes that a node started and knows nothing.
	nodeStarted(n *node)
}

// newWorld builds the emulator of a scenario.
func newWorld(scenario *Scenario, seed uint64, plane Control, policyName string) (*world, error) {
	w := &world{scenario: scenario, clock: &clock{}, random: newRandom(seed, streamWorld), failures: make(map[Faults]int)}
	w.models = makeCatalog(scenario, newRandom(seed, streamCatalog))
	w.byName = make(map[api.ModelName]*model, len(w.models))
	for _, m := range w.models {
		w.byName[m.name] = m
	}
	w.trace = makeTrace(scenario, w.models, newRandom(seed, streamTrace))
	w.openWakes = make([][]int, len(w.models))
	w.network = newNetwork(w.clock, scenario)
	w.store = newWeightStore(w.clock, scenario.WeightStore)
	w.meter = newMeter(scenario)
	w.judge = newJudge(w)
	w.addEngines()
	w.warmCaches()
	w.addNodes()
	if err := w.addPlane(plane, policyName); err != nil {
		return nil, err
	}
	for _, n := range w.nodes {
		n.restart()
	}
	w.scheduleArrivals(0)
	return w, nil
}

// Control names a control plane.
type Control string

// The control planes.
const (
	ControlCentral     Control = "central"     // one ideal owner per service
	ControlDistributed Control = "distributed" // the real control machines
)

// addPlane builds the control plane.
func (w *world) addPlane(plane Control, policyName string) error {
	decider, ok := policy.ByName(policyName)
	if !ok {
		return errors.Errorf("unknown policy %q; known are %s", policyName, strings.Join(policy.Names(), ", "))
	}
	switch plane {
	case ControlCentral:
		w.plane = newCentralPlane(w, decider)
		return nil
	case ControlDistributed:
		distributed, err := newDistributedPlane(w, policyName)
		w.plane = distributed
		return err
	default:
		return errors.Errorf("unknown control plane %q; known are %s, %s", plane, ControlCentral, ControlDistributed)
	}
}

// addEngines builds the servers of all services, spread over the zones.
func (w *world) addEngines() {
	for i := range w.scenario.Services {
		service := &w.scenario.Services[i]
		for j := range service.Servers {
			e := &emulatedEngine{
				world: w, id: api.ServerID(fmt.Sprintf("%s-s%02d", service.Name, j)),
				address: fmt.Sprintf("10.%d.0.%d:8000", i, j+1),
				service: i, zone: j % len(w.scenario.Zones), caches: &service.Caches,
				capacity: uint64(float64(service.Accelerators) * service.AcceleratorGigabytes * gigabyte),
				items:    make([]*item, len(w.models)),
			}
			e.restart(true)
			w.engines = append(w.engines, e)
		}
	}
}

// warmCaches puts checkpoints into the caches as they are at the start.
func (w *world) warmCaches() {
	for i := range w.scenario.Services {
		servers := w.serviceEngines(i)
		caches := &w.scenario.Services[i].Caches
		for _, m := range w.models {
			if m.service != i {
				continue
			}
			e := servers[w.random.IntN(len(servers))]
			place := w.random.Float64()
			if place < caches.InitiallyOnDisk {
				e.disk.put(m)
			}
			if place < caches.InitiallyInMemory {
				e.memory.put(m)
			}
		}
	}
}

// serviceEngines returns the engines of a service.
func (w *world) serviceEngines(service int) []*emulatedEngine {
	var engines []*emulatedEngine
	for _, e := range w.engines {
		if e.service == service {
			engines = append(engines, e)
		}
	}
	return engines
}

// addNodes builds the nodes, spread over the zones.
func (w *world) addNodes() {
	for i := range w.scenario.Nodes {
		w.nodes = append(w.nodes, &node{
			world: w, index: i, id: api.NodeID(fmt.Sprintf("node-%02d", i)),
			zone: i % len(w.scenario.Zones), queues: make([]*modelQueue, len(w.models)), chooser: routing.NewDefaultChooser(),
		})
	}
}

// scheduleArrivals lets the next request of the trace arrive, and the one
// after it.
func (w *world) scheduleArrivals(next int) {
	if next == len(w.trace.arrivals) {
		return
	}
	w.clock.at(w.trace.arrivals[next].at, func() {
		if w.ended {
			return
		}
		w.arrive(next)
		w.scheduleArrivals(next + 1)
	})
}

// eventsPerCheck is how many events happen between two looks at the context.
const eventsPerCheck = 4096

// run lets the world go on until the end, or until ctx ends. It tells whether
// it came to the end.
func (w *world) run(ctx context.Context, progress func(time.Duration)) bool {
	end := w.scenario.Duration
	for {
		for range eventsPerCheck {
			if !w.clock.step(end) {
				w.settle()
				return true
			}
		}
		if ctx.Err() != nil {
			w.settle()
			return false
		}
		if progress != nil {
			progress(w.clock.elapsed)
		}
	}
}

// settle lets the requests under way end, without counting hours any more, and
// closes the books.
func (w *world) settle() {
	w.ended = true
	w.endedAt = w.clock.elapsed
	for _, e := range w.engines {
		for _, it := range e.items {
			if it != nil {
				e.meter(it)
			}
		}
	}
	w.meter.closed = true
	longest := time.Duration(0)
	for _, m := range w.models {
		longest = max(longest, m.settings.Deadline)
	}
	end := w.clock.elapsed + longest + 2*patience
	for w.clock.step(end) {
	}
	w.judge.finish()
}
