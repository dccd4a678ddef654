package quota

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

func markOf(n uint64) Mark {
	var m Mark
	binary.LittleEndian.PutUint64(m[:], n)
	return m
}

// checkCallers checks what callers got in a simulation: nearly all cheap requests are served, no
// kind is starved, urgent kinds are not served less than others, nearly all reservations are
// honoured, and the quota is used but not exceeded.
func checkCallers(p simResult) error {
	all := part(p.all().served, p.all().asked)
	for i, k := range requestKinds {
		served := part(p.kinds[i].served, p.kinds[i].asked)
		switch {
		case k.cost < 1000 && served < 0.99:
			return fmt.Errorf("%s: %.3f of a cheap kind were admitted", k.route, served)
		case served < all/4:
			return fmt.Errorf("%s: %.3f were admitted, of all kinds %.3f", k.route, served, all)
		}
	}
	chat, batch, audit := p.kinds[2], p.kinds[3], p.kinds[4]
	if a, b := part(chat.served, chat.asked), part(batch.served, batch.asked); a < b-0.05 {
		return fmt.Errorf("%.3f of chat and %.3f of the less urgent batch were admitted", a, b)
	}
	if a, b := part(batch.served, batch.asked), part(audit.served, audit.asked); a < b-0.05 {
		return fmt.Errorf("%.3f of batch and %.3f of the less urgent audit were admitted", a, b)
	}
	if broken := part(p.all().reservedRefused, p.all().reserved); broken > 0.015 {
		return fmt.Errorf("%.3f of the callers with a reservation were refused again", broken)
	}
	if p.used < 0.95 || p.peak > 1 {
		return fmt.Errorf("%.2f of the quota were used, and a window has %.2f of what may run", p.used, p.peak)
	}
	return nil
}

// TestSharesServeAllKinds simulates the load with three fleet sizes. The rejected ways to divide
// the quota must each fail the same check.
func TestSharesServeAllKinds(t *testing.T) {
	for _, nodes := range []int{30, 78, 300} {
		for seed := range uint64(3) {
			if err := checkCallers(newFleetSim(t, nodes, policy{}).run(seed)); err != nil {
				t.Errorf("%d nodes, seed %d: %v", nodes, seed, err)
			}
		}
	}
	strict := func(priority int) float64 { return math.Pow(1000, -float64(priority)) }
	for name, f := range map[string]*fleetSim{
		"not divided":        {shared: false},
		"strict priority":    {shared: true, pool: &Pool{policy: policy{weight: strict, noFloor: true}}},
		"no floor":           {shared: true, pool: &Pool{policy: policy{noFloor: true}}},
		"no marks":           {shared: true, pool: &Pool{policy: policy{noMarks: true}}},
		"refusals by tenant": {shared: true, byTenant: true},
	} {
		way := newFleetSim(t, 78, policy{})
		if f.pool != nil {
			way.pool.policy = f.pool.policy
		}
		way.shared, way.byTenant = f.shared, f.byTenant
		if err := checkCallers(way.run(1)); err == nil {
			t.Errorf("%s: the check passes, want an error", name)
		} else {
			t.Logf("%s: %v", name, err)
		}
	}
}

// TestNodesAskInProportionToTheQuota: at twenty times the normal load, nodes refuse most requests
// without asking the holder, and requests with a reservation are still granted.
func TestNodesAskInProportionToTheQuota(t *testing.T) {
	with, without := newFleetSim(t, 78, policy{}), newFleetSim(t, 78, policy{noSieve: true})
	with.factor, without.factor = 20, 20
	got, all := with.run(1), without.run(1)
	t.Logf("%.0f messages a second, %.0f if nodes ask for all", got.messages, all.messages)
	if got.messages > 0.7*all.messages {
		t.Errorf("%.0f messages a second, of %.0f if nodes ask for all", got.messages, all.messages)
	}
	if broken := part(got.all().reservedRefused, got.all().reserved); broken > 0.01 {
		t.Errorf("%.3f of the reservations were not honoured", broken)
	}
	if served, most := part(got.all().served, got.all().asked), part(all.all().served, all.all().asked); served < most-0.05 {
		t.Errorf("%.3f were admitted, %.3f if nodes ask for all", served, most)
	}
}

// TestRepeatingAtOnceGainsNothing: callers that repeat every 10 ms must not be served in time more
// often than the others, and the others must lose nothing by them.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	f := newFleetSim(t, 78, policy{})
	without := f.run(1)
	f = newFleetSim(t, 78, policy{})
	f.repeats = 0.1
	with := f.run(1)
	others, before := with.all(), without.all()
	// Callers that repeat until the burst is over are admitted then. The gain would be to be served
	// in time.
	gained := part(with.repeats.inTime, with.repeats.asked)
	t.Logf("served in time: %.3f of the repeating callers, %.3f of the others, %.3f without repeating callers", gained,
		part(others.inTime, others.asked), part(before.inTime, before.asked))
	if gained > part(others.inTime, others.asked)+0.05 {
		t.Error("repeating callers are served in time more often than the others")
	}
	if part(others.served, others.asked) < part(before.served, before.asked)-0.05 {
		t.Error("fewer of the other callers are served than without repeating callers")
	}
	if part(others.reservedRefused, others.reserved) > 0.02 {
		t.Errorf("%d of %d reservations were not honoured", others.reservedRefused, others.reserved)
	}
	if with.peak > 1 {
		t.Errorf("a window has %.2f of what may run", with.peak)
	}
}

// TestFailuresWhileSharesAreLent simulates one failure at a time during the burst.
func TestFailuresWhileSharesAreLent(t *testing.T) {
	for name, set := range map[string]func(*fleetSim){
		"holder lost":             func(f *fleetSim) { f.lostFrom, f.lostTo = 6*time.Second, 8500*time.Millisecond },
		"holder lost as it began": func(f *fleetSim) { f.lostFrom, f.lostTo = 4*time.Second, 6500*time.Millisecond },
		"all restarted":           func(f *fleetSim) { f.lostFrom, f.lostTo, f.allLost = 6*time.Second, 8500*time.Millisecond, true },
		"draws lost":              func(f *fleetSim) { f.lostAnswers = 0.05 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetSim(t, 78, policy{})
			set(f)
			got := f.run(1)
			t.Log(got.describe())
			if got.peak > 1 {
				t.Errorf("a window has %.2f of what may run", got.peak)
			}
			cheap := part(got.kinds[0].served+got.kinds[1].served, got.kinds[0].asked+got.kinds[1].asked)
			least := 0.97
			if f.lostTo > 0 { // without a holder, nodes admit a fifth of the quota, and cheap requests ask for a quarter of that
				least = 0.7
			}
			if cheap < least {
				t.Errorf("%.3f of the cheap requests were admitted", cheap)
			}
			if used := got.used; used < 0.6 {
				t.Errorf("%.2f of the quota were used", used)
			}
		})
	}
}

// TestBoundOfRandomSchedules: for random routes, priorities, amounts and repeats, no window is
// granted more than the bucket holds plus what flows in, except for one request and the debt that
// reservations may make.
func TestBoundOfRandomSchedules(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 1))
		rate := math.Pow(10, 1+4*random.Float64())
		tn := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: rate, Burst: rate * 2 * random.Float64(), Tokens: true}}
		p := &Pool{}
		now := time.Unix(1000, 0)
		p.Begin(now, 1, Start{Gap: time.Duration(random.IntN(2)) * time.Second})
		size, _ := p.Tolerance.sizeOf(tn.Quota)
		type run struct {
			at     time.Time
			amount float64
		}
		var ran []run
		largest := 0.0
		scale := rate * math.Pow(10, -3+3*random.Float64())
		routes := 1 + random.IntN(8)
		for range 200 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			route := random.IntN(routes)
			r := Request{Route: fmt.Sprint(route), Priority: route - 2, Amount: scale * random.Float64(),
				Mark: markOf(random.Uint64N(50)), Within: time.Duration(random.IntN(2000)) * time.Millisecond,
				Returns: time.Second, Part: random.Float64()}
			if p.DrawFor(now, tn, r).Granted {
				ran = append(ran, run{now, r.Amount})
				largest = max(largest, r.Amount)
			}
		}
		for i := range ran {
			sum := 0.0
			for j := i; j < len(ran); j++ {
				sum += ran[j].amount
				bound := size*(1+maxReservationDebt) + rate*ran[j].at.Sub(ran[i].at).Seconds() + largest
				if sum > bound*(1+1e-9) {
					t.Fatalf("seed %d: %g were granted within %v, want at most %g", seed, sum, ran[j].at.Sub(ran[i].at), bound)
				}
			}
		}
	}
}

// TestARouteWithinItsShareIsNotRefused: a route that asks for no more than its guaranteed part, in
// requests that are small relative to it, is never refused, whatever other routes ask for, and also
// when it comes back after a pause.
func TestARouteWithinItsShareIsNotRefused(t *testing.T) {
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 2))
		const rate, step = 1e5, 2 * time.Millisecond
		tn := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: rate, Burst: rate, Tokens: true}}
		p := &Pool{}
		now := time.Unix(1000, 0)
		p.Begin(now, 1, Start{})
		others := 1 + random.IntN(4)
		priority := random.IntN(3)
		urgency, mine := 0.0, policy{}.urgency(priority)
		for i := range others {
			urgency += policy{}.urgency(i % 3)
		}
		asks := 0.9 * guaranteedPart * rate * mine / (urgency + mine)
		pauseFrom := time.Second + time.Duration(random.IntN(1000))*time.Millisecond
		pauseTo := pauseFrom + time.Duration(random.IntN(1500))*time.Millisecond
		floods := 1 + 5*random.Float64()
		due := 0.0
		for passed := time.Duration(0); passed < 4*time.Second; passed += step {
			now = now.Add(step)
			for i := range others {
				p.DrawFor(now, tn, Request{Route: fmt.Sprint(i), Priority: i % 3, Amount: 2 * floods * rate * step.Seconds() * random.Float64(),
					Mark: markOf(random.Uint64()), Within: time.Second, Returns: time.Second})
			}
			if passed >= pauseFrom && passed < pauseTo {
				continue
			}
			for due += asks * step.Seconds(); due > 0; {
				amount := 2 * asks * step.Seconds() * random.Float64()
				due -= amount
				answer := p.DrawFor(now, tn, Request{Route: "mine", Priority: priority, Amount: amount, Mark: markOf(random.Uint64())})
				if !answer.Granted && passed > 500*time.Millisecond {
					t.Fatalf("seed %d: refused after %v at priority %d beside %d routes: %+v", seed, passed, priority, others, answer)
				}
			}
		}
	}
}

// scarceRoute returns a pool whose route "a" has spent its reserve and all that it can borrow, and the
// current time.
func scarceRoute(tn *tenant.Tenant) (*Pool, time.Time) {
	p, now := fullPool()
	for p.DrawFor(now, tn, Request{Route: "a", Amount: 100}).Granted {
	}
	return p, now
}

// TestReservations: capacity is reserved for a request that is told when to come back, until
// shortly after that time, and is granted only once.
func TestReservations(t *testing.T) {
	tn := limited()
	p, now := scarceRoute(tn)
	ask := func(at time.Time, mark uint64) Answer {
		return p.DrawFor(at, tn, Request{Route: "a", Amount: 100, Mark: markOf(mark), Within: time.Second, Returns: 2 * time.Second})
	}
	first, second := ask(now, 1), ask(now, 2)
	if !first.Reserved || !second.Reserved || second.After < first.After+90*time.Millisecond {
		t.Fatalf("the reservations are %+v and %+v, want one after the other", first, second)
	}
	if again := ask(now.Add(10*time.Millisecond), 1); again.Granted || again.After != first.After-10*time.Millisecond {
		t.Errorf("an early repeat gets %+v, want the time that was announced", again)
	}
	due := now.Add(first.After)
	if other := ask(due, 3); other.Granted || other.After < second.After-first.After {
		t.Errorf("another request gets %+v when a reservation is due", other)
	}
	if kept := ask(due, 1); !kept.Granted {
		t.Errorf("the request with the reservation gets %+v", kept)
	}
	if again := ask(due, 1); again.Granted {
		t.Error("a reservation was granted twice")
	}
	late := now.Add(10 * time.Second) // no caller came back
	if other := ask(late, 5); !other.Granted {
		t.Errorf("capacity stays reserved for callers that did not come back: %+v", other)
	}
}

// TestRefusedCallersGetAWaitBeyondTheirReturn: a caller that can't get capacity in time is told
// a wait after which it won't come back.
func TestRefusedCallersGetAWaitBeyondTheirReturn(t *testing.T) {
	tn := limited()
	p, now := scarceRoute(tn)
	for mark := range uint64(300) {
		answer := p.DrawFor(now, tn, Request{Route: "a", Amount: 100, Mark: markOf(mark + 1), Within: time.Second, Returns: 3 * time.Second})
		if answer.Granted || answer.Reserved != (answer.After <= time.Second) || !answer.Reserved && answer.After <= 3*time.Second {
			t.Fatalf("request %d gets %+v, want a reservation within a second or a wait of more than 3s", mark, answer)
		}
	}
	route := p.buckets["a"].division.routes["a"]
	if n := len(route.reservations.marks); n == 0 || n > 11 || route.reservations.sum > 1100 {
		t.Errorf("%d reservations of %g were made, want at most 1000 within a second", n, route.reservations.sum)
	}
}

// TestANodeAsksForOtherRoutes: a refusal applies only to requests of the same route that the holder
// should not be asked about, and no longer than the holder's sieve is used.
func TestANodeAsksForOtherRoutes(t *testing.T) {
	tn := limited()
	var l Ledger
	now := time.Unix(1000, 0)
	l.UpdateScarce(now, []string{"a"})
	refused := Answer{After: time.Second, Sieve: Sieve{Part: 0.1, Salt: 7}}
	l.Answered(now, tn, Request{Route: "large"}, refused)
	asked := 0
	for i := range uint64(1000) {
		large, small := Request{Route: "large", Mark: markOf(i + 1), Returns: time.Second}, Request{Route: "small", Mark: markOf(i + 1)}
		if verdict, _ := l.DecideFor(now, tn, &small); verdict != Ask {
			t.Fatalf("a request of another route gets %d", verdict)
		}
		verdict, after := l.DecideFor(now, tn, &large)
		switch {
		case verdict == Ask && large.Part == 0.1:
			asked++
		case verdict != Refuse || after <= time.Second:
			t.Fatalf("a request of the route gets %d, after %v, part %g", verdict, after, large.Part)
		}
	}
	if asked < 70 || asked > 130 {
		t.Errorf("%d of 1000 requests are asked about, want a tenth", asked)
	}
	now = now.Add(10 * time.Second) // as after a suspension of the machine
	l.UpdateScarce(now, []string{"a"})
	for i := range uint64(100) {
		if verdict, _ := l.DecideFor(now, tn, &Request{Route: "large", Mark: markOf(i + 1)}); verdict != Ask {
			t.Fatal("an expired sieve is still used")
		}
	}
}

// TestAHolderThatWakesDropsOldReservations: after a suspension of the holder, expired reservations
// take up no capacity.
func TestAHolderThatWakesDropsOldReservations(t *testing.T) {
	tn := limited()
	p, now := scarceRoute(tn)
	for mark := range uint64(5) {
		p.DrawFor(now, tn, Request{Route: "a", Amount: 100, Mark: markOf(mark + 1), Within: time.Second, Returns: time.Second})
	}
	now = now.Add(time.Minute)
	granted := 0
	for p.DrawFor(now, tn, Request{Route: "a", Amount: 100}).Granted {
		granted++
	}
	if granted != 10 {
		t.Errorf("%d requests of 100 were granted after a minute, want the whole bucket of 1000", granted)
	}
}

// TestSharesWithOddInput: invalid amounts, marks, priorities and times neither break the bound nor
// block other requests for good.
func TestSharesWithOddInput(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	for _, amount := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		if p.DrawFor(now, tn, Request{Route: "a", Amount: amount}).Granted {
			t.Errorf("an amount of %g was granted", amount)
		}
		p.SpentBy(now, tn, Spent{Tenant: "a", Route: "a", Amount: amount}, false)
	}
	p, now = fullPool()
	granted := 0.0
	for i := range 500 {
		r := Request{Route: fmt.Sprint(i), Priority: (i - 250) * 1e6, Amount: 10, Mark: markOf(uint64(i)),
			Within: math.MinInt64, Returns: math.MaxInt64, Part: math.NaN()}
		if answer := p.DrawFor(now, tn, r); answer.Granted {
			granted += 10
		} else if answer.After <= 0 {
			t.Fatalf("refused with %+v", answer)
		}
	}
	if granted > 1000 {
		t.Errorf("%g were granted of a bucket of 1000", granted)
	}
	if n := len(p.buckets["a"].division.list); n > maxRoutes+1 {
		t.Errorf("%d routes are kept", n)
	}
	l := Ledger{}
	l.UpdateScarce(now, nil)
	for i := range 500 {
		l.DecideFor(now, tn, &Request{Route: fmt.Sprint(i), Amount: 1})
	}
	if n := len(l.accounts["a"].routes); n > maxRoutes+1 {
		t.Errorf("a node keeps %d routes", n)
	}
}

// TestAQuotaBelowOneRequest: a quota smaller than one request is kept, and each route is served now
// and then.
func TestAQuotaBelowOneRequest(t *testing.T) {
	tn := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 10, Tokens: true}}
	p, now := fullPool()
	granted := make(map[string]int)
	for range 12000 { // ten minutes
		now = now.Add(50 * time.Millisecond)
		for _, route := range []string{"a", "b", "c"} {
			if p.DrawFor(now, tn, Request{Route: route, Amount: 100}).Granted {
				granted[route]++
			}
		}
	}
	all := 0
	for _, route := range []string{"a", "b", "c"} {
		all += granted[route]
		if granted[route] < 10 {
			t.Errorf("%d requests of route %s were granted in ten minutes", granted[route], route)
		}
	}
	if all > 62 || all < 50 {
		t.Errorf("%d requests of 100 were granted in ten minutes at 10 a second", all)
	}
}

// TestARouteWithoutAShare: a route with weight zero gets what the others leave, and the others lose
// nothing.
func TestARouteWithoutAShare(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	p.policy = policy{noFloor: true, weight: func(priority int) float64 {
		if priority == 9 {
			return 0
		}
		return 1
	}}
	granted := make(map[string]int)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		for _, r := range []Request{{Route: "usual", Amount: 5}, {Route: "none", Priority: 9, Amount: 5}} {
			if p.DrawFor(now, tn, r).Granted {
				granted[r.Route]++
			}
		}
	}
	if granted["usual"] < 990 || granted["none"] < 900 {
		t.Errorf("granted were %v of 1000 each, of half the quota each", granted)
	}
}

// TestChangedQuotaAppliesAtOnce: changed quotas and priorities take effect at once.
func TestChangedQuotaAppliesAtOnce(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	for _, route := range []string{"a", "b", "c"} {
		p.DrawFor(now, tn, Request{Route: route, Amount: 1})
	}
	lower := limited()
	lower.Quota.PerSecond, lower.Quota.Burst = 100, 100
	now = now.Add(10 * time.Second)
	granted := 0
	for i := range 60 {
		if p.DrawFor(now, lower, Request{Route: []string{"a", "b", "c"}[i%3], Priority: i % 5, Amount: 10}).Granted {
			granted++
		}
	}
	if granted > 10 || granted < 8 {
		t.Errorf("%d requests of 10 were granted under a burst of 100", granted)
	}
	requests := limited() // whose quota is not divided any more
	requests.Quota.Tokens = false
	if p.DrawFor(now, requests, Request{Route: "a", Amount: 1}); len(p.Scarce(now, table(t, requests))) > 1 {
		t.Error("a tenant is scarce twice")
	}
	if answer := p.DrawFor(now.Add(10*time.Second), tn, Request{Route: "d", Amount: 10}); !answer.Granted {
		t.Errorf("when the quota is divided again: %+v", answer)
	}
}

// BenchmarkDrawFor decides on requests of 1,000 tenants with five routes each. All routes ask for
// twice their quota.
func BenchmarkDrawFor(b *testing.B) {
	var p Pool
	tenants := make([]*tenant.Tenant, 1000)
	for i := range tenants {
		tenants[i] = &tenant.Tenant{Name: fmt.Sprint(i), Quota: tenant.Quota{PerSecond: 1e6, Burst: 1e6, Tokens: true}}
	}
	routes := []string{"a", "b", "c", "d", "e"}
	now := time.Unix(1000, 0)
	p.Begin(now, 1, Start{})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		p.DrawFor(now, tenants[i%len(tenants)], Request{Route: routes[i/1000%5], Priority: i / 1000 % 5, Amount: 2000,
			Mark: markOf(uint64(i)), Within: 400 * time.Millisecond, Returns: time.Second})
	}
}

// TestScarceUntilNobodyWasRefusedForAWhile: a tenant stays scarce for a while after the last
// refusal, because refused callers come back and a burst has pauses. Nodes that admit requests
// without asking meanwhile would run a second's worth too much. Each scarce period has its own
// sieve salt.
func TestScarceUntilNobodyWasRefusedForAWhile(t *testing.T) {
	tn := limited()
	all := table(t, tn)
	p, now := fullPool()
	burst := func() (salt uint64) {
		p.SpentBy(now, tn, Spent{Tenant: "a", Route: "a", Amount: 900}, false)
		p.Scarce(now, all)
		for p.DrawFor(now, tn, Request{Route: "a", Amount: 10}).Granted {
		}
		return p.DrawFor(now, tn, Request{Route: "a", Amount: 10}).Sieve.Salt
	}
	first := burst()
	now = now.Add(calmAfter - 50*time.Millisecond)
	scarce := len(p.Scarce(now, all)) == 1
	if level := p.buckets["a"].level; !scarce || level < plentyAbove*1000 {
		t.Errorf("a moment after a refusal the tenant is scarce: %t, with %g of 1000 in the bucket", scarce, level)
	}
	now = now.Add(100 * time.Millisecond)
	if len(p.Scarce(now, all)) == 1 {
		t.Error("the tenant is scarce though nobody was refused for a while")
	}
	if burst() == first {
		t.Error("the sieve of another burst is that of the first")
	}
}
