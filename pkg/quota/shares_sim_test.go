package quota

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// requestKind is a kind of request that the simulated tenant sends.
type requestKind struct {
	route            string
	priority         int
	usual            float64 // requests per second in normal load
	cost             float64
	target, deadline time.Duration // until an answer is late, and until the caller gives up
}

// requestKinds are the requests of a tenant whose costs differ by a factor of fifty.
var requestKinds = []requestKind{
	{"refund-post", 2, 40, 200, 120 * time.Millisecond, 1500 * time.Millisecond},
	{"balance-read", 2, 10, 200, 120 * time.Millisecond, 1500 * time.Millisecond},
	{"chat", 0, 56, 1800, 500 * time.Millisecond, 12 * time.Second},
	{"batch-review", 1, 35, 9400, 800 * time.Millisecond, 4 * time.Second},
	{"audit-review", 2, 57, 8800, 4 * time.Second, 13 * time.Second},
}

// Parameters of the simulation: the quota is 1.46 million tokens per second. The tenant normally
// uses 0.65 of it and sends hotFactor times as much from hotFrom to hotTo.
const (
	simQuota  = 1.46e6
	simSlack  = 110000.0
	simLength = 16 * time.Second
	hotFrom   = 4 * time.Second
	hotTo     = 10600 * time.Millisecond
	hotFactor = 6.0
)

// caller sends a request and repeats it once, if it is told to come back within a third of the time
// left.
type caller struct {
	kind     int
	first    time.Duration
	cost     float64
	mark     Mark
	returned bool // whether it has come back
	reserved bool // whether it got a reservation
	repeats  bool // repeats every 10 ms, whatever wait is announced
}

// kindResult counts what happened to the callers of one kind.
type kindResult struct {
	asked, served, inTime     int
	returned, refusedAgain    int // callers that came back, and those of them that were refused again
	reserved, reservedRefused int // the same for callers with a reservation
}

// simResult is the result of a simulation run.
type simResult struct {
	kinds    []kindResult
	repeats  kindResult
	used     float64 // part of the quota used in the hot period, including the initial burst
	peak     float64 // most that ran in any window, as a part of what may run
	messages float64 // messages per second in the hot period, heartbeats excluded
}

func (p simResult) all() kindResult {
	var sum kindResult
	for _, k := range p.kinds {
		sum.asked += k.asked
		sum.served += k.served
		sum.inTime += k.inTime
		sum.returned += k.returned
		sum.refusedAgain += k.refusedAgain
		sum.reserved += k.reserved
		sum.reservedRefused += k.reservedRefused
	}
	return sum
}

func part(a, b int) float64 { return float64(a) / float64(max(b, 1)) }

// fleetSim simulates a fleet of nodes with a holder.
type fleetSim struct {
	t           testing.TB
	tenants     *tenant.Table
	pool        *Pool
	ledgers     []Ledger
	deputy      Ledger
	term        uint64
	reported    []bool  // nodes that reported in this term
	shared      bool    // whether the quota is divided among routes
	byTenant    bool    // a refusal makes the node refuse all requests of the tenant
	scarce      bool    // whether the tenant was scarce at the last heartbeat
	noReport    bool    // nodes report in heartbeats only
	factor      float64 // multiple of the normal load in the hot period
	usual       float64 // factor on the normal load of each kind
	repeats     float64 // part of the callers that repeat every 10 ms
	lostFrom    time.Duration
	lostTo      time.Duration
	allLost     bool    // nodes are lost together with the holder
	lostAnswers float64 // part of the holder's answers that are lost
	asked       int     // questions to the holder
	random      *rand.Rand
	quota       float64
}

func newFleetSim(t testing.TB, nodes int, p policy) *fleetSim {
	tn := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: simQuota, Burst: simQuota, Tokens: true, PlainTokens: 200}}
	f := &fleetSim{t: t, tenants: table(t, tn), pool: &Pool{policy: p}, ledgers: make([]Ledger, nodes), term: 1,
		reported: make([]bool, nodes), shared: true, factor: hotFactor, usual: 1, quota: simQuota}
	f.pool.Tolerance = Tolerance{Overage: overage - 1, Slack: simSlack}
	return f
}

func (f *fleetSim) theTenant() *tenant.Tenant { return f.tenants.Named("a") }

func (f *fleetSim) noHolder(passed time.Duration) bool {
	return f.lostTo > 0 && passed >= f.lostFrom && passed < f.lostTo
}

// ask has a node decide on a request.
func (f *fleetSim) ask(now time.Time, passed time.Duration, node int, r Request) (bool, Answer) {
	l := &f.ledgers[node]
	if !f.shared {
		verdict, after := l.Decide(now, f.theTenant(), r.Amount)
		if verdict == Admit || verdict == Refuse {
			return verdict == Admit, Answer{After: after}
		}
		f.asked++
		after, granted := f.pool.Draw(now, f.theTenant(), r.Amount)
		if !granted {
			after = l.Denied(now, f.theTenant(), after)
		}
		return granted, Answer{After: after}
	}
	if a := l.accounts["a"]; f.byTenant && a != nil && now.Before(a.refusedUntil) {
		return false, Answer{After: a.refusedUntil.Sub(now)}
	}
	verdict, after := l.DecideFor(now, f.theTenant(), &r)
	if verdict == Admit || verdict == Refuse {
		return verdict == Admit, Answer{After: after}
	}
	f.asked++
	if f.noHolder(passed) {
		return f.decideAlone(now, l, r)
	}
	f.report(now, node)
	answer := f.pool.DrawFor(now, f.theTenant(), r)
	if f.random.Float64() < f.lostAnswers {
		return f.decideAlone(now, l, r)
	}
	answer.After = l.Answered(now, f.theTenant(), r, answer)
	if f.byTenant && !answer.Granted {
		l.Denied(now, f.theTenant(), answer.After)
	}
	return answer.Granted, answer
}

func (f *fleetSim) decideAlone(now time.Time, l *Ledger, r Request) (bool, Answer) {
	l.Unanswered(now)
	if f.allLost {
		answer := l.DecideAloneFor(now, f.theTenant(), r, len(f.ledgers))
		return answer.Granted, answer
	}
	answer := f.deputy.DecideAloneFor(now, f.theTenant(), r, 1)
	if answer.Granted {
		l.DeputyGrantedFor(f.theTenant(), r)
	}
	return answer.Granted, answer
}

func (f *fleetSim) heartbeat(now time.Time, node int) {
	for _, spent := range f.ledgers[node].Report() {
		f.pool.SpentBy(now, f.theTenant(), spent, !f.reported[node])
	}
	f.reported[node] = true
	scarce := f.pool.Scarce(now, f.tenants)
	f.ledgers[node].UpdateScarce(now, scarce)
	f.deputy.UpdateScarce(now, scarce)
	if len(scarce) > 0 {
		for i := range f.ledgers {
			f.ledgers[i].UpdateScarce(now, scarce)
		}
	}
	if len(scarce) > 0 && !f.scarce && !f.noReport { // all nodes report at once
		for i := range f.ledgers {
			f.report(now, i)
		}
	}
	f.scarce = len(scarce) > 0
}

// report has a node report what it spent, unless it has not reported in this term yet.
func (f *fleetSim) report(now time.Time, node int) {
	if !f.reported[node] || f.noReport {
		return
	}
	for _, spent := range f.ledgers[node].ReportOf(f.theTenant()) {
		f.pool.SpentBy(now, f.theTenant(), spent, false)
	}
}

// loseHolder restarts all nodes if they are lost with the holder.
func (f *fleetSim) loseHolder() {
	if f.allLost {
		f.ledgers = make([]Ledger, len(f.ledgers))
		f.deputy = Ledger{}
		f.seed()
	}
}

// seed makes the ledgers use the simulation's random numbers.
func (f *fleetSim) seed() {
	f.deputy.Chance = f.random.Float64
	for i := range f.ledgers {
		f.ledgers[i].Chance = f.random.Float64
	}
}

func (f *fleetSim) newHolder(now time.Time) {
	f.term++
	clear(f.reported)
	gap := f.lostTo - f.lostFrom
	if f.allLost {
		gap = 0
	}
	f.pool.Begin(now, f.term, Start{Gap: gap})
}

// run simulates the load and returns what the callers got.
func (f *fleetSim) run(seed uint64) simResult {
	f.random = rand.New(rand.NewPCG(seed, 9))
	f.seed()
	start := time.Unix(1000, 0)
	f.pool.Begin(start.Add(-10*time.Second), 1, Start{})
	for i := range f.ledgers {
		f.ledgers[i].UpdateScarce(start, nil)
	}
	steps := int(simLength / time.Millisecond)
	due := make([][]*caller, steps+1)
	ran := make([]float64, steps+1)
	out := simResult{kinds: make([]kindResult, len(requestKinds))}
	asked := 0
	for step := range steps {
		passed := time.Duration(step) * time.Millisecond
		now := start.Add(passed)
		if f.lostTo > 0 && passed == f.lostFrom {
			f.loseHolder()
		}
		if f.lostTo > 0 && passed == f.lostTo {
			f.newHolder(now)
		}
		for node := step % 1000; node < len(f.ledgers) && !f.noHolder(passed); node += 1000 {
			f.heartbeat(now, node)
		}
		if passed == hotFrom {
			asked = f.asked
		}
		if passed == hotTo {
			out.messages = float64(f.asked-asked) / (hotTo - hotFrom).Seconds()
		}
		for _, c := range append(f.arrivals(passed), due[step]...) {
			if f.visit(now, passed, c, &out, due) {
				ran[step+1] += c.cost
			}
		}
	}
	for i := 1; i <= steps; i++ {
		ran[i] += ran[i-1]
	}
	out.used = (ran[hotTo.Milliseconds()] - ran[hotFrom.Milliseconds()]) / (f.quota * (hotTo - hotFrom).Seconds())
	out.peak = load{rate: f.quota}.peakOf(ran, time.Millisecond, simSlack)
	return out
}

// peakOf is peak for another step and slack.
func (l load) peakOf(ran []float64, step time.Duration, slack float64) float64 {
	width := int(quotaWindow / step)
	most := 0.0
	for i := width; i < len(ran); i++ {
		most = max(most, ran[i]-ran[i-width])
	}
	return most / ((l.rate*quotaWindow.Seconds()+l.rate)*overage + slack)
}

// arrivals returns the callers that arrive within a millisecond.
func (f *fleetSim) arrivals(passed time.Duration) []*caller {
	var list []*caller
	for i, k := range requestKinds {
		rate := k.usual * f.usual
		if passed >= hotFrom && passed < hotTo {
			rate *= f.factor
		}
		if f.random.Float64() >= rate/1000 {
			continue
		}
		c := &caller{kind: i, first: passed, cost: k.cost * (0.5 + f.random.Float64()), repeats: f.random.Float64() < f.repeats}
		binary.LittleEndian.PutUint64(c.mark[:], f.random.Uint64())
		list = append(list, c)
	}
	return list
}

// visit has a caller send its request, and come back later if it is refused.
func (f *fleetSim) visit(now time.Time, passed time.Duration, c *caller, out *simResult, due [][]*caller) bool {
	k := requestKinds[c.kind]
	waited := passed - c.first
	third := (k.deadline - waited) / 3
	within := max(min(k.target/2, third)-waited, 0)
	r := Request{Route: k.route, Priority: k.priority, Amount: c.cost, Mark: c.mark, Within: within, Returns: third}
	granted, answer := f.ask(now, passed, f.random.IntN(len(f.ledgers)), r)
	hot := c.first >= hotFrom && c.first < hotTo && f.factor > 1 || f.factor == 1
	to := &out.kinds[c.kind]
	if c.repeats {
		to = &out.repeats
	}
	if !hot {
		to = &kindResult{}
	}
	if !c.returned {
		to.asked++
	}
	if c.returned && !c.repeats {
		to.returned++
		if !granted {
			to.refusedAgain++
		}
		if c.reserved {
			to.reserved++
			if !granted {
				to.reservedRefused++
			}
		}
	}
	if granted {
		to.served++
		if waited <= k.target*6/10 {
			to.inTime++
		}
		return true
	}
	back := passed + answer.After + time.Duration(4+f.random.IntN(16))*time.Millisecond
	if c.repeats {
		back = passed + 10*time.Millisecond
	}
	comes := !c.returned && answer.After <= third || c.repeats && waited < k.deadline
	c.returned, c.reserved = true, answer.Reserved
	if comes && int(back/time.Millisecond) < len(due) {
		due[back/time.Millisecond] = append(due[back/time.Millisecond], c)
	}
	return false
}

// describe formats the result as a row of the comparison.
func (p simResult) describe() string {
	row := ""
	for i, k := range requestKinds {
		r := p.kinds[i]
		row += fmt.Sprintf(" %s %.2f/%.2f", k.route[:4], part(r.served, r.asked), part(r.inTime, r.asked))
	}
	all := p.all()
	return row + fmt.Sprintf(" | all %.2f/%.2f again %d/%d broken %d/%d used %.2f peak %.2f messages %.0f",
		part(all.served, all.asked), part(all.inTime, all.asked), all.refusedAgain, all.returned, all.reservedRefused, all.reserved, p.used, p.peak, p.messages)
}

// TestCompareShares prints with -v how callers fare under the different ways to divide a quota.
func TestCompareShares(t *testing.T) {
	ratio := func(r float64) func(int) float64 {
		return func(priority int) float64 {
			w := 1.0
			for range priority {
				w /= r
			}
			return w
		}
	}
	for _, nodes := range []int{30, 78, 300} {
		for _, way := range []struct {
			name   string
			policy policy
			set    func(*fleetSim)
		}{
			{"undivided", policy{}, func(f *fleetSim) { f.shared = false }},
			{"equal", policy{weight: ratio(1), noFloor: true}, nil},
			{"strict", policy{weight: ratio(1000), noFloor: true}, nil},
			{"ratio 2", policy{weight: ratio(2), noFloor: true}, nil},
			{"in use", policy{}, nil},
			{"no marks", policy{noMarks: true}, nil},
			{"no sieve", policy{noSieve: true}, nil},
			{"no report", policy{}, func(f *fleetSim) { f.noReport = true }},
			{"by tenant", policy{}, func(f *fleetSim) { f.byTenant = true }},
		} {
			f := newFleetSim(t, nodes, way.policy)
			if way.set != nil {
				way.set(f)
			}
			t.Logf("%3d %-9s%s", nodes, way.name, f.run(1).describe())
		}
	}
}
