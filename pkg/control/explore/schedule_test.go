package explore

import (
	"fmt"
	"time"

	"martenwheel.dev/pkg/control/internal/switches"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/policy"
)

// Phases of a schedule in virtual time.
const (
	faultyTime = 30 * time.Second
	healedTime = 60 * time.Second
)

// options are common to all schedules of one run.
type options struct {
	unsafe        switches.Set
	recovery      bool // a cell that does not recover after the faults counts as a violation
	ownMembership bool // use package membership instead of the oracle
}

// schedule is one random run. Sizes, odds and the times of faults all derive from
// the seed.
type schedule struct {
	*simulation
	zones []string
}

// runSchedule runs the schedule of a seed and returns its simulation, whose
// failure is empty if all invariants held.
func runSchedule(seed uint64, o options, tracing bool) *simulation {
	s := &schedule{simulation: newSimulation(seed), zones: []string{"z1", "z2", "z3"}}
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
		s.unrecoveredState = fmt.Sprintf("%v after the faults ended: %s", healedTime, broken)
	}
	return s.simulation
}

// build creates nodes, servers and models of random number and size.
func (s *schedule) build() {
	if s.chance(0.5) {
		s.decider = func(string) policy.Decider { return randomDecider{sim: s.simulation} }
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
		n.skew = s.randomDuration(0, time.Second)
	}
	s.odds = odds{
		lost:       s.oneOf(0, 0, 0.01, 0.1),
		answerLost: s.oneOf(0, 0, 0.05, 0.2),
		duplicated: s.oneOf(0, 0, 0.05, 0.2),
		late:       s.oneOf(0, 0, 0.02, 0.1),
		loadFails:  s.oneOf(0, 0.1),
	}
	s.listLag = s.randomDuration(0, 4*time.Second)
}

// oneOf returns one of the values at random.
func (s *schedule) oneOf(values ...float64) float64 {
	return values[s.random.IntN(len(values))]
}

// scheduleDemand reports demand for random models at random nodes, at random
// intervals.
func (s *schedule) scheduleDemand() {
	s.after(s.randomDuration(50*time.Millisecond, 700*time.Millisecond), func() {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		n.report(s.models[s.random.IntN(len(s.models))], uint32(s.random.IntN(3)), uint32(s.random.IntN(2)))
		s.scheduleDemand()
	})
}

// scheduleFaults injects random faults at random intervals until the end of
// faultyTime.
func (s *schedule) scheduleFaults() {
	end := s.now.Add(faultyTime)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		faults[s.random.IntN(len(faults))](s)
		s.after(s.randomDuration(50*time.Millisecond, 2500*time.Millisecond), next)
	}
	s.after(s.randomDuration(0, time.Second), next)
}

// heal ends all faults, restarts the nodes that are down and brings back lost
// machines.
func (s *schedule) heal() {
	s.tracef("all faults end")
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
		n.presumedDeadUntil = time.Time{}
		s.bootIfDown(n)
		if n.frozen {
			n.thaw()
		}
	}
}

// unrecovered returns what does not work after all faults have ended, or "".
// There must be one owner that all nodes know, no unknown or unreachable server,
// and one tree revision.
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
			return fmt.Sprintf("%s has status %+v", n.id, cell)
		}
		if status.TreeRevision != s.newest().revision {
			return fmt.Sprintf("%s has tree revision %d of %d", n.id, status.TreeRevision, s.newest().revision)
		}
	}
	return ""
}
