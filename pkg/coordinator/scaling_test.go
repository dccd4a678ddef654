package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/peer"
)

// A new holder asked every server at once for its order count, and after a holder that could not be
// asked it sent each server an order without effect. With 10,000 servers these were as many
// connections, on a machine limited to 4,100. Each order was also announced to all nodes. These
// tests compare what a holder does at one size and at three times that size.

// reportCounter counts the reports requested from each server.
type reportCounter struct {
	*engines
	reports map[string]int
}

// FetchReport implements Orders.
func (c reportCounter) FetchReport(ctx context.Context, m *backend.Member) (Report, error) {
	c.mu.Lock()
	c.reports[m.ID]++
	c.mu.Unlock()
	return c.engines.FetchReport(ctx, m)
}

// largeSite returns a site with the given number of servers. Each holds two models; none holds m39.
func largeSite(t *testing.T, servers int) *site {
	held := make([][]string, servers)
	for i := range held {
		held[i] = []string{fmt.Sprintf("m%d", i%38), fmt.Sprintf("m%d", (i+1)%38)}
	}
	return newSite(t, held...)
}

// runTerm lets a holder take over from one that does not answer and load models on request. It
// returns how many servers it asked for reports and how many orders without effect it sent to raise
// fences.
func runTerm(t *testing.T, servers int) (asked, fences int) {
	bubble(t, func(t *testing.T) {
		s := largeSite(t, servers)
		s.fenced = true
		earlier := s.start("before")
		earlier.waitForLease()
		earlier.store.unreachable.Store(true) // cut off from the store, and no longer reachable
		s.mu.Lock()
		delete(s.runningNodes, "before")
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		n := s.start("after")
		orders := reportCounter{s.engines, make(map[string]int)}
		n.holder.Orders = orders
		n.lease.Suspect()
		n.waitForLease()
		n.requestLoad(t, "m5")
		requestUntilLoaded(t, n, "m39", loadTime+6*time.Second)
		s.engines.mu.Lock()
		asked = len(orders.reports)
		s.engines.mu.Unlock()
		for _, g := range s.engines.receivedOrders() {
			if g.result == Already && g.order.Need.Adapter == "" && !g.order.Load {
				fences++
			}
		}
		if loads := s.engines.loads(); len(loads) == 0 || loads[len(loads)-1].order.Need.Model != "m39" {
			t.Errorf("with %d servers the model that no server holds was not loaded", servers)
		}
		n.stop()
		earlier.stop()
	})
	return asked, fences
}

// TestATermDoesNotAskAllServers checks that a holder asks a bounded number of servers, whatever
// their total, besides those that its orders go to.
func TestATermDoesNotAskAllServers(t *testing.T) {
	const small = 600
	asked, fences := runTerm(t, small)
	askedLarge, fencesLarge := runTerm(t, 3*small)
	t.Logf("asked %d of %d and %d of %d servers, raised %d and %d fences", asked, small, askedLarge, 3*small, fences, fencesLarge)
	if askedLarge > asked+asked/10 {
		t.Errorf("with %d servers %d are asked, with %d servers %d", small, asked, 3*small, askedLarge)
	}
	if fencesLarge > fences+fences/10 {
		t.Errorf("with %d servers %d are fenced, with %d servers %d", small, fences, 3*small, fencesLarge)
	}
}

// TestOnlyNodesWithRequestsAreNotified checks that a notice that a server holds a model goes only to
// the nodes that had requests for it. The other nodes learn it from the server's record.
func TestOnlyNodesWithRequestsAreNotified(t *testing.T) {
	for _, size := range []int{30, 90} {
		bubble(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"}, nil)
			n := s.start("a")
			sent := &noticeRecorder{}
			n.holder.Transport = sent
			n.waitForLease()
			for i := range size {
				beat := Beat{Node: Node{Name: fmt.Sprint("node-", i), Peers: fmt.Sprint("node-", i)}}
				if i < 3 {
					beat.Uses = []Use{{Service: "s", Model: "m5", Arrivals: 1}}
				}
				if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
					t.Fatal(err)
				}
			}
			request := WishMessage{Service: "s", Need: "m5", Left: 20 * time.Second}
			if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{ID: "node-7"}, request); err != nil {
				t.Fatal(err)
			}
			for range int(loadTime/time.Second) + 2 { // all nodes keep sending heartbeats
				time.Sleep(time.Second)
				for i := range size {
					beat := Beat{Node: Node{Name: fmt.Sprint("node-", i), Peers: fmt.Sprint("node-", i)}}
					if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
						t.Fatal(err)
					}
				}
			}
			if len(s.engines.loads()) == 0 {
				t.Fatal("the model was not loaded")
			}
			want := map[string]bool{"node-0": true, "node-1": true, "node-2": true, "node-7": true}
			for _, address := range sent.notices() {
				if !want[address] {
					t.Errorf("%s was notified of a model that it had no requests for", address)
				}
				delete(want, address)
			}
			if len(want) > 0 {
				t.Errorf("not notified: %v", want)
			}
			n.stop()
		})
	}
}

// noticeRecorder is a transport that records the addresses that notices are sent to.
type noticeRecorder struct {
	droppingTransport
	mu sync.Mutex
	to []string
}

func (s *noticeRecorder) Send(address string, message peer.Message) {
	if _, notice := message.(Notice); notice {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.to = append(s.to, address)
	}
}

func (s *noticeRecorder) notices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.to)
}
