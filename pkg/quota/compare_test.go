package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// strategy is a way to keep a quota over many nodes that the simulation compares.
type strategy interface {
	// admit decides on a request at a node.
	admit(now time.Time, node int, cost float64) bool
	// heartbeat exchanges a node's heartbeat with the holder, once a second.
	heartbeat(now time.Time, node int)
	// loseHolder stops the holder and discards its state. If all is set, the nodes lose theirs as
	// well.
	loseHolder(now time.Time, all bool)
	// newHolder begins the next holder's term.
	newHolder(now time.Time)
	// messages returns the number of messages sent, heartbeats excluded.
	messages() int
}

// load is what a tenant sends and which failures happen meanwhile. Times are seconds from the
// start; zero means that the event does not happen.
type load struct {
	name      string
	nodes     int
	rate      float64 // quota in tokens per second; the burst is the same number
	usualPart float64 // part of the quota that the tenant normally sends
	hotFactor float64 // multiple of the normal load in the hot period
	from, to  float64 // hot period
	lostAt    float64 // when the holder is lost, for 2.5 s
	allLost   bool    // whether all nodes are lost with the holder
	cutFrom   float64 // a third of the nodes is cut off from the holder, from cutFrom to cutTo
	cutTo     float64
}

// outcome is the result of a strategy under a load.
type outcome struct {
	peak           float64 // most that ran in any window, as a part of what may run
	wronglyRefused float64 // part of the requests within the quota that was refused
	messages       float64 // per second, heartbeats excluded
}

// Parameters of the simulation. Window, overage and slack are those of the users' site; the cost is
// the mean of its requests.
const (
	simStep     = 10 * time.Millisecond
	simTime     = 40 * time.Second
	quotaWindow = 8 * time.Second
	overage     = 1.1
	windowSlack = 11000.0
	meanCost    = 1632.0
	holderGap   = 2500 * time.Millisecond
)

// simulate runs a load.
func simulate(s strategy, l load, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	steps := int(simTime / simStep)
	ran := make([]float64, steps+1) // cumulative
	owed, lacked, ideal := 0.0, 0.0, l.rate
	lostAt, backAt := at(l.lostAt), at(l.lostAt)+holderGap
	for step := range steps {
		passed := time.Duration(step) * simStep
		now := start.Add(passed)
		if l.lostAt > 0 && passed == lostAt {
			s.loseHolder(now, l.allLost)
		}
		if l.lostAt > 0 && passed == backAt {
			s.newHolder(now)
		}
		noHolder := l.lostAt > 0 && passed >= lostAt && passed < backAt
		for node := step % 100; node < l.nodes; node += 100 {
			if !noHolder && !l.cut(node, passed) {
				s.heartbeat(now, node)
			}
		}
		sends := l.usualPart * l.rate
		if passed >= at(l.from) && passed < at(l.to) {
			sends *= l.hotFactor
		}
		ideal = min(ideal+l.rate*simStep.Seconds(), l.rate)
		sum := 0.0
		for n := random.Float64(); n < sends*simStep.Seconds()/meanCost; n++ {
			cost := meanCost * (0.5 + random.Float64())
			node := random.IntN(l.nodes)
			admitted := s.admit(now, node, cost)
			if admitted {
				sum += cost
			}
			if cost <= ideal {
				ideal -= cost
				owed += cost
				if !admitted {
					lacked += cost
				}
			}
		}
		ran[step+1] = ran[step] + sum
	}
	return outcome{peak: l.peak(ran), wronglyRefused: lacked / owed, messages: float64(s.messages()) / simTime.Seconds()}
}

func at(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Truncate(simStep)
}

// cut reports whether a node is cut off from the holder.
func (l load) cut(node int, passed time.Duration) bool {
	return l.cutTo > 0 && node%3 == 0 && passed >= at(l.cutFrom) && passed < at(l.cutTo)
}

// peak returns the most that ran in a window, as a part of what may run.
func (l load) peak(ran []float64) float64 {
	width := int(quotaWindow / simStep)
	most := 0.0
	for i := width; i < len(ran); i++ {
		most = max(most, ran[i]-ran[i-width])
	}
	return most / ((l.rate*quotaWindow.Seconds()+l.rate)*overage + windowSlack)
}

// reportingStrategy is the strategy of this package. With always set, nodes ask for each request.
type reportingStrategy struct {
	load    load
	tenants *tenant.Table
	pool    Pool
	term    uint64
	ledgers []Ledger
	// deputyLedger is the ledger in which the deputy decides for all nodes.
	deputyLedger Ledger
	reported     []bool // nodes that reported in this term
	noHolder     bool
	always       bool
	chance       func() float64
	asked        int // questions to the holder
}

func newReportingStrategy(t testing.TB, l load, always bool) *reportingStrategy {
	tn := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: l.rate, Burst: l.rate, Tokens: true}}
	s := &reportingStrategy{load: l, tenants: table(t, tn), term: 1, always: always}
	random := rand.New(rand.NewPCG(5, 6))
	s.chance = random.Float64
	s.restartNodes()
	s.reported = make([]bool, l.nodes)
	s.pool.Tolerance = Tolerance{Overage: overage - 1, Slack: windowSlack}
	s.pool.Begin(time.Unix(990, 0), 1, Start{})
	return s
}

func (s *reportingStrategy) theTenant() *tenant.Tenant { return s.tenants.Named("a") }

func (s *reportingStrategy) reaches(now time.Time, node int) bool {
	return !s.noHolder && !s.load.cut(node, now.Sub(time.Unix(1000, 0)))
}

func (s *reportingStrategy) admit(now time.Time, node int, cost float64) bool {
	l := &s.ledgers[node]
	verdict, _ := l.Decide(now, s.theTenant(), cost)
	if verdict == Admit && s.always {
		l.GiveBack(s.theTenant(), cost)
		verdict = Ask
	}
	if verdict == Admit || verdict == Refuse {
		return verdict == Admit
	}
	s.asked++
	if !s.reaches(now, node) {
		l.Unanswered(now)
		return s.admitAlone(now, node, cost)
	}
	after, granted := s.pool.Draw(now, s.theTenant(), cost)
	if !granted {
		l.Denied(now, s.theTenant(), after)
	}
	return granted
}

// deputy is the node that all nodes ask without a holder. Nodes that are cut off do not reach it.
const deputy = 1

func (s *reportingStrategy) admitAlone(now time.Time, node int, cost float64) bool {
	l := &s.ledgers[node]
	if s.load.allLost || s.load.cut(node, now.Sub(time.Unix(1000, 0))) { // no node knows or reaches the others
		verdict, _ := l.DecideAlone(now, s.theTenant(), cost, s.load.nodes)
		return verdict == Admit
	}
	verdict, _ := s.deputyLedger.DecideAlone(now, s.theTenant(), cost, 1)
	if verdict == Admit {
		l.DeputyGranted(s.theTenant(), cost)
	}
	return verdict == Admit
}

func (s *reportingStrategy) heartbeat(now time.Time, node int) {
	for _, spent := range s.ledgers[node].Report() {
		s.pool.Spent(now, s.theTenant(), spent.Amount, !s.reported[node])
	}
	s.reported[node] = true
	scarce := s.pool.Scarce(now, s.tenants)
	s.ledgers[node].UpdateScarce(now, scarce)
	if node == deputy {
		s.deputyLedger.UpdateScarce(now, scarce)
	}
	if len(scarce) == 0 {
		return
	}
	for other := range s.ledgers { // the holder announces newly scarce tenants at once
		if s.reaches(now, other) {
			s.ledgers[other].UpdateScarce(now, scarce)
		}
	}
}

func (s *reportingStrategy) loseHolder(_ time.Time, all bool) {
	s.noHolder = true
	if all {
		s.restartNodes()
	}
}

// restartNodes restarts all nodes with empty state.
func (s *reportingStrategy) restartNodes() {
	s.ledgers = make([]Ledger, s.load.nodes)
	for i := range s.ledgers {
		s.ledgers[i].Chance = s.chance
	}
}

func (s *reportingStrategy) newHolder(now time.Time) {
	s.noHolder = false
	s.term++
	clear(s.reported)
	gap := holderGap
	if s.load.allLost {
		gap = 0 // no node has heard from a holder since its restart
	}
	s.pool.Begin(now, s.term, Start{Gap: gap})
}

func (s *reportingStrategy) messages() int { return s.asked }

// staticShares gives each node an equal part of half of the quota. The holder lends the other half,
// as the budget for retries does.
type staticShares struct {
	load     load
	nodes    []bucket
	lent     bucket
	noHolder bool
	asked    int // questions to the holder
}

func newShares(l load) *staticShares {
	s := &staticShares{load: l, nodes: make([]bucket, l.nodes)}
	each := l.rate / 2 / float64(l.nodes)
	for i := range s.nodes {
		s.nodes[i] = bucket{rate: each, size: each, level: each, updated: time.Unix(1000, 0)}
	}
	s.lent = bucket{rate: l.rate / 2, size: l.rate / 2, level: l.rate / 2, updated: time.Unix(1000, 0)}
	return s
}

// take takes an amount out of a bucket.
func (b *bucket) take(now time.Time, amount float64) bool {
	b.level = min(b.level+b.rate*now.Sub(b.updated).Seconds(), b.size)
	b.updated = now
	if b.level < amount {
		return false
	}
	b.level -= amount
	return true
}

func (s *staticShares) admit(now time.Time, node int, cost float64) bool {
	if s.nodes[node].take(now, cost) {
		return true
	}
	s.asked++
	return !s.noHolder && !s.load.cut(node, now.Sub(time.Unix(1000, 0))) && s.lent.take(now, cost)
}

func (s *staticShares) heartbeat(time.Time, int) {}

func (s *staticShares) loseHolder(now time.Time, all bool) {
	s.noHolder = true
	if all {
		for i := range s.nodes {
			s.nodes[i].level, s.nodes[i].updated = 0, now
		}
	}
}

func (s *staticShares) newHolder(now time.Time) {
	s.noHolder = false
	s.lent.level, s.lent.updated = 0, now
}

func (s *staticShares) messages() int { return s.asked }

// estimateStrategy has each node learn from its heartbeats how much all nodes sent in the last
// second. The node admits the part of its requests that the quota is of that amount.
type estimateStrategy struct {
	load   load
	random *rand.Rand
	sent   []float64 // by each node since its heartbeat
	known  []float64 // by each node in the last second, as reported to the holder
	part   []float64
}

func newEstimate(l load) *estimateStrategy {
	e := &estimateStrategy{load: l, random: rand.New(rand.NewPCG(3, 4)), sent: make([]float64, l.nodes), known: make([]float64, l.nodes), part: make([]float64, l.nodes)}
	for i := range e.part {
		e.part[i] = 1
	}
	return e
}

func (e *estimateStrategy) admit(_ time.Time, node int, cost float64) bool {
	e.sent[node] += cost
	return e.random.Float64() < e.part[node]
}

func (e *estimateStrategy) heartbeat(_ time.Time, node int) {
	e.known[node], e.sent[node] = e.sent[node], 0
	sum := 0.0
	for _, amount := range e.known {
		sum += amount
	}
	e.part[node] = min(1, e.load.rate/max(sum, 1))
}

func (e *estimateStrategy) loseHolder(_ time.Time, all bool) {
	if all {
		for i := range e.part {
			e.part[i], e.sent[i], e.known[i] = 1, 0, 0
		}
	}
}
func (e *estimateStrategy) newHolder(time.Time) {}
func (e *estimateStrategy) messages() int       { return 0 }

// loads returns the loads of the comparison: the smallest and the largest tenant of the users'
// site, each with the failures that may happen.
func loads() []load {
	var list []load
	for name, rate := range map[string]float64{"small": 20700, "large": 190000} {
		base := load{nodes: 87, rate: rate, usualPart: 0.55}
		for _, l := range []load{
			{name: "calm"},
			{name: "near its quota", usualPart: 0.95},
			{name: "hot", hotFactor: 7.5, from: 12, to: 18.5},
			{name: "very hot", hotFactor: 20, from: 12, to: 18.5},
			{name: "holder lost", lostAt: 15},
			{name: "hot, holder lost", hotFactor: 7.5, from: 12, to: 25, lostAt: 15},
			{name: "hot as the holder is lost", hotFactor: 7.5, from: 15, to: 25, lostAt: 15},
			{name: "hot after the holder was lost", hotFactor: 6, from: 15, to: 27, lostAt: 12},
			{name: "hot, all killed", hotFactor: 7.5, from: 12, to: 25, lostAt: 15, allLost: true},
			{name: "hot, a third cut off", hotFactor: 7.5, from: 12, to: 25, cutFrom: 10, cutTo: 19},
		} {
			l.nodes, l.rate = base.nodes, base.rate
			if l.usualPart == 0 {
				l.usualPart = base.usualPart
			}
			if l.hotFactor == 0 {
				l.hotFactor = 1
			}
			l.name = name + ", " + l.name
			list = append(list, l)
		}
	}
	return list
}

// TestQUOTAOfAllNodes simulates several strategies and checks the one in use: no window exceeds
// what may run under any load, and hardly a request within the quota is refused. With -v it prints
// the figures of all strategies.
func TestQUOTAOfAllNodes(t *testing.T) {
	for _, l := range loads() {
		var row string
		for _, way := range []struct {
			name string
			make func() strategy
		}{
			{"reports", func() strategy { return newReportingStrategy(t, l, false) }},
			{"asks", func() strategy { return newReportingStrategy(t, l, true) }},
			{"shares", func() strategy { return newShares(l) }},
			{"estimate", func() strategy { return newEstimate(l) }},
		} {
			var worst outcome
			for seed := range uint64(8) {
				got := simulate(way.make(), l, seed)
				worst.peak = max(worst.peak, got.peak)
				worst.wronglyRefused += got.wronglyRefused / 8
				worst.messages += got.messages / 8
			}
			row += fmt.Sprintf(" | %s %.2f %.3f %4.0f", way.name, worst.peak, worst.wronglyRefused, worst.messages)
			if way.name != "reports" {
				continue
			}
			if worst.peak > 1 {
				t.Errorf("%s: a window has %.2f of what may run", l.name, worst.peak)
			}
			if l.hotFactor == 1 && l.lostAt == 0 && worst.wronglyRefused > 0.01 {
				t.Errorf("%s: %.3f of the requests within the quota were refused", l.name, worst.wronglyRefused)
			}
		}
		t.Logf("%-34s%s", l.name, row)
	}
}
