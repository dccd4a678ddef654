package explore

import (
	"fmt"
	"time"

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
