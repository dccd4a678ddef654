package coordinator

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// startAgain has a server of the site start again under its name. Its record tells of it once
// list is called.
func (s *site) startAgain(i int) {
	s.engines.mu.Lock()
	defer s.engines.mu.Unlock()
	name := s.list[i].Instance()
	s.engines.reborn(name)
	next := *s.list[i]
	next.ID = backend.Life{Instance: name, Born: s.engines.servers[name].born}.ID()
	next.Version, next.Models = next.Version+1, nil
	s.list = append([]*backend.Server(nil), s.list...)
	s.list[i] = &next
}

// list has the node take in the records of the servers.
func (n *node) list(s *site) { n.servers.Replace(s.list, n.servers.Snapshot().Version()+1) }

// TestLIMITALateOrderForAnEarlierLife: an order that was not answered is carried out after the
// server started again, once that has taken as many orders as it expects. What the server then
// holds leaves no room for it.
func TestLIMITALateOrderForAnEarlierLife(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.load = 100 * time.Millisecond
		n := s.start("a")
		defer n.stop()
		n.hold()
		wishUntil(t, n, "m5", 2*loadTime)
		wishUntil(t, n, "m5/a1", 2*loadTime)
		s.engines.loseAnswers(1)
		n.wish(t, "m6") // the third order: it expects two
		for !s.engines.someLate() {
			time.Sleep(time.Millisecond)
		}
		given := time.Now()
		s.startAgain(0)
		time.Sleep(wishTime + time.Second) // nobody wants m6 any more
		n.list(s)
		wishUntil(t, n, "m10", 2*loadTime)
		for time.Since(given) < lateOrder-time.Second {
			n.wish(t, "m11")
			time.Sleep(100 * time.Millisecond)
		}
		s.engines.carryOutLate()
		for _, g := range s.engines.given() {
			if g.order.Need.Model == "m6" && g.result == Accepted {
				t.Error("the order for the first life was carried out by the next one")
			}
		}
		wishUntil(t, n, "m11", lateOrder+loadTime)
	})
}

// TestONENoTurnsAtAServerThatStartsAgain: two holders take no turns at a server, though it
// started again in between.
func TestONENoTurnsAtAServerThatStartsAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.load = 100 * time.Millisecond
		a := s.start("a")
		a.hold()
		for a.wish(t, "m5"); len(s.engines.given()) == 0; {
			time.Sleep(time.Millisecond)
		}
		a.stop()
		s.startAgain(0)
		b := s.start("b")
		defer b.stop()
		b.hold()
		wishUntil(t, b, "m6", turns+3*loadTime)
		orders := s.engines.given()
		if between := orders[len(orders)-1].at.Sub(orders[0].at); len(orders) != 2 || between < turns {
			t.Errorf("%d orders; the last one came %v after the first", len(orders), between)
		}
	})
}

// TestAReportOfAnotherLife tells nothing of the one that is believed to run: the server gets no
// order that takes effect until its record tells of the next life.
func TestAReportOfAnotherLife(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{})
		s.engines.load = 100 * time.Millisecond
		n := s.start("a")
		defer n.stop()
		n.hold()
		wishUntil(t, n, "m5", 2*loadTime)
		before := len(s.engines.loads())
		s.startAgain(0)
		for range 20 {
			if got := n.wish(t, "m6"); got.Server != "" {
				t.Errorf("%s is said to hold m6", got.Server)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if loads := s.engines.loads(); len(loads) != before {
			t.Errorf("the next life was taken for the first one: %+v", loads[before:])
		}
		n.list(s)
		wishUntil(t, n, "m6", refusedPause+2*loadTime)
		if got := n.wish(t, "m5"); got.Server != "" {
			t.Errorf("%s is believed to hold what the first life held", got.Server)
		}
	})
}

// TestALifeThatEndedWhileItLoaded: once a report is of another life, nobody is sent to what the
// life before held, also between the reports.
func TestALifeThatEndedWhileItLoaded(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		defer n.stop()
		n.hold()
		wishUntil(t, n, "m0", time.Second)
		for n.wish(t, "m5"); len(s.engines.loads()) == 0; {
			time.Sleep(time.Millisecond)
		}
		s.startAgain(0)
		time.Sleep(loadTime + time.Second) // the load is due, and the server was asked
		for range 3000 {
			if got := n.wish(t, "m0"); got.Server != "" {
				t.Fatalf("%s is said to hold m0", got.Server)
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// TestAnOrderForALifeThatIsOver is not sent.
func TestAnOrderForALifeThatIsOver(t *testing.T) {
	directory := &backend.Directory{}
	directory.Replace([]*backend.Server{{ID: backend.Life{Instance: "i", Born: 1}.ID()}}, 1)
	first := directory.Snapshot().Members()["i~1"]
	may := mayBy(lease.Permit{Until: time.Now().Add(time.Hour)}, first)
	if err := may(); err != nil {
		t.Error(err)
	}
	directory.Replace([]*backend.Server{{ID: backend.Life{Instance: "i", Born: 2}.ID()}}, 2)
	if err := may(); !errors.Is(err, errLifeOver) {
		t.Errorf("an order for a life that is over: %v", err)
	}
}

// TestALoadThatEndsOneServerAgainAndAgain: its lives count as the ends of several servers do.
func TestALoadThatEndsOneServerAgainAndAgain(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const bad = "m30"
		s := newSite(t, []string{})
		n := s.start("a")
		defer n.stop()
		n.hold()
		ended := 0
		for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(250 * time.Millisecond) {
			n.wish(t, bad)
			if loads := s.engines.loads(); len(loads) > ended && time.Since(loads[ended].at) > time.Second {
				ended++
				s.startAgain(0)
				n.list(s)
			}
		}
		if ended != fatalLosses {
			t.Errorf("%d lives ended by loads of one model, want %d", ended, fatalLosses)
		}
	})
}
