package keeper

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"martenwheel.dev/pkg/api"
)

const (
	simNodes        = 6
	simKeys         = 3
	simLength       = 8 * time.Minute
	simRetention    = 30 * time.Second
	simCallTimeout  = time.Second
	simClaimTimeout = 3 * time.Second
	simConfirm      = 5 * time.Second
	simCell         = api.CellName("fuel@gulf-south")
)

// simulation runs the stores and attempts of several nodes in virtual time, with a
// random schedule of claims and faults.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	sequence int
	nodes    []*simNode
	history  []Configuration // committed configurations, oldest first
	ablation ablation
	lastRun  map[string]time.Time
	runs     int
	answered int
	attempts int
	trace    []string
	fault    string // description of the violation that was found
}

// simNode is a simulated node, which is both keeper and router.
type simNode struct {
	self             api.NodeRef
	alive            bool
	frozenUntil      time.Time
	partitionedUntil time.Time // until then, the node reaches only other partitioned nodes, and not the owner
	store            *Store
	configuration    Configuration
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an event.
func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(delay), s.sequence, run})
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) log(format string, arguments ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%9.3fs ", s.now.Sub(simStart).Seconds())+fmt.Sprintf(format, arguments...))
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// explore runs one schedule with some safety mechanisms disabled, until the end of
// the simulated time or the first violation.
func explore(seed uint64, disabled ablation) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: simStart,
		ablation: disabled, lastRun: map[string]time.Time{},
	}
	for i := range simNodes {
		s.nodes = append(s.nodes, &simNode{self: api.NodeRef{ID: api.NodeID("node-" + strconv.Itoa(i))}})
		s.start(s.nodes[i])
	}
	s.commit(s.refsOf(s.nodes[:3]), nil, api.FirstConfigVersion)
	for key := range simKeys {
		s.after(0, func() { s.repeatClaims("key-" + strconv.Itoa(key)) })
	}
	s.after(0, s.injectFaults)
	s.after(0, s.updateConfiguration)
	end := simStart.Add(simLength)
	for len(s.events) > 0 && s.fault == "" && s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

func (s *simulation) refsOf(nodes []*simNode) []api.NodeRef {
	var refs []api.NodeRef
	for _, node := range nodes {
		refs = append(refs, node.self)
	}
	return refs
}

// start begins a new incarnation of a node.
func (s *simulation) start(node *simNode) {
	node.self.Incarnation++
	node.alive = true
	node.store = NewStore(node.self, Limits{Records: 100, RecordsPerCaller: 100, AnswerBytes: 1 << 20, MaxRetention: simRetention, ConfirmWithin: simConfirm})
	node.store.ablation = s.ablation
	node.configuration = Configuration{}
}

// incarnationCheck returns a function that reports whether the node's incarnation at
// the time of this call is still alive.
func (n *simNode) incarnationCheck() func() bool {
	incarnation := n.self.Incarnation
	return func() bool { return n.alive && n.self.Incarnation == incarnation }
}

// on runs code on a node if stillAlive reports true. If the node is frozen, it
// waits until the freeze ends.
func (s *simulation) on(node *simNode, stillAlive func() bool, run func()) {
	if !stillAlive() {
		return
	}
	if s.now.Before(node.frozenUntil) {
		s.after(node.frozenUntil.Sub(s.now), func() { s.on(node, stillAlive, run) })
		return
	}
	run()
}

func (s *simulation) isPartitioned(node *simNode) bool { return s.now.Before(node.partitionedUntil) }

// send delivers a message with random delay, loss and duplication, in any order.
// Partitioned nodes reach only each other.
func (s *simulation) send(from, to *simNode, deliver func()) {
	stillAlive := to.incarnationCheck()
	copies := 1
	if s.chance(5) {
		copies = 2
	}
	for range copies {
		if s.chance(5) || s.isPartitioned(from) != s.isPartitioned(to) {
			continue
		}
		delay := s.between(time.Millisecond, 20*time.Millisecond)
		if s.chance(5) {
			delay = s.between(0, 4*time.Second)
		}
		s.after(delay, func() { s.on(to, stillAlive, deliver) })
	}
}

func (s *simulation) nodeOf(ref api.NodeRef) *simNode {
	for _, node := range s.nodes {
		if node.self.ID == ref.ID {
			return node
		}
	}
	return nil
}

// call sends a request to the current incarnation of a node, like a call to its
// address.
func (s *simulation) call(from *simNode, ref api.NodeRef, request any, handle func(reply any)) {
	to := s.nodeOf(ref)
	s.send(from, to, func() {
		reply, err := to.store.Handle(s.now, request)
		if err == nil {
			s.send(to, from, func() { handle(reply) })
		}
	})
}

// injectFaults injects a random fault and schedules the next one.
func (s *simulation) injectFaults() {
	node := s.nodes[s.random.IntN(simNodes)]
	switch s.random.IntN(4) {
	case 0, 1:
		if node.alive {
			s.log("%s crashes", node.self.ID)
			node.alive = false
			s.after(s.between(100*time.Millisecond, 10*time.Second), func() {
				s.start(node)
			})
		}
	case 2:
		node.frozenUntil = s.now.Add(s.between(100*time.Millisecond, 20*time.Second))
	case 3:
		s.partition(node)
	}
	s.after(s.between(time.Second, 30*time.Second), s.injectFaults)
}

func (s *simulation) partition(node *simNode) {
	until := s.now.Add(s.between(time.Second, 150*time.Second))
	node.partitionedUntil = until
	other := s.nodes[s.random.IntN(simNodes)]
	other.partitionedUntil = until
	s.log("%s and %s are cut off until %.0fs", node.self.ID, other.self.ID, until.Sub(simStart).Seconds())
}

// updateConfiguration simulates the quorum group. It replaces members that are dead
// or partitioned while a majority of the newest configuration is reachable, forms a
// new group when a majority died, and announces the newest configuration to the
// reachable nodes, to some of them late.
func (s *simulation) updateConfiguration() {
	current := s.history[len(s.history)-1]
	var stay, dead []api.NodeRef
	for _, ref := range current.Members {
		node := s.nodeOf(ref)
		switch {
		case !node.alive || node.self.Incarnation != ref.Incarnation:
			dead = append(dead, ref)
		case !s.isPartitioned(node):
			stay = append(stay, ref)
		}
	}
	changed := len(stay) < len(current.Members) && s.chance(30)
	if s.chance(1) && len(stay) > 0 {
		stay = stay[1:] // replace a healthy member
		changed = true
	}
	switch {
	case 2*len(dead) > len(current.Members):
		s.commit(s.fillMembers(nil), nil, api.MakeConfigVersion(current.Version>>32+2, 1))
	case changed && 2*len(stay) > len(current.Members):
		s.commit(s.fillMembers(stay), current.Members, current.Version+1)
	}
	s.announceConfiguration()
	s.after(500*time.Millisecond, s.updateConfiguration)
}

func (s *simulation) fillMembers(members []api.NodeRef) []api.NodeRef {
	for _, i := range s.random.Perm(simNodes) {
		node := s.nodes[i]
		if len(members) < 3 && node.alive && !s.isPartitioned(node) && !isAmong(node.self, members) {
			members = append(members, node.self)
		}
	}
	return members
}

func (s *simulation) commit(members, previous []api.NodeRef, version uint64) {
	if len(members) == 0 {
		return
	}
	s.history = append(s.history, Configuration{Cell: simCell, Version: version, Members: members, Previous: previous})
	s.log("configuration %x: %v", version, names(members))
}

func names(members []api.NodeRef) []string {
	var list []string
	for _, ref := range members {
		list = append(list, fmt.Sprintf("%s.%d", ref.ID, ref.Incarnation))
	}
	return list
}

// announceConfiguration announces the newest configuration to the reachable nodes.
func (s *simulation) announceConfiguration() {
	newest := s.history[len(s.history)-1]
	for _, node := range s.nodes {
		if !node.alive || s.isPartitioned(node) || s.chance(20) {
			continue
		}
		sentAt := s.now
		stillAlive := node.incarnationCheck()
		s.after(s.between(time.Millisecond, 300*time.Millisecond), func() {
			s.on(node, stillAlive, func() {
				if newest.Version > node.configuration.Version {
					node.configuration = newest
				}
				node.store.SetConfiguration(s.now, newest)
				// A confirmation counts from when it was sent, also if the node was
				// frozen before it handled it.
				node.store.Confirm(sentAt, newest.Version)
				s.copyRecords(node)
			})
		})
	}
}

func (s *simulation) copyRecords(node *simNode) {
	requests := node.store.CopyRequests(s.now)
	for _, source := range node.configuration.Previous {
		if request, wanted := requests[source]; wanted {
			s.call(node, source, request, func(reply any) {
				node.store.AddCopy(s.now, source, request, reply.(CopyReply))
			})
		}
	}
}
