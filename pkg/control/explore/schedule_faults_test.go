package explore

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/platform"
)

// faults are the single faults of a schedule. They may overlap.
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

func (s *schedule) anyServer() *modelEngine {
	return s.servers[s.random.IntN(len(s.servers))]
}

// ownerOrAny returns the owner if there is one.
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
	s.after(s.between(100*time.Millisecond, 8*time.Second), func() { s.bootIfDown(n) })
}

func (s *schedule) freezeNode()  { s.freeze(s.anyNode()) }
func (s *schedule) freezeOwner() { s.freeze(s.ownerOrAny()) }

func (s *schedule) freeze(n *node) {
	if n.machine != nil && !n.frozen {
		n.freeze(s.between(300*time.Millisecond, 10*time.Second))
	}
}

// stopNode stops a node as planned and starts it again.
func (s *schedule) stopNode() {
	n := s.anyNode()
	if n.machine == nil || n.frozen {
		return
	}
	s.note("%s is asked to stop", n.id)
	n.step(control.StopRequested{})
	s.exitWhenStopped(n, n.life)
}

func (s *schedule) exitWhenStopped(n *node, life uint64) {
	s.after(100*time.Millisecond, func() {
		if n.machine == nil || n.life != life {
			return
		}
		if n.machine.Stopped() {
			s.crash(n)
			return
		}
		s.exitWhenStopped(n, life)
	})
}

// presumeDead makes a live node look dead to the others.
func (s *schedule) presumeDead() {
	n := s.anyNode()
	n.presumed = s.now.Add(s.between(time.Second, 8*time.Second))
	s.note("%s is presumed dead", n.id)
}

// parties are the addresses that a node talks to.
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

func (s *schedule) cutPair() {
	parties := s.parties()
	s.cutForAWhile(s.anyNode().address(), parties[s.random.IntN(len(parties))])
}

func (s *schedule) cutForAWhile(a, b string) {
	s.cutFor(a, b, s.between(500*time.Millisecond, 12*time.Second))
}

// isolateNode cuts a node off from the other nodes, not from the engines.
func (s *schedule) isolateNode() { s.isolate(s.anyNode()) }

func (s *schedule) isolateOwner() { s.isolate(s.ownerOrAny()) }

func (s *schedule) isolate(n *node) {
	for _, other := range s.nodes {
		s.cutForAWhile(n.address(), other.address())
	}
	if s.chance(0.5) {
		s.cutForAWhile(n.address(), "table")
	}
}

// splitRegion cuts nodes and servers into two halves.
func (s *schedule) splitRegion() {
	parties := s.parties()
	side := make(map[string]bool)
	for _, party := range parties {
		side[party] = s.chance(0.5)
	}
	duration := s.between(2*time.Second, 12*time.Second)
	for _, n := range s.nodes {
		for _, party := range parties {
			if side[n.address()] != side[party] {
				s.cutFor(n.address(), party, duration)
			}
		}
	}
}

// loseGroup kills or isolates most nodes at once, so that a group is formed
// anew while the old owner may still be at work.
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
	s.note("table service down")
	s.table.down, s.treeDown = true, true
	s.after(s.between(time.Second, 15*time.Second), func() { s.table.down, s.treeDown = false, false })
}

func (s *schedule) listDownOrLagging() {
	s.listLag = s.between(0, 8*time.Second)
	s.listDown = s.chance(0.5)
	s.after(s.between(time.Second, 10*time.Second), func() { s.listDown = false })
}

func (s *schedule) restartEngine() { s.anyServer().restart() }

// addMachine adds a machine that the record of the cell does not name yet.
func (s *schedule) addMachine() {
	if len(s.servers) < 6 {
		s.addServer(fmt.Sprint("s", len(s.servers)), uint64(14+s.random.IntN(12)))
	}
}

func (s *schedule) engineDown() {
	e := s.anyServer()
	s.note("engine %s unreachable", e.id)
	e.down = true
	s.after(s.between(300*time.Millisecond, 8*time.Second), func() { e.down = e.machine == platform.MachineGone })
}

func (s *schedule) engineLeaving() {
	e := s.anyServer()
	s.note("engine %s leaving", e.id)
	e.leaving = true
	s.after(s.between(time.Second, 8*time.Second), func() { e.leaving = false })
}

// reclaimMachine takes a machine away, with or without notice, and brings it
// back under the same name and address with nothing loaded.
func (s *schedule) reclaimMachine() {
	e := s.anyServer()
	if e.machine != platform.MachineLive {
		return
	}
	notice := time.Duration(0)
	if s.chance(0.5) {
		notice = s.between(0, 3*time.Second)
		e.machine = platform.MachineLeaving
		s.listMachines()
	}
	s.after(notice, func() { s.reclaim(e) })
	s.after(notice+s.between(200*time.Millisecond, 10*time.Second), func() { s.giveBack(e) })
}

// editLimit lets an operator change a replica limit through a node, or through
// none that any machine hears of.
func (s *schedule) editLimit() {
	s.edit(s.models[s.random.IntN(len(s.models))], s.random.IntN(3))
	n := s.anyNode()
	n.useTree(n.life, s.newest())
}
