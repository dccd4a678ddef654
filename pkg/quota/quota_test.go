package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// limited returns a tenant with a quota of 1,000 tokens per second and a burst of the same size.
func limited() *tenant.Tenant {
	return &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 1000, Burst: 1000, Tokens: true, PlainTokens: 200}}
}

// fullPool returns a pool whose term began long enough ago that all its buckets are full, and the
// current time.
func fullPool() (*Pool, time.Time) {
	p, began := &Pool{}, time.Unix(1000, 0)
	p.Begin(began, 1, Start{})
	return p, began.Add(10 * time.Second)
}

// table returns a table of tenants.
func table(t testing.TB, tenants ...*tenant.Tenant) *tenant.Table {
	t.Helper()
	all, err := tenant.NewTable(tenants)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestPoolGrantsABurstAndThenTheRate(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	granted := 0
	for range 40 {
		if _, ok := p.Draw(now, tn, 100); ok {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d requests of 100 were granted at once, want 10", granted)
	}
	after, ok := p.Draw(now, tn, 100)
	if ok || after != 100*time.Millisecond {
		t.Errorf("the next request: granted %t, to come back after %v, want 100ms", ok, after)
	}
	if _, ok := p.Draw(now.Add(after), tn, 100); !ok {
		t.Error("the request was not granted after the announced wait")
	}
}

// TestATenantStaysScarceWhileNodesAskInVain: while no holder decides, the bucket of a scarce tenant
// fills, which says nothing about its demand.
func TestATenantStaysScarceWhileNodesAskInVain(t *testing.T) {
	tn := limited()
	for _, test := range []struct {
		name   string
		refuse bool // whether a request is refused before nodes ask in vain
		want   bool
	}{
		{"it asked for more than there was", true, true},
		{"it did not", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, now := fullPool()
			askedFor := 10 * time.Second
			p.MajorityAsksFor = func(time.Time) time.Duration { return askedFor }
			for range 9 {
				p.Draw(now, tn, 100)
			}
			if test.refuse {
				p.Draw(now, tn, 200)
			}
			scarce := func() bool { return len(p.Scarce(now, table(t, tn))) > 0 }
			if !scarce() {
				t.Fatal("the tenant is not scarce")
			}
			askedFor, now = 0, now.Add(2*time.Second)
			if got := scarce(); got != test.want {
				t.Errorf("when most nodes ask again, scarce is %t, want %t", got, test.want)
			}
			askedFor, now = calmAfter, now.Add(calmAfter)
			if scarce() {
				t.Error("still scarce although nodes asked for no more than the bucket holds")
			}
		})
	}
}

// TestDebtIsPaidOffFirst: what nodes admitted without asking counts against the bucket.
func TestDebtIsPaidOffFirst(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	p.Spent(now, tn, 3000, false)
	if after, ok := p.Draw(now, tn, 100); ok || after != 2100*time.Millisecond {
		t.Errorf("granted %t, after %v, want 2.1s", ok, after)
	}
	p.Spent(now, tn, -1500, false) // given back because it did not run
	if after, ok := p.Draw(now, tn, 100); ok || after != 600*time.Millisecond {
		t.Errorf("granted %t, after %v, want 600ms", ok, after)
	}
}

// TestPoolNeverStarvesALargeRequest: a request that is larger than the bucket waits until the
// bucket is full, then runs and leaves a debt.
func TestPoolNeverStarvesALargeRequest(t *testing.T) {
	tn := limited()
	p, now := fullPool()
	if _, ok := p.Draw(now, tn, 5000); !ok {
		t.Error("a full bucket did not grant it")
	}
	if after, ok := p.Draw(now, tn, 5000); ok || after != 5*time.Second {
		t.Errorf("again: granted %t, after %v, want 5s", ok, after)
	}
}

// TestANewHolderMakesUpForTheGap: what nodes admitted before a holder's term counts only as far as
// it exceeds what the quota gave in that time.
func TestANewHolderMakesUpForTheGap(t *testing.T) {
	for _, c := range []struct {
		spent, level float64
	}{{1500, 800}, {2000, 800}, {2600, 200}} {
		tn := limited()
		var p Pool
		now := time.Unix(1000, 0)
		p.Begin(now, 2, Start{Gap: 2 * time.Second})
		p.Spent(now, tn, c.spent, true)
		if _, ok := p.Draw(now, tn, c.level+1); ok {
			t.Errorf("after a gap of 2s in which %g were spent, more than %g are granted", c.spent, c.level)
		}
		if _, ok := p.Draw(now, tn, c.level); !ok {
			t.Errorf("after a gap of 2s in which %g were spent, %g are not granted", c.spent, c.level)
		}
	}
}

// TestAScarceTenantBeginsATermWithNothing: what the last holder had left may have been granted, and
// debts remain. Tenants that were not scarce begin with the initial level.
func TestAScarceTenantBeginsATermWithNothing(t *testing.T) {
	for _, c := range []struct {
		left, age, waits float64
	}{{300, 1, 0.1}, {-1500, 1, 0.6}, {-1500, 5, 0.1}, {math.NaN(), 1, 0.1}} {
		tn := limited()
		var p Pool
		now := time.Unix(1000, 0)
		age := time.Duration(c.age * float64(time.Second))
		p.Begin(now, 2, Start{Gap: 2 * time.Second, Scarce: []Inherited{{Balance{"a", c.left}, age}}})
		after, ok := p.Draw(now, tn, 100)
		if want := time.Duration(c.waits * float64(time.Second)); ok || (after-want).Abs() > time.Millisecond {
			t.Errorf("balance %g, %v old: granted %t, to come back after %v, want %v", c.left, age, ok, after, want)
		}
		p.Spent(now, tn, 200, true)
		if more, _ := p.Draw(now, tn, 100); more-after != 200*time.Millisecond {
			t.Errorf("balance %g, %v old: what nodes admitted before the term adds a wait of %v, want 200ms", c.left, age, more-after)
		}
		other := limited()
		other.Name = "b"
		if _, ok := p.Draw(now, other, 800); !ok {
			t.Error("a tenant that was not scarce has less than 800 of 1000")
		}
	}
}

// TestBalancesListScarceTenants: balances are available once all tenants were checked in the term,
// those that lack the most first.
func TestBalancesListScarceTenants(t *testing.T) {
	list := []*tenant.Tenant{}
	for i := range 2 * maxBalances {
		tn := limited()
		tn.Name = fmt.Sprintf("t%03d", i)
		list = append(list, tn)
	}
	all := table(t, list...)
	p, now := fullPool()
	for i, tn := range list[1:] {
		p.Spent(now, tn, 600+float64(i), false)
	}
	if _, known := p.Balances(now, 1); known {
		t.Error("balances are available before all tenants were checked")
	}
	p.Scarce(now, all)
	if !p.RecordDue() {
		t.Error("RecordDue is false although nodes admitted more than the threshold")
	}
	left, known := p.Balances(now, 1)
	if !known || len(left) != maxBalances || left[0] != (Balance{"t127", 1000 - 726}) {
		t.Errorf("known %t, %d balances, the first is %+v", known, len(left), left[0])
	}
	if p.RecordDue() {
		t.Error("RecordDue is true again after the balances were read")
	}
	if _, known := p.Balances(now, 2); known {
		t.Error("balances are available for another term")
	}
}

func TestScarceListsTenants(t *testing.T) {
	tn, free := limited(), &tenant.Tenant{Name: "free"}
	all := table(t, tn, free)
	var p Pool
	now := time.Unix(1000, 0)
	p.Begin(now, 1, Start{})
	now = now.Add(time.Second)
	if got := p.Scarce(now, all); len(got) != 0 {
		t.Errorf("with a full bucket the scarce tenants are %v", got)
	}
	p.Spent(now, tn, 600, false)
	if got := p.Scarce(now, all); len(got) != 1 || got[0] != "a" {
		t.Errorf("with 400 of 1000 left the scarce tenants are %v", got)
	}
	now = now.Add(200 * time.Millisecond)
	if got := p.Scarce(now, all); len(got) != 1 {
		t.Errorf("with 600 of 1000 left the scarce tenants are %v, want [a] until the bucket is well filled", got)
	}
}

// TestALowerLimitIsInForceAtOnce: what accumulated under a higher limit is discarded.
func TestALowerLimitIsInForceAtOnce(t *testing.T) {
	tn := limited()
	var p Pool
	now := time.Unix(1000, 0)
	p.Begin(now, 1, Start{})
	p.Draw(now, tn, 1)
	lower := limited()
	lower.Quota.PerSecond, lower.Quota.Burst = 100, 100
	now = now.Add(10 * time.Second)
	granted := 0
	for range 40 {
		if _, ok := p.Draw(now, lower, 50); ok {
			granted++
		}
	}
	if granted != 2 {
		t.Errorf("%d requests of 50 were granted under a burst of 100", granted)
	}
}

func TestLedgerAsksForScarceTenantsAndWithoutHolder(t *testing.T) {
	tn := limited()
	var l Ledger
	now := time.Unix(1000, 0)
	expect := func(what string, want Verdict) {
		t.Helper()
		if got, _ := l.Decide(now, tn, 10); got != want {
			t.Errorf("%s: the verdict is %d, want %d", what, got, want)
		}
	}
	expect("before any report of the holder", Ask)
	l.UpdateScarce(now, nil)
	expect("plenty", Admit)
	l.UpdateScarce(now, []string{"a"})
	expect("scarce", Ask)
	if after := l.Denied(now, tn, 200*time.Millisecond); after != 200*time.Millisecond {
		t.Errorf("a denied request is told to come back after %v, want 200ms", after)
	}
	expect("denied a moment ago", Refuse)
	now = now.Add(250 * time.Millisecond)
	expect("after the time of the denial", Ask)
	l.UpdateScarce(now, nil)
	now = now.Add(aloneAfter + time.Millisecond)
	expect("long after the last report of the holder", Ask)
	if got, _ := l.Decide(now, &tenant.Tenant{Name: "free"}, 10); got != Admit {
		t.Error("a tenant without a quota is not admitted")
	}
	if spent := l.Report(); len(spent) != 1 || spent[0] != (Spent{Tenant: "a", Amount: 10}) {
		t.Errorf("the report is %v, want only the request that was admitted without asking", spent)
	}
}

// TestLedgerCountsWhatIsNotReported: a report that may be lost is sent again, and what did not run
// is given back.
func TestLedgerCountsWhatIsNotReported(t *testing.T) {
	tn := limited()
	var l Ledger
	now := time.Unix(1000, 0)
	l.UpdateScarce(now, nil)
	l.Decide(now, tn, 30)
	lost := l.Report()
	l.Decide(now, tn, 5)
	l.Return(lost)
	l.GiveBack(tn, 7)
	if got := l.Report(); len(got) != 1 || got[0].Amount != 28 {
		t.Errorf("the report is %v, want 30 + 5 - 7", got)
	}
}

// TestNodesWithoutAHolderShareTheAllowance: all nodes together admit what they may, even if the
// share of one node is smaller than a request.
func TestNodesWithoutAHolderShareTheAllowance(t *testing.T) {
	for _, nodes := range []int{3, 87, 1000} {
		tn := limited()
		const cost = 160.0
		now := time.Unix(1000, 0)
		granted := 0.0
		for i := range nodes {
			l := Ledger{Chance: func() float64 { return (float64(i) + 0.5) / float64(nodes) }}
			l.UpdateScarce(now, nil)
			for step := range 200 { // of 10 ms each, far more than the nodes may admit
				at := now.Add(2*time.Second + time.Duration(step)*10*time.Millisecond)
				if v, _ := l.DecideAlone(at, tn, cost, nodes); v == Admit {
					granted += cost
				}
			}
		}
		allowed := 1000 * (aloneBurst.Seconds() + aloneRate*2)
		if granted > 1.1*allowed+cost || granted < 0.8*allowed-cost {
			t.Errorf("%d nodes admitted %g, want about %g", nodes, granted, allowed)
		}
	}
}

// BenchmarkDecide decides on requests of 1,000 tenants on all processors.
func BenchmarkDecide(b *testing.B) {
	var l Ledger
	tenants := make([]*tenant.Tenant, 1000)
	for i := range tenants {
		tenants[i] = &tenant.Tenant{Name: string(rune('a' + i)), Quota: tenant.Quota{PerSecond: 1e9}}
	}
	now := time.Now()
	l.UpdateScarce(now, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			l.Decide(now, tenants[i%len(tenants)], 1)
		}
	})
}
