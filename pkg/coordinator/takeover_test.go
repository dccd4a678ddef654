package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
)

// TestNewHolderKeepsWhatIsInUse checks that a load request which reaches a new holder before the
// nodes' heartbeats does not evict a model that they use.
func TestNewHolderKeepsWhatIsInUse(t *testing.T) {
	for _, used := range []string{"m0", "m1"} {
		t.Run(used, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSite(t, []string{"m0", "m1"})
				s.knownNodes = []Node{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "gone"}}
				n := s.start("a")
				n.waitForLease()
				n.requestLoad(t, "m5")
				time.Sleep(700 * time.Millisecond)
				for _, node := range s.knownNodes[:3] {
					beat := Beat{Node: node, Uses: []Use{{Service: "s", Model: used, Rate: 1, WeightedRate: 1}}}
					if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
						t.Fatal(err)
					}
				}
				requestUntilLoaded(t, n, "m5", loadTime+2*time.Second)
				for _, g := range s.engines.receivedOrders() {
					if !g.order.Load && g.order.Need.Model == used {
						t.Errorf("%s was evicted although it is in use", used)
					}
				}
				n.stop()
			})
		})
	}
}

// TestNewHolderIsToldTheRates checks that a node reports its earlier arrival rates to a holder once,
// and later arrivals with each heartbeat.
func TestNewHolderIsToldTheRates(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		n.waitForLease()
		m := &Member{Self: Node{Name: "b"}, Lease: n.lease, Holder: n.holder, Servers: n.servers, Quarantine: new(quarantine.Table), Logger: hclog.NewNullLogger()}
		m.RequestArrived("s", backend.Need{Model: "m0", Adapter: "a1"}, 1)
		if uses := m.uses(time.Now()); len(uses) != 2 || uses[0].Arrivals != 1 || uses[0].Rate != 0 {
			t.Errorf("the first heartbeat reports %+v", uses)
		}
		m.RequestArrived("s", backend.Need{Model: "m0"}, 1)
		for _, u := range m.uses(time.Now()) {
			if u.Rate == 0 || u.Arrivals != 0 && u.Model != "m0" {
				t.Errorf("a heartbeat to a holder that has not answered yet reports %+v", u)
			}
		}
		m.ratesTerm = 1
		if uses := m.uses(time.Now()); len(uses) != 0 {
			t.Errorf("the report to a holder that knows the rates is %+v, want none", uses)
		}
		time.Sleep(5 * time.Minute)
		m.uses(time.Now())
		if len(m.rates) != 0 {
			t.Errorf("%d rates are kept for models that are no longer requested", len(m.rates))
		}
		n.stop()
	})
}

// TestRECOVERBusyModelGoesFirst checks that, when a new holder finds nothing loaded, a model with
// many requests is loaded before models with single requests of a more urgent route, however many
// these are.
func TestRECOVERBusyModelGoesFirst(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{}, []string{})
		s.knownNodes = []Node{{Name: "a"}}
		n := s.start("a")
		n.waitForLease()
		uses := []Use{{Service: "s", Model: "m5", Rate: 10, WeightedRate: 10 * policy.UrgencyWeight(1)}}
		if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: s.knownNodes[0], Uses: uses}); err != nil {
			t.Fatal(err)
		}
		for i := range 12 {
			n.requestLoadWithPriority(t, fmt.Sprintf("m%d", 10+i), 0)
		}
		n.requestLoadWithPriority(t, "m5", 1)
		time.Sleep(loadTime)
		first := s.engines.loads()
		if len(first) > 4 {
			first = first[:4] // two fit on each server
		}
		for _, g := range first {
			if g.order.Need.Model == "m5" {
				n.stop()
				return
			}
		}
		t.Errorf("the busy model is not among the first loads: %+v", first)
		n.stop()
	})
}
