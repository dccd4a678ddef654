package coordinator

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// restartListed restarts a server of the site under its name. The node sees the new record once
// replaceServers is called.
func (s *site) restartListed(i int) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	name := s.serverRecords[i].Instance()
	s.engines.resetServer(name)
	next := *s.serverRecords[i]
	next.ID = backend.Incarnation{Instance: name, Started: s.engines.servers[name].incarnation}.ID()
	next.Version, next.Models = next.Version+1, nil
	s.serverRecords = append([]*backend.Server(nil), s.serverRecords...)
	s.serverRecords[i] = &next
}

// replaceServers updates the node's server directory from the site's records.
func (n *node) replaceServers(s *site) {
	n.servers.Replace(s.serverRecords, n.servers.Snapshot().Version()+1)
}

// TestLIMITALateOrderForAnEarlierIncarnation has an order that was not answered carried out after
// its server restarted, once the new incarnation has taken as many orders as the late one expects.
// What the server holds by then leaves no memory for it.
func TestLIMITALateOrderForAnEarlierIncarnation(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.loadDuration = 100 * time.Millisecond
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		requestUntilLoaded(t, n, "m5", 2*loadTime)
		requestUntilLoaded(t, n, "m5/a1", 2*loadTime)
		s.engines.loseAnswers(1)
		n.requestLoad(t, "m6") // the third order, which expects two before it
		for !s.engines.hasDelayedOrders() {
			time.Sleep(time.Millisecond)
		}
		given := time.Now()
		s.restartListed(0)
		time.Sleep(loadRequestTTL + time.Second) // m6 is no longer requested
		n.replaceServers(s)
		requestUntilLoaded(t, n, "m10", 2*loadTime)
		for time.Since(given) < orderLifetime-time.Second {
			n.requestLoad(t, "m11")
			time.Sleep(100 * time.Millisecond)
		}
		s.engines.applyDelayedOrders()
		for _, g := range s.engines.receivedOrders() {
			if g.order.Need.Model == "m6" && g.result == Accepted {
				t.Error("the order for the first incarnation was carried out by the next one")
			}
		}
		requestUntilLoaded(t, n, "m11", orderLifetime+loadTime)
	})
}

// TestONEPauseBetweenHoldersAtARestartedServer checks that two holders keep holderChangePause between
// their orders to a server that restarted in between.
func TestONEPauseBetweenHoldersAtARestartedServer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.loadDuration = 100 * time.Millisecond
		a := s.start("a")
		a.waitForLease()
		for a.requestLoad(t, "m5"); len(s.engines.receivedOrders()) == 0; {
			time.Sleep(time.Millisecond)
		}
		a.stop()
		s.restartListed(0)
		b := s.start("b")
		defer b.stop()
		b.waitForLease()
		requestUntilLoaded(t, b, "m6", holderChangePause+3*loadTime)
		orders := s.engines.receivedOrders()
		if between := orders[len(orders)-1].at.Sub(orders[0].at); len(orders) != 2 || between < holderChangePause {
			t.Errorf("%d orders, want 2; the last one came %v after the first", len(orders), between)
		}
	})
}

// TestAReportOfAnotherIncarnation checks that a report of another incarnation says nothing about the
// listed one: the server gets no order that takes effect until its record shows the new incarnation.
func TestAReportOfAnotherIncarnation(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.loadDuration = 100 * time.Millisecond
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		requestUntilLoaded(t, n, "m5", 2*loadTime)
		before := len(s.engines.loads())
		s.restartListed(0)
		for range 20 {
			if got := n.requestLoad(t, "m6"); got.Server != "" {
				t.Errorf("%s is reported to hold m6", got.Server)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if loads := s.engines.loads(); len(loads) != before {
			t.Errorf("the next incarnation was taken for the first one: %+v", loads[before:])
		}
		n.replaceServers(s)
		requestUntilLoaded(t, n, "m6", refusedPause+2*loadTime)
		if got := n.requestLoad(t, "m5"); got.Server != "" {
			t.Errorf("%s is believed to hold what its first incarnation held", got.Server)
		}
	})
}

// TestAnIncarnationThatEndedWhileLoading checks that, once a report came from another incarnation,
// no request is sent to what the earlier one held, also between reports.
func TestAnIncarnationThatEndedWhileLoading(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		requestUntilLoaded(t, n, "m0", time.Second)
		for n.requestLoad(t, "m5"); len(s.engines.loads()) == 0; {
			time.Sleep(time.Millisecond)
		}
		s.restartListed(0)
		time.Sleep(loadTime + time.Second) // the load is due, and the server was asked for a report
		for range 3000 {
			if got := n.requestLoad(t, "m0"); got.Server != "" {
				t.Fatalf("%s is reported to hold m0", got.Server)
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// TestAnOrderForAnEndedIncarnation checks that an order decided for an incarnation is not sent to the
// next one.
func TestAnOrderForAnEndedIncarnation(t *testing.T) {
	directory := &backend.Directory{}
	directory.Replace([]*backend.Server{{ID: backend.Incarnation{Instance: "i", Started: 1}.ID()}}, 1)
	first := directory.Snapshot().Members()["i~1"]
	may := sendCheck(lease.Permit{Until: time.Now().Add(time.Hour)}, first)
	if err := may(); err != nil {
		t.Error(err)
	}
	directory.Replace([]*backend.Server{{ID: backend.Incarnation{Instance: "i", Started: 2}.ID()}}, 2)
	if err := may(); !errors.Is(err, errIncarnationOver) {
		t.Errorf("the error for an ended incarnation is %v", err)
	}
}

// TestALoadThatCrashesOneServerRepeatedly checks that crashed incarnations of one server count like
// crashes of several servers.
func TestALoadThatCrashesOneServerRepeatedly(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const bad = "m30"
		s := newSite(t, []string{})
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		crashes := 0
		for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(250 * time.Millisecond) {
			n.requestLoad(t, bad)
			if loads := s.engines.loads(); len(loads) > crashes && time.Since(loads[crashes].at) > time.Second {
				crashes++
				s.restartListed(0)
				n.replaceServers(s)
			}
		}
		if crashes != crashesBeforePause {
			t.Errorf("%d incarnations crashed by loads of one model, want %d", crashes, crashesBeforePause)
		}
	})
}
