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
	callTimeout = 2 * time.Second // until the runtime reports an unknown outcome
)

// odds are the probabilities of single faults.
type odds struct {
	lost       float64 // a message or a call
	answerLost float64 // the answer of a call whose effect took place
	duplicated float64 // a message or an order
	late       float64 // much delayed
	loadFails  float64
}

// world is everything outside the machines, under virtual time.
type world struct {
	start    time.Time
	now      time.Time
	random   *rand.Rand
	odds     odds
	unsafe   switches.Set
	queue    eventQueue
	sequence int

	nodes    []*node
	servers  []*modelEngine
	table    *modelTable
	listing  []platform.MachineList // history, newest last
	listDown bool
	listLag  time.Duration
	cuts     map[string]bool
	trees    []*settings // accepted revisions
	treeDown bool
	models   []api.ModelName
	decider  func(name string) policy.Decider

	onSend        func(from *node, message control.SendPeer)
	onOrder       func(control.OrderEngine) // sees each order as it is given
	ownMembership bool                      // machines use package membership instead of the oracle
	seeds         []string

	failure string // a promise that was broken
	stuck   string // what does not work again after the faults
	tracing bool
	trace   []string
	steps   int
}

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

// newWorld returns a world without nodes and servers.
func newWorld(seed uint64) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		start: start, now: start, tracing: true,
		random: rand.New(rand.NewPCG(seed, 1)),
		table:  &modelTable{records: make(map[string]platform.Record), tokens: make(map[string]bool)},
		cuts:   make(map[string]bool),
	}
	w.decider = func(string) policy.Decider { return waitingDecider{} }
	return w
}

func (w *world) note(format string, arguments ...any) {
	if w.tracing {
		line := fmt.Sprintf(format, arguments...)
		w.trace = append(w.trace, fmt.Sprintf("%8.3fs %s", w.now.Sub(w.start).Seconds(), line))
	}
}

func (w *world) fail(format string, arguments ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, arguments...)
		w.note("VIOLATION: %s", w.failure)
	}
}

func (w *world) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *world) after(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduled{at: w.now.Add(delay), sequence: w.sequence, run: run})
}

// run lets virtual time pass until the end or a violation.
func (w *world) run(duration time.Duration) {
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

// runUntil runs until the condition holds, at most for limit.
func (w *world) runUntil(limit time.Duration, condition func() bool) bool {
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
func (w *world) addServer(id string, capacity uint64) *modelEngine {
	e := &modelEngine{
		world: w, id: api.ServerID(id), address: "engine/" + id, capacity: capacity,
		items: make(map[api.ModelName]*modelItem), machine: platform.MachineLive, life: 1,
	}
	w.servers = append(w.servers, e)
	w.listMachines()
	return e
}

// listMachines adds the present truth to the history of the list of machines.
func (w *world) listMachines() {
	list := platform.MachineList{Version: uint64(len(w.listing) + 1), AsOf: w.now}
	for _, e := range w.servers {
		list.Machines = append(list.Machines, platform.Machine{
			ID: string(e.id), Address: e.address, Service: serviceName, Zone: "z1", Region: region,
			State: e.machine, MemoryBytes: e.capacity, Instance: fmt.Sprint("machine", e.life),
		})
	}
	w.listing = append(w.listing, list)
}

// laggingList is the list as a replica that lags by up to listLag shows it.
func (w *world) laggingList() platform.MachineList {
	asOf := w.now.Add(-w.between(w.listLag/2, w.listLag))
	for index := len(w.listing) - 1; index >= 0; index-- {
		if list := w.listing[index]; !list.AsOf.After(asOf) {
			list.AsOf = asOf
			return list
		}
	}
	return platform.MachineList{}
}

func (w *world) server(id api.ServerID) *modelEngine {
	for _, e := range w.servers {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) cut(a, b string) bool {
	return w.cuts[a+"|"+b]
}

func (w *world) setCut(a, b string, cut bool) {
	w.cuts[a+"|"+b] = cut
	w.cuts[b+"|"+a] = cut
}

// cutFor cuts two parties off from each other for a while.
func (w *world) cutFor(a, b string, duration time.Duration) {
	if a == b || w.cut(a, b) {
		return
	}
	w.note("cut between %s and %s for %v", a, b, duration)
	w.setCut(a, b, true)
	w.after(duration, func() { w.setCut(a, b, false) })
}

func (w *world) bootIfDown(n *node) {
	if n.machine == nil {
		n.boot()
	}
}

// reclaim takes a machine away with all that its engine holds.
func (w *world) reclaim(e *modelEngine) {
	w.note("machine %s reclaimed", e.id)
	e.machine, e.down = platform.MachineGone, true
	e.restart()
	w.listMachines()
}

// giveBack brings a machine back under the same name and address.
func (w *world) giveBack(e *modelEngine) {
	w.note("machine %s is back", e.id)
	e.machine, e.down = platform.MachineLive, false
	e.restart()
	w.listMachines()
}

// addNode starts a node.
func (w *world) addNode(id, zone string) *node {
	n := &node{world: w, id: api.NodeID(id), zone: zone, peerAddress: "node/" + id}
	w.nodes = append(w.nodes, n)
	n.boot()
	return n
}

// addNodes starts nodes in three zones.
func (w *world) addNodes(count int) {
	for index := range count {
		w.addNode(fmt.Sprint("n", index), fmt.Sprint("z", index%3+1))
	}
}

// owner returns the node that owns the cell in the highest term, if any.
func (w *world) owner() *node {
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
func (w *world) ready(model api.ModelName) int {
	count := 0
	for _, e := range w.servers {
		if item := e.items[model]; item != nil && item.State == engine.ItemReady {
			count++
		}
	}
	return count
}
