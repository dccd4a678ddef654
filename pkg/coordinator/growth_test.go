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

// A new holder asked each server at once how many orders it took, and after a holder that could not
// be asked it gave each an order without effect: with 10,000 servers as many connections, of a
// machine that may have 4,100. Each order was told to all nodes. These plays count what a holder
// does at one size and at three times it.

// counted counts the reports that engines are asked for.
type counted struct {
	*engines
	reports map[string]int
}

// Report implements Orders.
func (c counted) Report(ctx context.Context, m *backend.Member) (Report, error) {
	c.mu.Lock()
	c.reports[m.ID]++
	c.mu.Unlock()
	return c.engines.Report(ctx, m)
}

// largeSite has so many servers, each with two of the models but m39, which none holds.
func largeSite(t *testing.T, servers int) *site {
	held := make([][]string, servers)
	for i := range held {
		held[i] = []string{fmt.Sprintf("m%d", i%38), fmt.Sprintf("m%d", (i+1)%38)}
	}
	return newSite(t, held...)
}

// term runs a holder over so many servers that takes over from one that does not answer, has models
// loaded for wishes, and returns how many servers it asked and how many fences it raised.
func term(t *testing.T, servers int) (asked, fences int) {
	bubble(t, func(t *testing.T) {
		s := largeSite(t, servers)
		s.fenced = true
		before := s.start("before")
		before.hold()
		before.store.away.Store(true) // it is cut off, and not asked any more
		s.mu.Lock()
		delete(s.running, "before")
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		n := s.start("after")
		orders := counted{s.engines, make(map[string]int)}
		n.holder.Orders = orders
		n.lease.Suspect()
		n.hold()
		n.wish(t, "m5")
		wishUntil(t, n, "m39", loadTime+6*time.Second)
		s.engines.mu.Lock()
		asked = len(orders.reports)
		s.engines.mu.Unlock()
		for _, g := range s.engines.given() {
			if g.result == Already && g.order.Need.Adapter == "" && !g.order.Load {
				fences++
			}
		}
		if loads := s.engines.loads(); len(loads) == 0 || loads[len(loads)-1].order.Need.Model != "m39" {
			t.Errorf("%d servers: the model that no server holds is not loaded", servers)
		}
		n.stop()
		before.stop()
	})
	return asked, fences
}

// TestATermDoesNotAskAllServers: a holder asks a bounded number of servers, whatever their number, and
// the ones that its orders go to.
func TestATermDoesNotAskAllServers(t *testing.T) {
	const small = 600
	asked, fences := term(t, small)
	askedLarge, fencesLarge := term(t, 3*small)
	t.Logf("asked %d of %d and %d of %d servers, fences %d and %d", asked, small, askedLarge, 3*small, fences, fencesLarge)
	if askedLarge > asked+asked/10 {
		t.Errorf("of %d servers %d are asked, of %d %d", small, asked, 3*small, askedLarge)
	}
	if fencesLarge > fences+fences/10 {
		t.Errorf("of %d servers %d are fenced, of %d %d", small, fences, 3*small, fencesLarge)
	}
}

// TestOnlyNodesThatWereAskedAreNoticed: who hears at once what a server holds by now is who was asked
// for it; the others learn by its record.
func TestOnlyNodesThatWereAskedAreNoticed(t *testing.T) {
	for _, size := range []int{30, 90} {
		bubble(t, func(t *testing.T) {
			s := newSite(t, []string{"m0"}, nil)
			n := s.start("a")
			sent := &sentTo{}
			n.holder.Transport = sent
			n.hold()
			for i := range size {
				beat := Beat{Node: Node{Name: fmt.Sprint("node-", i), Peers: fmt.Sprint("node-", i)}}
				if i < 3 {
					beat.Uses = []Use{{Service: "s", Model: "m5", Arrivals: 1}}
				}
				if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
					t.Fatal(err)
				}
			}
			wish := WishMessage{Service: "s", Need: "m5", Left: 20 * time.Second}
			if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{ID: "node-7"}, wish); err != nil {
				t.Fatal(err)
			}
			for range int(loadTime/time.Second) + 2 { // all nodes go on beating
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
					t.Errorf("%s was told of a model that it was not asked for", address)
				}
				delete(want, address)
			}
			if len(want) > 0 {
				t.Errorf("not told: %v", want)
			}
			n.stop()
		})
	}
}

// sentTo is a transport that notes to whom notices go.
type sentTo struct {
	noTransport
	mu sync.Mutex
	to []string
}

func (s *sentTo) Send(address string, message peer.Message) {
	if _, notice := message.(Notice); notice {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.to = append(s.to, address)
	}
}

func (s *sentTo) notices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.to)
}
