package explore

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/control/internal/switches"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/policy"
)

// Lengths of a schedule in virtual time.
const (
	faultyTime = 30 * time.Second
	healedTime = 60 * time.Second
)

// options are what schedules of one run have in common.
type options struct {
	unsafe        switches.Set
	recovery      bool // a cell that does not work again afterwards is a violation
	ownMembership bool // package membership instead of the oracle
}

// schedule is one random run: sizes, odds and the times of faults all follow
// from the seed.
type schedule struct {
	*world
	zones []string
}

// runSchedule runs the schedule of a seed and returns its world, whose failure
// is empty if every promise held.
func runSchedule(seed uint64, o options, tracing bool) *world {
	s := &schedule{world: newWorld(seed), zones: []string{"z1", "z2", "z3"}}
	s.tracing = tracing
	s.unsafe = o.unsafe
	s.ownMembership = o.ownMembership
	s.seeds = []string{"node/n0", "node/n1", "node/n2"}
	s.build()
	s.run(3 * time.Second)
	s.scheduleFaults()
	s.scheduleDemand()
	s.run(faultyTime)
	s.heal()
	s.runUntil(healedTime, func() bool { return s.unrecovered() == "" })
	if broken := s.unrecovered(); broken != "" {
		s.stuck = fmt.Sprintf("%v after the faults ended: %s", healedTime, broken)
	}
	return s.world
}

// build sets up nodes, servers and models of random number and size.
func (s *schedule) build() {
	if s.chance(0.5) {
		s.decider = func(string) policy.Decider { return recklessDecider{world: s.world} }
	}
	for index := range 3 + s.random.IntN(4) {
		s.addModel(fmt.Sprint("m", index), "", uint64(4+s.random.IntN(8)), 1+s.random.IntN(2))
	}
	s.addModel("m0:a", "m0", 2, 1)
	for index := range 2 + s.random.IntN(3) {
		s.addServer(fmt.Sprint("s", index), uint64(14+s.random.IntN(12)))
	}
	for index := range 3 + s.random.IntN(3) {
		n := s.addNode(fmt.Sprint("n", index), s.zones[index%len(s.zones)])
		n.skew = s.between(0, time.Second)
	}
	s.odds = odds{
		lost:       s.oneOf(0, 0, 0.01, 0.1),
		answerLost: s.oneOf(0, 0, 0.05, 0.2),
		duplicated: s.oneOf(0, 0, 0.05, 0.2),
		late:       s.oneOf(0, 0, 0.02, 0.1),
		loadFails:  s.oneOf(0, 0.1),
	}
	s.listLag = s.between(0, 4*time.Second)
}

func (s *schedule) oneOf(values ...float64) float64 {
	return values[s.random.IntN(len(values))]
}

// scheduleDemand lets requests for random models wait at random nodes.
func (s *schedule) scheduleDemand() {
	s.after(s.between(50*time.Millisecond, 700*time.Millisecond), func() {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		n.report(s.models[s.random.IntN(len(s.models))], uint32(s.random.IntN(3)), uint32(s.random.IntN(2)))
		s.scheduleDemand()
	})
}

// scheduleFaults causes a random fault, again and again until the end of the
// faulty time.
func (s *schedule) scheduleFaults() {
	end := s.now.Add(faultyTime)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		faults[s.random.IntN(len(faults))](s)
		s.after(s.between(50*time.Millisecond, 2500*time.Millisecond), next)
	}
	s.after(s.between(0, time.Second), next)
}

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

// heal ends all faults.
func (s *schedule) heal() {
	s.note("all faults end")
	s.odds = odds{}
	s.cuts = make(map[string]bool)
	s.table.down, s.treeDown, s.listDown, s.listLag = false, false, false, 0
	for _, e := range s.servers {
		e.leaving = false
		if e.machine != platform.MachineLive {
			e.restart()
		}
		e.machine, e.down = platform.MachineLive, false
	}
	s.listMachines()
	for _, n := range s.nodes {
		n.presumed = time.Time{}
		s.bootIfDown(n)
		if n.frozen {
			n.thaw()
		}
	}
}

// unrecovered tells what does not work again after all faults have ended: there
// must be one owner that all nodes know, no unknown server and one revision.
func (s *schedule) unrecovered() string {
	owner := s.owner()
	if owner == nil {
		return "no owner"
	}
	term := owner.machine.Status().Cells[0].Term
	for _, n := range s.nodes {
		if n.machine == nil {
			return fmt.Sprintf("%s is down", n.id)
		}
		status := n.machine.Status()
		if status.Stopping {
			continue
		}
		if len(status.Cells) == 0 {
			return fmt.Sprintf("%s knows no cell", n.id)
		}
		if cell := status.Cells[0]; cell.Term != term || cell.UnknownServer > 0 || cell.Unreachable > 0 {
			return fmt.Sprintf("%s sees %+v", n.id, cell)
		}
		if status.TreeRevision != s.newest().revision {
			return fmt.Sprintf("%s has tree revision %d of %d", n.id, status.TreeRevision, s.newest().revision)
		}
	}
	return ""
}
