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

// simulation runs real stores and attempts of several nodes under virtual
// time, with one random schedule of faults.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	sequence int
	nodes    []*simNode
	history  []Configuration // committed, in order
	ablation ablation
	lastRun  map[string]time.Time
	runs     int
	kept     int
	attempts int
	trace    []string
	fault    string
}

// simNode is a node: a keeper and a router.
type simNode struct {
	self        api.NodeRef
	alive       bool
	frozenUntil time.Time
	cutUntil    time.Time // hears nothing of the owner and the other side
	store       *Store
	known       Configuration
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

func explore(seed uint64, switched ablation) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: simStart,
		ablation: switched, lastRun: map[string]time.Time{},
	}
	for i := range simNodes {
		s.nodes = append(s.nodes, &simNode{self: api.NodeRef{ID: api.NodeID("node-" + strconv.Itoa(i))}})
		s.start(s.nodes[i])
	}
	s.commit(s.selves(s.nodes[:3]), nil, api.FirstConfigVersion)
	for key := range simKeys {
		s.after(0, func() { s.caller("key-" + strconv.Itoa(key)) })
	}
	s.after(0, s.faults)
	s.after(0, s.control)
	end := simStart.Add(simLength)
	for len(s.events) > 0 && s.fault == "" && s.now.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s
}

func (s *simulation) selves(nodes []*simNode) []api.NodeRef {
	var refs []api.NodeRef
	for _, node := range nodes {
		refs = append(refs, node.self)
	}
	return refs
}

// start begins a new life of a node.
func (s *simulation) start(node *simNode) {
	node.self.Incarnation++
	node.alive = true
	node.store = NewStore(node.self, Limits{Records: 100, RecordsPerCaller: 100, AnswerBytes: 1 << 20, MaxRetention: simRetention, ConfirmWithin: simConfirm})
	node.store.ablation = s.ablation
	node.known = Configuration{}
}

// lives returns a function that tells whether this life of the node goes on.
func (n *simNode) lives() func() bool {
	incarnation := n.self.Incarnation
	return func() bool { return n.alive && n.self.Incarnation == incarnation }
}

// on runs code on a node, after it thaws, if that life of it goes on.
func (s *simulation) on(node *simNode, lives func() bool, run func()) {
	if !lives() {
		return
	}
	if s.now.Before(node.frozenUntil) {
		s.after(node.frozenUntil.Sub(s.now), func() { s.on(node, lives, run) })
		return
	}
	run()
}

func (s *simulation) isCut(node *simNode) bool { return s.now.Before(node.cutUntil) }

// send carries a message with delay, loss and duplication, in any order. Nodes
// that are cut off reach only each other.
func (s *simulation) send(from, to *simNode, deliver func()) {
	lives := to.lives()
	copies := 1
	if s.chance(5) {
		copies = 2
	}
	for range copies {
		if s.chance(5) || s.isCut(from) != s.isCut(to) {
			continue
		}
		delay := s.between(time.Millisecond, 20*time.Millisecond)
		if s.chance(5) {
			delay = s.between(0, 4*time.Second)
		}
		s.after(delay, func() { s.on(to, lives, deliver) })
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

// ask sends a request to whatever life of a node has the address.
func (s *simulation) ask(from *simNode, ref api.NodeRef, request any, take func(reply any)) {
	to := s.nodeOf(ref)
	s.send(from, to, func() {
		reply, err := to.store.Handle(s.now, request)
		if err == nil {
			s.send(to, from, func() { take(reply) })
		}
	})
}

func (s *simulation) faults() {
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
		s.cutOff(node)
	}
	s.after(s.between(time.Second, 30*time.Second), s.faults)
}

func (s *simulation) cutOff(node *simNode) {
	until := s.now.Add(s.between(time.Second, 150*time.Second))
	node.cutUntil = until
	other := s.nodes[s.random.IntN(simNodes)]
	other.cutUntil = until
	s.log("%s and %s are cut off until %.0fs", node.self.ID, other.self.ID, until.Sub(simStart).Seconds())
}

// control stands for the quorum group: it replaces members that are dead or
// cut off while a majority of the newest configuration takes part, forms it
// anew when a majority died, and tells the nodes in reach, some late.
func (s *simulation) control() {
	current := s.history[len(s.history)-1]
	var stay, dead []api.NodeRef
	for _, ref := range current.Members {
		node := s.nodeOf(ref)
		switch {
		case !node.alive || node.self.Incarnation != ref.Incarnation:
			dead = append(dead, ref)
		case !s.isCut(node):
			stay = append(stay, ref)
		}
	}
	changed := len(stay) < len(current.Members) && s.chance(30)
	if s.chance(1) && len(stay) > 0 {
		stay = stay[1:] // a member is moved
		changed = true
	}
	switch {
	case 2*len(dead) > len(current.Members):
		s.commit(s.fill(nil), nil, api.MakeConfigVersion(current.Version>>32+2, 1))
	case changed && 2*len(stay) > len(current.Members):
		s.commit(s.fill(stay), current.Members, current.Version+1)
	}
	s.tell()
	s.after(500*time.Millisecond, s.control)
}

func (s *simulation) fill(members []api.NodeRef) []api.NodeRef {
	for _, i := range s.random.Perm(simNodes) {
		node := s.nodes[i]
		if len(members) < 3 && node.alive && !s.isCut(node) && !isAmong(node.self, members) {
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

func (s *simulation) tell() {
	newest := s.history[len(s.history)-1]
	for _, node := range s.nodes {
		if !node.alive || s.isCut(node) || s.chance(20) {
			continue
		}
		sentAt := s.now
		lives := node.lives()
		s.after(s.between(time.Millisecond, 300*time.Millisecond), func() {
			s.on(node, lives, func() {
				if newest.Version > node.known.Version {
					node.known = newest
				}
				node.store.SetConfiguration(s.now, newest)
				// A sign that waited in a frozen node is as old as it is.
				node.store.Confirm(sentAt, newest.Version)
				s.copyRecords(node)
			})
		})
	}
}

func (s *simulation) copyRecords(node *simNode) {
	requests := node.store.CopyRequests(s.now)
	for _, source := range node.known.Previous {
		if request, wanted := requests[source]; wanted {
			s.ask(node, source, request, func(reply any) {
				node.store.TakeCopy(s.now, source, request, reply.(CopyReply))
			})
		}
	}
}
