package quota

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/tenant"
)

var termStart = time.Unix(1000, 0)

// undividedTenant has a quota of 1,000 requests per second and a bucket of the same size.
var undividedTenant = &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 1000, Burst: 1000}}

// drawAll draws until nothing more is granted and returns the amount granted.
func drawAll(p *Pool, now time.Time) float64 {
	sum := 0.0
	for {
		if _, granted := p.Draw(now, undividedTenant, 10); !granted {
			return sum
		}
		sum += 10
	}
}

// TestBalanceOfAnEarlierHolderCounts: an earlier holder that was cut off keeps granting while
// the next one begins with a full bucket. Once it is reachable again, the next holder must grant
// nothing until that amount has flowed in.
func TestBalanceOfAnEarlierHolderCounts(t *testing.T) {
	var before, next Pool
	before.Begin(termStart, 1, Start{Gap: time.Second})
	drawAll(&before, termStart)
	began := termStart.Add(time.Second)
	next.Begin(began, 2, Start{Gap: time.Second})
	drawAll(&before, began) // the earlier holder does not know of the next one yet
	left := before.FormerBalances(began, 2)
	if len(left) != 1 || left[0].Tenant != "a" {
		t.Fatalf("the earlier holder reports %+v, want one balance of tenant a", left)
	}
	next.CorrectBalance(began, undividedTenant, left[0].Amount)
	if got := drawAll(&next, began); got > 0 {
		t.Errorf("%g were granted on top of the earlier grants, want 0", got)
	}
	next.CorrectBalance(began, undividedTenant, left[0].Amount) // a repeated report changes nothing
	later := began.Add(500 * time.Millisecond)
	if got := drawAll(&next, later); got < 480 || got > 500 {
		t.Errorf("half a second later %g were granted, want 480 to 500", got)
	}
	if again := next.FormerBalances(later, 2); len(again) > 0 {
		t.Errorf("the holder of the term reports %+v to itself, want none", again)
	}
}

// TestAHolderRemembersItsOwnTerm: a holder that loses its term and gets the next one begins with
// its former balances.
func TestAHolderRemembersItsOwnTerm(t *testing.T) {
	var p Pool
	p.Begin(termStart, 1, Start{Gap: time.Second})
	drawAll(&p, termStart)
	p.Begin(termStart, 2, Start{Gap: time.Second})
	if got := drawAll(&p, termStart); got > 0 {
		t.Errorf("%g were granted on top of the earlier grants, want 0", got)
	}
}

// TestAHolderGrantsThePartOfTheNodesThatAskIt: a holder that is cut off from most nodes grants only the
// part of the nodes that ask it, since the others admit their parts without it.
func TestAHolderGrantsThePartOfTheNodesThatAskIt(t *testing.T) {
	for _, c := range []struct{ part, want float64 }{{1, 1000}, {0.6, 1000}, {0.5, 500}, {0.1, 100}} {
		p := Pool{AskingFraction: func() float64 { return c.part }}
		p.Begin(termStart, 1, Start{Gap: time.Second})
		drawAll(&p, termStart)
		sum := 0.0
		for passed := time.Duration(0); passed < 2*time.Second; passed += 100 * time.Millisecond {
			sum += drawAll(&p, termStart.Add(passed))
		}
		if perSecond := sum / 1.9; perSecond < c.want*0.95 || perSecond > c.want*1.05 {
			t.Errorf("asked by %g of the nodes, the holder grants %g a second, want %g", c.part, perSecond, c.want)
		}
	}
}

// TestNodesWithoutReportReduceTheCredit: nodes that did not report yet may have admitted their part
// of what flowed in before the term.
func TestNodesWithoutReportReduceTheCredit(t *testing.T) {
	for _, c := range []struct{ heard, left float64 }{{1, 800}, {0.5, 300}} {
		p := Pool{ReportedFraction: func() float64 { return c.heard }}
		p.Begin(termStart, 1, Start{Gap: time.Second})
		p.Spent(termStart, undividedTenant, 1000, true)
		if got := drawAll(&p, termStart); got != c.left {
			t.Errorf("after reports of %g of the nodes %g are left, want %g", c.heard, got, c.left)
		}
	}
}

// TestNodesAskUntilMostHaveReported: when a term begins, the holder does not know yet what nodes
// admitted before it.
func TestNodesAskUntilMostHaveReported(t *testing.T) {
	askedFor := time.Duration(0)
	p := Pool{MajorityAsksFor: func(time.Time) time.Duration { return askedFor }}
	tenants := table(t, undividedTenant)
	p.Begin(termStart, 1, Start{Gap: time.Second})
	if got := p.Scarce(termStart, tenants); len(got) != 1 {
		t.Errorf("at the start of the term nodes must ask for %v, want one tenant", got)
	}
	if list, known := p.Balances(termStart, 1); !known || len(list) > 0 {
		t.Errorf("the record gets the balances %+v (known: %t), want none as no tenant is known to be scarce", list, known)
	}
	askedFor = calmAfter
	if got := p.Scarce(termStart.Add(calmAfter), tenants); len(got) > 0 {
		t.Errorf("after most nodes have asked for a while, nodes must still ask for %v", got)
	}
}

// TestBurstWithoutHolderIsNotAdmittedAgain: nodes that lose the holder several times
// within a quota window must not admit the full burst each time.
func TestBurstWithoutHolderIsNotAdmittedAgain(t *testing.T) {
	var l Ledger
	now := termStart
	l.UpdateScarce(now, nil)
	sum := 0.0
	for range 8 {
		for {
			if verdict, _ := l.DecideAlone(now, undividedTenant, 10, 1); verdict != Admit {
				break
			}
			sum += 10
		}
		now = now.Add(time.Second)
		l.UpdateScarce(now, nil)
	}
	if most := 1000 * (aloneBurst.Seconds() + aloneRate*8); sum > most {
		t.Errorf("%g were admitted within 8 s, at most %g may be", sum, most)
	}
	now = now.Add(aloneRenewAfter + time.Second)
	if verdict, _ := l.DecideAlone(now, undividedTenant, 1000, 1); verdict != Admit {
		t.Error("the allowance is not renewed after aloneRenewAfter")
	}
}
