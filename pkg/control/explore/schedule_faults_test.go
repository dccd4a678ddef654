package explore

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/platform"
)

// faults are the faults that a schedule injects at random, listed twice to occur
// twice as often. They may overlap.
var faults = []func(*schedule){
	(*schedule).crashNode,
	(*schedule).crashNode,
	(*schedule).crashOwner,
	(*schedule).freezeNode,
	(*schedule).freezeOwner,
	(*schedule).stopNode,
	(*schedule).presumeDead,
	(*schedule).cutPair,
	(*schedule).cutPair,
	(*schedule).isolateNode,
	(*schedule).isolateOwner,
	(*schedule).loseGroup,
	(*schedule).tableDown,
	(*schedule).listDownOrLagging,
	(*schedule).splitRegion,
	(*schedule).splitRegion,
	(*schedule).restartEngine,
	(*schedule).restartEngine,
	(*schedule).addMachine,
	(*schedule).engineDown,
	(*schedule).engineLeaving,
	(*schedule).reclaimMachine,
	(*schedule).editLimit,
	(*schedule).editLimit,
}

func (s *schedule) anyNode() *node {
	return s.nodes[s.random.IntN(len(s.nodes))]
}

func (s *schedule) anyServer() *simEngine {
	return s.servers[s.random.IntN(len(s.servers))]
}

// ownerOrAny returns the owner, or a random node if there is none.
func (s *schedule) ownerOrAny() *node {
	if n := s.owner(); n != nil {
		return n
	}
	return s.anyNode()
}

func (s *schedule) crashNode()  { s.crash(s.anyNode()) }
func (s *schedule) crashOwner() { s.crash(s.ownerOrAny()) }

func (s *schedule) crash(n *node) {
	if n.machine == nil {
		return
	}
	n.crash()
	s.after(s.randomDuration(100*time.Millisecond, 8*time.Second), func() { s.bootIfDown(n) })
}

func (s *schedule) freezeNode()  { s.freeze(s.anyNode()) }
func (s *schedule) freezeOwner() { s.freeze(s.ownerOrAny()) }

func (s *schedule) freeze(n *node) {
	if n.machine != nil && !n.frozen {
		n.freeze(s.randomDuration(300*time.Millisecond, 10*time.Second))
	}
}

// stopNode performs a planned stop of a node and then starts it again.
func (s *schedule) stopNode() {
	n := s.anyNode()
	if n.machine == nil || n.frozen {
		return
	}
	s.tracef("%s is asked to stop", n.id)
	n.step(control.StopRequested{})
	s.exitWhenStopped(n, n.incarnation)
}

// exitWhenStopped ends the process once its planned stop is complete.
func (s *schedule) exitWhenStopped(n *node, incarnation uint64) {
	s.after(100*time.Millisecond, func() {
		if n.machine == nil || n.incarnation != incarnation {
			return
		}
		if n.machine.Stopped() {
			s.crash(n)
			return
		}
		s.exitWhenStopped(n, incarnation)
	})
}

// presumeDead makes the oracle report a live node as dead for a while.
func (s *schedule) presumeDead() {
	n := s.anyNode()
	n.presumedDeadUntil = s.now.Add(s.randomDuration(time.Second, 8*time.Second))
	s.tracef("%s is presumed dead", n.id)
}

// parties returns the addresses that a node communicates with.
func (s *schedule) parties() []string {
	parties := []string{"table", "machines"}
	for _, n := range s.nodes {
		parties = append(parties, n.address())
	}
	for _, e := range s.servers {
		parties = append(parties, e.address)
	}
	return parties
}

// cutPair cuts the link between a node and another party for a while.
func (s *schedule) cutPair() {
	parties := s.parties()
	s.cutForAWhile(s.anyNode().address(), parties[s.random.IntN(len(parties))])
}

func (s *schedule) cutForAWhile(a, b string) {
	s.cutFor(a, b, s.randomDuration(500*time.Millisecond, 12*time.Second))
}

// isolateNode cuts a node off from the other nodes but not from the engines.
func (s *schedule) isolateNode() { s.isolate(s.anyNode()) }

func (s *schedule) isolateOwner() { s.isolate(s.ownerOrAny()) }

// isolate cuts a node off from the other nodes and, in half of the cases, from
// the table service.
func (s *schedule) isolate(n *node) {
	for _, other := range s.nodes {
		s.cutForAWhile(n.address(), other.address())
	}
	if s.chance(0.5) {
		s.cutForAWhile(n.address(), "table")
	}
}

// splitRegion divides nodes, servers and platform services into two partitions.
func (s *schedule) splitRegion() {
	parties := s.parties()
	side := make(map[string]bool)
	for _, party := range parties {
		side[party] = s.chance(0.5)
	}
	duration := s.randomDuration(2*time.Second, 12*time.Second)
	for _, n := range s.nodes {
		for _, party := range parties {
			if side[n.address()] != side[party] {
				s.cutFor(n.address(), party, duration)
			}
		}
	}
}

// loseGroup crashes most of the other nodes at once and often isolates the owner,
// so that a group is formed anew while the old owner may still be working.
func (s *schedule) loseGroup() {
	owner := s.ownerOrAny()
	for _, n := range s.nodes {
		if n != owner && s.chance(0.6) {
			s.crash(n)
		}
	}
	if s.chance(0.7) {
		s.isolate(owner)
	}
}

func (s *schedule) tableDown() {
	s.tracef("table service down")
	s.table.down, s.treeDown = true, true
	s.after(s.randomDuration(time.Second, 15*time.Second), func() { s.table.down, s.treeDown = false, false })
}

func (s *schedule) listDownOrLagging() {
	s.listLag = s.randomDuration(0, 8*time.Second)
	s.listDown = s.chance(0.5)
	s.after(s.randomDuration(time.Second, 10*time.Second), func() { s.listDown = false })
}

func (s *schedule) restartEngine() { s.anyServer().restart() }

// addMachine adds a machine that the cell's record does not name yet.
func (s *schedule) addMachine() {
	if len(s.servers) < 6 {
		s.addServer(fmt.Sprint("s", len(s.servers)), uint64(14+s.random.IntN(12)))
	}
}

func (s *schedule) engineDown() {
	e := s.anyServer()
	s.tracef("engine %s unreachable", e.id)
	e.down = true
	s.after(s.randomDuration(300*time.Millisecond, 8*time.Second), func() { e.down = e.machine == platform.MachineGone })
}

func (s *schedule) engineLeaving() {
	e := s.anyServer()
	s.tracef("engine %s leaving", e.id)
	e.leaving = true
	s.after(s.randomDuration(time.Second, 8*time.Second), func() { e.leaving = false })
}

// reclaimMachine takes a machine away, with or without notice, and later brings
// it back with the same name and address and nothing loaded.
func (s *schedule) reclaimMachine() {
	e := s.anyServer()
	if e.machine != platform.MachineLive {
		return
	}
	notice := time.Duration(0)
	if s.chance(0.5) {
		notice = s.randomDuration(0, 3*time.Second)
		e.machine = platform.MachineLeaving
		s.listMachines()
	}
	s.after(notice, func() { s.reclaim(e) })
	s.after(notice+s.randomDuration(200*time.Millisecond, 10*time.Second), func() { s.bringBack(e) })
}

// editLimit changes a replica limit in a new tree revision and delivers the
// newest revision to one node, unless that node is down or frozen.
func (s *schedule) editLimit() {
	s.edit(s.models[s.random.IntN(len(s.models))], s.random.IntN(3))
	n := s.anyNode()
	n.useTree(n.incarnation, s.newest())
}
