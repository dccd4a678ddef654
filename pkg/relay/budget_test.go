package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/route"
)

// testBudget is the budget of a site with many nodes.
var testBudget = BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 430}

// budgetFleet simulates nodes that share a budget, each with its own knowledge of their number.
type budgetFleet struct {
	cfg     BudgetConfig
	nodes   []*budgetNode
	pool    SlackPool // of the coordinator
	now     time.Time
	arrived []time.Time // requests at all nodes
	retries []time.Time
}

// budgetNode is one incarnation of a node.
type budgetNode struct {
	budgets    budgets
	startedAt  time.Time
	knownNodes int // number of nodes; zero: unknown
}

// newBudgetFleet starts nodes that replace earlier incarnations.
func newBudgetFleet(n int) *budgetFleet {
	f := &budgetFleet{cfg: testBudget, now: time.Unix(1000, 0), pool: SlackPool{Budget: testBudget}}
	f.pool.Begin(f.now)
	for range n {
		f.nodes = append(f.nodes, &budgetNode{startedAt: f.now, knownNodes: n})
	}
	return f
}

// request simulates a request at a node with the given number of attempted retries.
func (f *budgetFleet) request(i, more int) {
	n := f.nodes[i]
	n.budgets.arrive(f.cfg, n.startedAt, f.now, "s")
	f.arrived = append(f.arrived, f.now)
	for range more {
		own := n.budgets.takeRetry(f.cfg, f.now, "s", n.knownNodes)
		if own || f.pool.Lend(f.now, "s") {
			f.retries = append(f.retries, f.now)
		}
		if !own {
			n.budgets.borrowed(f.cfg, f.now, "s")
		}
	}
}

// restart replaces a node by a new incarnation that knows knownNodes nodes.
func (f *budgetFleet) restart(i, knownNodes int) {
	f.nodes[i] = &budgetNode{startedAt: f.now, knownNodes: knownNodes}
}

// worstExcess returns by how much the retries of any window exceed the limit; zero or less if none
// does. Requests of the window before count as well, for callers that return.
func (f *budgetFleet) worstExcess() float64 {
	over := -f.cfg.Slack
	for _, end := range f.retries {
		from := end.Add(-f.cfg.Window)
		over = max(over, float64(within(f.retries, from, end))-f.cfg.Slack-
			f.cfg.Ratio*float64(max(within(f.arrived, from, end), within(f.arrived, from.Add(-f.cfg.Window), from))))
	}
	return over
}

// within counts times after from and not after to.
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// TestBudgetOfNodesThatStartTogether checks that a hundred nodes that do not know each other yet
// keep to the common limit, however many retries they attempt.
func TestBudgetOfNodesThatStartTogether(t *testing.T) {
	f := newBudgetFleet(100)
	for i := range f.nodes {
		f.restart(i, unknownNodes)
	}
	for range 20 {
		f.now = f.now.Add(200 * time.Millisecond)
		for i := range f.nodes {
			f.request(i, 3)
		}
	}
	if over := f.worstExcess(); over > 0 {
		t.Errorf("%d retries, %.0f over the limit", len(f.retries), over)
	}
}

// unknownNodes is the number of nodes before a coordinator reported it.
const unknownNodes = 0

// TestBudgetHoldsAcrossRestarts restarts half of the nodes after all spent their shares, while
// servers fail. The limit must hold for both incarnations together.
func TestBudgetHoldsAcrossRestarts(t *testing.T) {
	f := newBudgetFleet(100)
	f.now = f.now.Add(f.cfg.FillTime())
	for step := range 60 {
		f.now = f.now.Add(200 * time.Millisecond)
		if step == 10 {
			for i := range f.nodes[:55] {
				f.restart(i, unknownNodes)
			}
		}
		if step == 15 {
			for i := range f.nodes[:55] {
				f.nodes[i].knownNodes = 100
			}
		}
		for i := range f.nodes {
			if step%5 == 0 {
				f.request(i, 4)
			}
		}
	}
	if over := f.worstExcess(); over > 0 {
		t.Errorf("%d retries, %.0f over the limit", len(f.retries), over)
	}
	if len(f.retries) < 250 {
		t.Errorf("only %d retries: the budget can't be used", len(f.retries))
	}
}

// TestBudgetHoldsForAnyViews simulates random requests and restarts. The limit must hold as long as
// no node underestimates the number of nodes.
func TestBudgetHoldsForAnyViews(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.MinSuccessfulTests = 40
	parameters.Rng.Seed(7)
	properties := gopter.NewProperties(parameters)
	properties.Property("retries of all incarnations keep to the limit", prop.ForAll(
		func(seed uint64, size int, kills float64) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			f := newBudgetFleet(size)
			f.now = f.now.Add(time.Duration(random.IntN(30)) * time.Second)
			for range 600 {
				f.now = f.now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
				i := random.IntN(size)
				if random.Float64() < kills/10 {
					f.pool.Begin(f.now) // a new coordinator
				}
				if random.Float64() < kills {
					f.restart(i, unknownNodes)
				} else if random.IntN(4) == 0 {
					f.nodes[i].knownNodes = size + random.IntN(size)
				}
				f.request(i, random.IntN(30))
			}
			return f.worstExcess() <= 0
		},
		gen.UInt64(), gen.IntRange(1, 60), gen.Float64Range(0, 0.3),
	))
	properties.TestingRun(t)
}

// TestBudgetIsLent checks that one node with all the failures can use the budget of the others.
func TestBudgetIsLent(t *testing.T) {
	f := newBudgetFleet(100)
	f.now = f.now.Add(f.cfg.FillTime())
	for range 10 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.request(0, 10)
	}
	if len(f.retries) != 100 {
		t.Errorf("%d of 100 retries were made", len(f.retries))
	}
	if over := f.worstExcess(); over > 0 {
		t.Errorf("%.0f retries over the limit", over)
	}
}

// TestBudgetReturnsUnusedRetries checks that a retry that reached no server can be used again.
func TestBudgetReturnsUnusedRetries(t *testing.T) {
	f := newBudgetFleet(1)
	n := f.nodes[0]
	f.now = f.now.Add(f.cfg.FillTime())
	n.budgets.arrive(f.cfg, n.startedAt, f.now, "s")
	spent := 0
	for n.budgets.takeRetry(f.cfg, f.now, "s", 1) {
		spent++
	}
	if want := int(slackBurst * budgetSafetyFactor * (1 - lentShare) * f.cfg.Slack); spent != want {
		t.Errorf("%d retries, want %d", spent, want)
	}
	for range 3 {
		n.budgets.returnRetry(f.cfg, f.now, "s")
	}
	for i := range 4 {
		if got := n.budgets.takeRetry(f.cfg, f.now, "s", 1); got != (i < 3) {
			t.Errorf("retry %d after three were given back is allowed: %v", i+1, got)
		}
	}
}

// lender lends a number of retries, or fails.
type lender struct {
	left  int
	err   error
	asked atomic.Int32
}

// BorrowRetry implements Lender.
func (l *lender) BorrowRetry(context.Context, string) (bool, error) {
	l.asked.Add(1)
	l.left--
	return l.left >= 0, l.err
}

// TestRequestsBorrowRetries checks that a node without a budget of its own retries a request if the
// coordinator lends a retry, and that it pauses after a coordinator had none.
func TestRequestsBorrowRetries(t *testing.T) {
	cases := []struct {
		name   string
		lender *lender
		status int
	}{
		{"lent", &lender{left: 1}, http.StatusOK},
		{"nothing left", &lender{}, http.StatusBadGateway},
		{"no holder", &lender{left: 1, err: errors.New("no holder")}, http.StatusBadGateway},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, raw(""), sealed(http.StatusOK, "good"))
			s.relay.Budget = BudgetConfig{Window: 10 * time.Second}
			s.relay.Lender = c.lender
			for range 4 { // makes the first server the first choice
				s.relay.Servers.Snapshot().Member("server-1").Begin(time.Now(), "")
			}
			if got := s.get("id"); got.status != c.status {
				t.Errorf("status %d, want %d", got.status, c.status)
			}
			if n := c.lender.asked.Load(); n != 1 {
				t.Errorf("the coordinator was asked %d times, want 1", n)
			}
		})
	}
}

// TestRequestsBeforeASuspensionCoverNoRetries suspends a node for two windows after a hundred
// requests. By a clock that does not count the suspension, they would still cover retries.
func TestRequestsBeforeASuspensionCoverNoRetries(t *testing.T) {
	for name, test := range map[string]struct {
		passed time.Duration
		want   bool
	}{"counted": {2 * testBudget.Window, false}, "not counted": {0, true}} {
		t.Run(name, func(t *testing.T) {
			var b budgets
			now := time.Unix(1000, 0)
			for range 100 {
				b.arrive(testBudget, now, now, "s")
			}
			if got := b.takeRetry(testBudget, now.Add(test.passed), "s", 0); got != test.want {
				t.Errorf("a retry is covered: %v, want %v", got, test.want)
			}
		})
	}
}
