package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// limited is a tenant with a rate of 1,000 a second and a burst of as much.
func limited() *tenant.Tenant {
	return &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 1000, Burst: 1000, Tokens: true, PlainTokens: 200}}
}

// fullPool returns a pool whose term began so long ago that all its buckets are full, and the
// time.
func fullPool() (*Pool, time.Time) {
	p, began := &Pool{}, time.Unix(1000, 0)
	p.Begin(began, 1, Start{})
	return p, began.Add(10 * time.Second)
}

// table is a table of tenants.
func table(t testing.TB, tenants ...*tenant.Tenant) *tenant.Table {
	t.Helper()
	all, err := tenant.NewTable(tenants)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestPoolGrantsABurstAndThenTheRate(t *testing.T) {
	one := limited()
	p, now := fullPool()
	granted := 0
	for range 40 {
		if _, ok := p.Draw(now, one, 100); ok {
			granted++
		}
	}
	if granted != 10 {
		t.Errorf("%d requests of 100 were granted at once, want 10", granted)
	}
	after, ok := p.Draw(now, one, 100)
	if ok || after != 100*time.Millisecond {
		t.Errorf("one more: granted %t, after %v, want to come back after 100ms", ok, after)
	}
	if _, ok := p.Draw(now.Add(after), one, 100); !ok {
		t.Error("it was not granted after the time that was told")
	}
}

// TestATenantStaysScarceWhileNodesAskInVain: its bucket fills while nobody decides, which tells nothing of what it
// asks.
func TestATenantStaysScarceWhileNodesAskInVain(t *testing.T) {
	one := limited()
	for _, test := range []struct {
		name   string
		refuse bool // one is, before nodes ask in vain
		want   bool
	}{
		{"it asked for more than there was", true, true},
		{"it did not", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, now := fullPool()
			followed := 10 * time.Second
			p.Followed = func(time.Time) time.Duration { return followed }
			for range 9 {
				p.Draw(now, one, 100)
			}
			if test.refuse {
				p.Draw(now, one, 200)
			}
			scarce := func() bool { return len(p.Scarce(now, table(t, one))) > 0 }
			if !scarce() {
				t.Fatal("it is not scarce")
			}
			followed, now = 0, now.Add(2*time.Second)
			if got := scarce(); got != test.want {
				t.Errorf("scarce as most nodes ask again: %t, want %t", got, test.want)
			}
			followed, now = calmAfter, now.Add(calmAfter)
			if scarce() {
				t.Error("still scarce after they asked for no more than there is")
			}
		})
	}
}

// TestPoolLetsADebtBePaidOffFirst: what was spent without asking counts.
func TestPoolLetsADebtBePaidOffFirst(t *testing.T) {
	one := limited()
	p, now := fullPool()
	p.Spent(now, one, 3000, false)
	if after, ok := p.Draw(now, one, 100); ok || after != 2100*time.Millisecond {
		t.Errorf("granted %t, after %v, want 2.1s", ok, after)
	}
	p.Spent(now, one, -1500, false) // of that did not run
	if after, ok := p.Draw(now, one, 100); ok || after != 600*time.Millisecond {
		t.Errorf("granted %t, after %v, want 600ms", ok, after)
	}
}

// TestPoolNeverStarvesALargeRequest: one that is larger than the bucket waits until it is
// full and leaves a debt.
func TestPoolNeverStarvesALargeRequest(t *testing.T) {
	one := limited()
	p, now := fullPool()
	if _, ok := p.Draw(now, one, 5000); !ok {
		t.Error("a full bucket did not grant it")
	}
	if after, ok := p.Draw(now, one, 5000); ok || after != 5*time.Second {
		t.Errorf("again: granted %t, after %v, want 5s", ok, after)
	}
}

// TestANewHolderMakesUpForTheGap: what nodes let in before its term counts only beyond what
// the quota gave in that time.
func TestANewHolderMakesUpForTheGap(t *testing.T) {
	for _, c := range []struct {
		spent, level float64
	}{{1500, 800}, {2000, 800}, {2600, 200}} {
		one := limited()
		var p Pool
		now := time.Unix(1000, 0)
		p.Begin(now, 2, Start{Gap: 2 * time.Second})
		p.Spent(now, one, c.spent, true)
		if _, ok := p.Draw(now, one, c.level+1); ok {
			t.Errorf("after %g were spent in a gap of 2s more than %g are granted", c.spent, c.level)
		}
		if _, ok := p.Draw(now, one, c.level); !ok {
			t.Errorf("after %g were spent in a gap of 2s %g are not granted", c.spent, c.level)
		}
	}
}

// TestAScarceTenantBeginsATermWithNothing: what the last holder had left may have been granted, and
// its debts stay; tenants that were not scarce begin as before.
func TestAScarceTenantBeginsATermWithNothing(t *testing.T) {
	for _, c := range []struct {
		left, age, waits float64
	}{{300, 1, 0.1}, {-1500, 1, 0.6}, {-1500, 5, 0.1}, {math.NaN(), 1, 0.1}} {
		one := limited()
		var p Pool
		now := time.Unix(1000, 0)
		age := time.Duration(c.age * float64(time.Second))
		p.Begin(now, 2, Start{Gap: 2 * time.Second, Scarce: []Inherited{{Balance{"a", c.left}, age}}})
		after, ok := p.Draw(now, one, 100)
		if want := time.Duration(c.waits * float64(time.Second)); ok || (after-want).Abs() > time.Millisecond {
			t.Errorf("left %g, %v ago: granted %t, to come back after %v, want %v", c.left, age, ok, after, want)
		}
		p.Spent(now, one, 200, true)
		if more, _ := p.Draw(now, one, 100); more-after != 200*time.Millisecond {
			t.Errorf("left %g, %v ago: what nodes let in before the term costs %v of 200ms", c.left, age, more-after)
		}
		other := limited()
		other.Name = "b"
		if _, ok := p.Draw(now, other, 800); !ok {
			t.Error("a tenant that was not scarce has less than 800 of 1000")
		}
	}
}

// TestWhatIsLeftIsTold: for scarce tenants, those that lack the most first, once all were looked at in
// the term.
func TestWhatIsLeftIsTold(t *testing.T) {
	list := []*tenant.Tenant{}
	for i := range 2 * maxBalances {
		one := limited()
		one.Name = fmt.Sprintf("t%03d", i)
		list = append(list, one)
	}
	all := table(t, list...)
	p, now := fullPool()
	for i, one := range list[1:] {
		p.Spent(now, one, 600+float64(i), false)
	}
	if _, known := p.Balances(now, 1); known {
		t.Error("what is left is told before all tenants were looked at")
	}
	p.Scarce(now, all)
	if !p.Owes() {
		t.Error("much was let in, and the record need not be told")
	}
	left, known := p.Balances(now, 1)
	if !known || len(left) != maxBalances || left[0] != (Balance{"t127", 1000 - 726}) {
		t.Errorf("known %t, %d are told, the first is %+v", known, len(left), left[0])
	}
	if p.Owes() {
		t.Error("the record is to be told once more")
	}
	if _, known := p.Balances(now, 2); known {
		t.Error("what is left is told of another term")
	}
}

func TestScarceTenantsAreTold(t *testing.T) {
	one, free := limited(), &tenant.Tenant{Name: "free"}
	all := table(t, one, free)
	var p Pool
	now := time.Unix(1000, 0)
	p.Begin(now, 1, Start{})
	now = now.Add(time.Second)
	if got := p.Scarce(now, all); len(got) != 0 {
		t.Errorf("with a full bucket the scarce tenants are %v", got)
	}
	p.Spent(now, one, 600, false)
	if got := p.Scarce(now, all); len(got) != 1 || got[0] != "a" {
		t.Errorf("with 400 of 1000 left the scarce tenants are %v", got)
	}
	now = now.Add(200 * time.Millisecond)
	if got := p.Scarce(now, all); len(got) != 1 {
		t.Errorf("with 600 of 1000 they are %v: it is to stay until it is well filled", got)
	}
}

// TestALowerLimitIsInForceAtOnce: what was saved up under the higher one is gone.
func TestALowerLimitIsInForceAtOnce(t *testing.T) {
	one := limited()
	var p Pool
	now := time.Unix(1000, 0)
	p.Begin(now, 1, Start{})
	p.Draw(now, one, 1)
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

func TestLedgerAsksForScarceTenantsAndWithoutWord(t *testing.T) {
	one := limited()
	var l Ledger
	now := time.Unix(1000, 0)
	expect := func(what string, want Verdict) {
		t.Helper()
		if got, _ := l.Look(now, one, 10); got != want {
			t.Errorf("%s: the verdict is %d, want %d", what, got, want)
		}
	}
	expect("before any word", Ask)
	l.Told(now, nil)
	expect("plenty", Admit)
	l.Told(now, []string{"a"})
	expect("scarce", Ask)
	if after := l.Denied(now, one, 200*time.Millisecond); after != 200*time.Millisecond {
		t.Errorf("a denied request is to come back after %v", after)
	}
	expect("denied a moment ago", Refuse)
	now = now.Add(250 * time.Millisecond)
	expect("after the time of the denial", Ask)
	l.Told(now, nil)
	now = now.Add(aloneAfter + time.Millisecond)
	expect("without word for long", Ask)
	if got, _ := l.Look(now, &tenant.Tenant{Name: "free"}, 10); got != Admit {
		t.Error("a tenant without a quota is not let in")
	}
	if spent := l.Report(); len(spent) != 1 || spent[0] != (Spent{Tenant: "a", Amount: 10}) {
		t.Errorf("the report is %v, want the one request that was let in unasked", spent)
	}
}

// TestLedgerCountsWhatIsNotReported: a report that may be lost is told again, and what did
// not run is given back.
func TestLedgerCountsWhatIsNotReported(t *testing.T) {
	one := limited()
	var l Ledger
	now := time.Unix(1000, 0)
	l.Told(now, nil)
	l.Look(now, one, 30)
	lost := l.Report()
	l.Look(now, one, 5)
	l.Return(lost)
	l.GiveBack(one, 7)
	if got := l.Report(); len(got) != 1 || got[0].Amount != 28 {
		t.Errorf("the report is %v, want 30 + 5 - 7", got)
	}
}

// TestNodesWithoutAHolderShareWhatTheyMayLetIn: however small a node's share is.
func TestNodesWithoutAHolderShareWhatTheyMayLetIn(t *testing.T) {
	for _, nodes := range []int{3, 87, 1000} {
		one := limited()
		const cost = 160.0
		now := time.Unix(1000, 0)
		granted := 0.0
		for i := range nodes {
			l := Ledger{Chance: func() float64 { return (float64(i) + 0.5) / float64(nodes) }}
			l.Told(now, nil)
			for step := range 200 { // of 10 ms each: far more than anyone may
				at := now.Add(2*time.Second + time.Duration(step)*10*time.Millisecond)
				if v, _ := l.GoAlone(at, one, cost, nodes); v == Admit {
					granted += cost
				}
			}
		}
		allowed := 1000 * (alonePlenty.Seconds() + aloneFlow*2)
		if granted > 1.1*allowed+cost || granted < 0.8*allowed-cost {
			t.Errorf("%d nodes let in %g, want about %g", nodes, granted, allowed)
		}
	}
}

// BenchmarkLook decides on requests of 1,000 tenants on all processors: 70 ns on eight; no
// quota was kept before.
func BenchmarkLook(b *testing.B) {
	var l Ledger
	tenants := make([]*tenant.Tenant, 1000)
	for i := range tenants {
		tenants[i] = &tenant.Tenant{Name: string(rune('a' + i)), Quota: tenant.Quota{PerSecond: 1e9}}
	}
	now := time.Now()
	l.Told(now, nil)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			l.Look(now, tenants[i%len(tenants)], 1)
		}
	})
}
