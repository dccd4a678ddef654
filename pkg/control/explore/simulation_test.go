package explore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/control/internal/switches"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/policy"
)

const (
	region      = "uy-south"
	serviceName = "assistant"
	cellName    = api.CellName("assistant@uy-south")
	callTimeout = 2 * time.Second // time until a call without an answer has an unknown outcome
)

// odds are the probabilities of random faults.
type odds struct {
	lost       float64 // a message or a call is lost
	answerLost float64 // the answer to a call that took effect is lost
	duplicated float64 // a message or a call is delivered twice
	late       float64 // a message is delayed by up to 15 seconds
	loadFails  float64 // a load fails
}

// simulation holds everything outside the control machines, under virtual time.
type simulation struct {
	start    time.Time
	now      time.Time
	random   *rand.Rand
	odds     odds
	unsafe   switches.Set
	queue    eventQueue
	sequence int

	nodes       []*node
	servers     []*simEngine
	table       *simTable
	listHistory []platform.MachineList // history of the machine list, newest last
	listDown    bool
	listLag     time.Duration
	cuts        map[string]bool
	trees       []*settings // accepted revisions of the settings tree
	treeDown    bool
	models      []api.ModelName
	decider     func(name string) policy.Decider

	onSend        func(from *node, message control.SendPeer)
	onOrder       func(control.OrderEngine) // is called with each order as it is sent
	ownMembership bool                      // machines use package membership instead of the oracle
	seeds         []string

	failure          string // first violated invariant
	unrecoveredState string // what does not work after the faults ended
	tracing          bool
	trace            []string
	steps            int // number of events run
}

// scheduled is a function to run at a virtual time. The sequence number keeps the
// order of insertion among equal times.
type scheduled struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduled)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSimulation returns a simulation without nodes and servers.
func newSimulation(seed uint64) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &simulation{
		start: start, now: start, tracing: true,
		random: rand.New(rand.NewPCG(seed, 1)),
		table:  &simTable{records: make(map[string]platform.Record), tokens: make(map[string]bool)},
		cuts:   make(map[string]bool),
	}
	w.decider = func(string) policy.Decider { return waitingDecider{} }
	return w
}

// tracef adds a line to the trace.
func (w *simulation) tracef(format string, arguments ...any) {
	if w.tracing {
		line := fmt.Sprintf(format, arguments...)
		w.trace = append(w.trace, fmt.Sprintf("%8.3fs %s", w.now.Sub(w.start).Seconds(), line))
	}
}

// violate records the first violation, which ends the simulation.
func (w *simulation) violate(format string, arguments ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, arguments...)
		w.tracef("VIOLATION: %s", w.failure)
	}
}

func (w *simulation) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// randomDuration returns a random duration from low to high.
func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// after runs a function after a delay.
func (w *simulation) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduled{at: w.now.Add(delay), sequence: w.sequence, run: run})
}

// run advances virtual time by duration, or up to the first violation.
func (w *simulation) run(duration time.Duration) {
	end := w.now.Add(duration)
	for len(w.queue) > 0 && w.failure == "" && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduled)
		w.now = next.at
		w.steps++
		next.run()
	}
	if w.failure == "" {
		w.now = end
	}
}

// runUntil runs until the condition holds, at most for limit, and reports whether
// it holds.
func (w *simulation) runUntil(limit time.Duration, condition func() bool) bool {
	end := w.now.Add(limit)
	for w.now.Before(end) && w.failure == "" {
		if condition() {
			return true
		}
		w.run(50 * time.Millisecond)
	}
	return condition()
}

// addServer adds a live machine with an engine.
func (w *simulation) addServer(id string, capacity uint64) *simEngine {
	e := &simEngine{
		sim: w, id: api.ServerID(id), address: "engine/" + id, capacity: capacity,
		items: make(map[api.ModelName]*simItem), machine: platform.MachineLive, incarnation: 1,
	}
	w.servers = append(w.servers, e)
	w.listMachines()
	return e
}

// listMachines appends the current state of all machines to the history of the
// machine list.
func (w *simulation) listMachines() {
	list := platform.MachineList{Version: uint64(len(w.listHistory) + 1), AsOf: w.now}
	for _, e := range w.servers {
		list.Machines = append(list.Machines, platform.Machine{
			ID: string(e.id), Address: e.address, Service: serviceName, Zone: "z1", Region: region,
			State: e.machine, MemoryBytes: e.capacity, Instance: fmt.Sprint("machine", e.incarnation),
		})
	}
	w.listHistory = append(w.listHistory, list)
}

// laggingList returns the machine list as of up to listLag ago.
func (w *simulation) laggingList() platform.MachineList {
	asOf := w.now.Add(-w.randomDuration(w.listLag/2, w.listLag))
	for index := len(w.listHistory) - 1; index >= 0; index-- {
		if list := w.listHistory[index]; !list.AsOf.After(asOf) {
			list.AsOf = asOf
			return list
		}
	}
	return platform.MachineList{}
}

func (w *simulation) server(id api.ServerID) *simEngine {
	for _, e := range w.servers {
		if e.id == id {
			return e
		}
	}
	return nil
}

// cut reports whether the link from a to b is cut.
func (w *simulation) cut(a, b string) bool {
	return w.cuts[a+"|"+b]
}

func (w *simulation) setCut(a, b string, cut bool) {
	w.cuts[a+"|"+b] = cut
	w.cuts[b+"|"+a] = cut
}

// cutFor cuts the link between two parties for a while.
func (w *simulation) cutFor(a, b string, duration time.Duration) {
	if a == b || w.cut(a, b) {
		return
	}
	w.tracef("cut between %s and %s for %v", a, b, duration)
	w.setCut(a, b, true)
	w.after(duration, func() { w.setCut(a, b, false) })
}

func (w *simulation) bootIfDown(n *node) {
	if n.machine == nil {
		n.boot()
	}
}

// reclaim takes a machine away together with everything that its engine holds.
func (w *simulation) reclaim(e *simEngine) {
	w.tracef("machine %s reclaimed", e.id)
	e.machine, e.down = platform.MachineGone, true
	e.restart()
	w.listMachines()
}

// bringBack brings a machine back with the same name and address.
func (w *simulation) bringBack(e *simEngine) {
	w.tracef("machine %s is back", e.id)
	e.machine, e.down = platform.MachineLive, false
	e.restart()
	w.listMachines()
}

// addNode adds and starts a node.
func (w *simulation) addNode(id, zone string) *node {
	n := &node{sim: w, id: api.NodeID(id), zone: zone, peerAddress: "node/" + id}
	w.nodes = append(w.nodes, n)
	n.boot()
	return n
}

// addNodes adds and starts nodes in three zones.
func (w *simulation) addNodes(count int) {
	for index := range count {
		w.addNode(fmt.Sprint("n", index), fmt.Sprint("z", index%3+1))
	}
}

// owner returns the node that owns the cell in the highest term, or nil.
func (w *simulation) owner() *node {
	var owner *node
	var term uint64
	for _, n := range w.nodes {
		if n.machine == nil {
			continue
		}
		for _, c := range n.machine.Status().Cells {
			if c.Role == control.RoleOwner && c.Term >= term {
				owner, term = n, c.Term
			}
		}
	}
	return owner
}

// ready returns the number of ready replicas of a model.
func (w *simulation) ready(model api.ModelName) int {
	count := 0
	for _, e := range w.servers {
		if item := e.items[model]; item != nil && item.State == engine.ItemReady {
			count++
		}
	}
	return count
}
