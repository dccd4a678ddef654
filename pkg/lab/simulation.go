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

// simulation is the state of a simulation run.
type simulation struct {
	scenario          *Scenario
	clock             *clock
	random            *rand.Rand
	models            []*model
	byName            map[api.ModelName]*model
	trace             *trace
	network           *network
	store             *weightStore
	engines           []*emulatedEngine
	nodes             []*node
	plane             controlPlane
	checker           *checker
	meter             *meter
	wakesWithRefusals [][]int // by model index: wakes with refused first requests
	ended             bool    // no more requests and faults
	endedAt           time.Duration
	faultCounts       map[Faults]int // number of injected faults by kind
	badParts          badParts
	listChanges       listChanges
	endlessRuns       int  // answers without end
	cameBack          int  // times that an engine served again after it had answered without end
	keepsAnswers      bool // nodes hold what they read of answers without a bound
	brokenAnswers     int  // parts of answers that were reset under their upload
	trustsEnds        bool // nodes take such a part for a whole answer
	lostAnswers       lostAnswers
	trustsResets      bool // nodes take a run for over if the call that stops it is reset
}

// controlPlane decides where models are loaded, and updates the nodes.
type controlPlane interface {
	// report receives a node's demand for a model.
	report(n *node, model int, demand api.ModelDemand)
	// itemChanged is called when an engine has finished a load or an unload.
	itemChanged(e *emulatedEngine, m *model)
	// engineChanged is called when an engine is leaving, has died or has come back.
	engineChanged(e *emulatedEngine)
	// zonesReconnected is called when zones reach each other again.
	zonesReconnected()
	// nodeStarted is called when a node has started; it knows no replicas yet.
	nodeStarted(n *node)
}

// newSimulation builds the simulation of a scenario.
func newSimulation(scenario *Scenario, seed uint64, plane Control, policyName string) (*simulation, error) {
	sim := &simulation{scenario: scenario, clock: &clock{}, random: newRandom(seed, streamSimulation), faultCounts: make(map[Faults]int)}
	sim.models = generateCatalog(scenario, newRandom(seed, streamCatalog))
	sim.byName = make(map[api.ModelName]*model, len(sim.models))
	for _, m := range sim.models {
		sim.byName[m.name] = m
	}
	sim.trace = generateTrace(scenario, sim.models, newRandom(seed, streamTrace))
	sim.wakesWithRefusals = make([][]int, len(sim.models))
	sim.network = newNetwork(sim.clock, scenario)
	sim.store = newWeightStore(sim.clock, scenario.WeightStore)
	sim.meter = newMeter(scenario)
	sim.checker = newChecker(sim)
	sim.addEngines()
	sim.warmCaches()
	sim.addNodes()
	if err := sim.addPlane(plane, policyName); err != nil {
		return nil, err
	}
	for _, n := range sim.nodes {
		n.restart()
	}
	sim.scheduleArrivals(0)
	return sim, nil
}

// Control names a kind of control plane.
type Control string

// The kinds of control planes.
const (
	ControlCentral     Control = "central"     // one ideal owner per service
	ControlDistributed Control = "distributed" // the real control machines
)

// addPlane adds the control plane.
func (sim *simulation) addPlane(plane Control, policyName string) error {
	decider, ok := policy.ByName(policyName)
	if !ok {
		return errors.Errorf("unknown policy %q; known are %s", policyName, strings.Join(policy.Names(), ", "))
	}
	switch plane {
	case ControlCentral:
		sim.plane = newCentralPlane(sim, decider)
		return nil
	case ControlDistributed:
		distributed, err := newDistributedPlane(sim, policyName)
		sim.plane = distributed
		return err
	default:
		return errors.Errorf("unknown control plane %q; known are %s, %s", plane, ControlCentral, ControlDistributed)
	}
}

// addEngines adds the servers of all services, spread over the zones.
func (sim *simulation) addEngines() {
	for i := range sim.scenario.Services {
		service := &sim.scenario.Services[i]
		for j := range service.Servers {
			e := &emulatedEngine{
				sim: sim, id: api.ServerID(fmt.Sprintf("%s-s%02d", service.Name, j)),
				address: fmt.Sprintf("10.%d.0.%d:8000", i, j+1),
				service: i, software: 1, zone: j % len(sim.scenario.Zones), caches: &service.Caches,
				capacity: uint64(float64(service.Accelerators) * service.AcceleratorGigabytes * gigabyte),
				items:    make([]*item, len(sim.models)),
			}
			e.restart(true)
			sim.engines = append(sim.engines, e)
		}
	}
}

// warmCaches fills the caches with their initial checkpoints.
func (sim *simulation) warmCaches() {
	for i := range sim.scenario.Services {
		servers := sim.serviceEngines(i)
		caches := &sim.scenario.Services[i].Caches
		for _, m := range sim.models {
			if m.service != i {
				continue
			}
			e := servers[sim.random.IntN(len(servers))]
			place := sim.random.Float64()
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
func (sim *simulation) serviceEngines(service int) []*emulatedEngine {
	var engines []*emulatedEngine
	for _, e := range sim.engines {
		if e.service == service {
			engines = append(engines, e)
		}
	}
	return engines
}

// addNodes adds the nodes, spread over the zones.
func (sim *simulation) addNodes() {
	for i := range sim.scenario.Nodes {
		sim.nodes = append(sim.nodes, &node{
			sim: sim, index: i, id: api.NodeID(fmt.Sprintf("node-%02d", i)),
			zone: i % len(sim.scenario.Zones), queues: make([]*modelQueue, len(sim.models)), chooser: routing.NewDefaultChooser(),
		})
	}
}

// scheduleArrivals schedules the next request of the trace, which then schedules the one after it.
func (sim *simulation) scheduleArrivals(next int) {
	if next == len(sim.trace.arrivals) {
		return
	}
	sim.clock.at(sim.trace.arrivals[next].at, func() {
		if sim.ended {
			return
		}
		sim.arrive(next)
		sim.scheduleArrivals(next + 1)
	})
}

// eventsPerCheck is how many events run between two checks of the context.
const eventsPerCheck = 4096

// run runs the simulation until its end or until ctx ends, and reports whether it reached its end.
func (sim *simulation) run(ctx context.Context, progress func(time.Duration)) bool {
	end := sim.scenario.Duration
	for {
		for range eventsPerCheck {
			if !sim.clock.step(end) {
				sim.finish()
				return true
			}
		}
		if ctx.Err() != nil {
			sim.finish()
			return false
		}
		if progress != nil {
			progress(sim.clock.elapsed)
		}
	}
}

// finish lets the requests in progress end, without counting further accelerator hours, and
// completes the counts.
func (sim *simulation) finish() {
	sim.ended = true
	sim.endedAt = sim.clock.elapsed
	for _, e := range sim.engines {
		for _, it := range e.items {
			if it != nil {
				e.meter(it)
			}
		}
	}
	sim.meter.closed = true
	longest := time.Duration(0)
	for _, m := range sim.models {
		longest = max(longest, m.settings.Deadline)
	}
	end := sim.clock.elapsed + longest + 2*answerGrace
	for sim.clock.step(end) {
	}
	sim.checker.finish()
}
