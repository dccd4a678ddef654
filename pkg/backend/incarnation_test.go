package backend

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// TestIncarnationIDsAreUnique: no two incarnations share an ID, whatever the names of the servers.
func TestIncarnationIDsAreUnique(t *testing.T) {
	seen := make(map[string]Incarnation)
	for _, name := range []string{"", "i-1", "i-1~", "i-1~z", "i-1~0", "~", "a~b~c", "i-1~zz!"} {
		for _, started := range []int64{0, 1, 35, 36, 1_800_000_000_000} {
			l := Incarnation{Instance: name, Started: started}
			if got := ParseIncarnation(l.ID()); got != l {
				t.Errorf("%+v has the ID %q, which is parsed as %+v", l, l.ID(), got)
			}
			if other, used := seen[l.ID()]; used {
				t.Errorf("%+v and %+v have the ID %q", l, other, l.ID())
			}
			seen[l.ID()] = l
		}
	}
	if id := (Incarnation{Instance: "i-1"}).ID(); id != "i-1" {
		t.Errorf("an incarnation with unknown start has the ID %q, want the instance name", id)
	}
}

// restartDirectory lists one server and, after restart, its next incarnation at the same address.
type restartDirectory struct {
	*Directory
	dialled int
	first   *Member
}

func newRestartDirectory(server *Server) *restartDirectory {
	r := &restartDirectory{}
	r.Directory = &Directory{Dialer: func(context.Context, string) (net.Conn, error) {
		r.dialled++
		near, far := net.Pipe()
		go serve(far, good, good)
		return near, nil
	}}
	server.ID = Incarnation{Instance: "i-1", Started: 1000}.ID()
	r.Replace([]*Server{server}, 1)
	r.first = r.Snapshot().Member(server.ID)
	return r
}

// restart lists the next incarnation of the server and returns it.
func (r *restartDirectory) restart() *Member {
	next := &Server{ID: Incarnation{Instance: "i-1", Started: 2000}.ID(), Service: "s", Address: r.first.Address, Version: 2}
	r.Replace([]*Server{next}, 2)
	return r.Snapshot().Member(next.ID)
}

// TestRestartedServerHasNoState: nothing that was known of an incarnation applies to the next one, and the
// end of the first is reported to those who wait for it.
func TestRestartedServerHasNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		need := Need{Model: "m"}
		r := newRestartDirectory(&Server{Service: "s", Address: "server", Version: 1, Models: []Holding{{Model: "m"}}})
		now := time.Now()
		r.OverrideHolding(r.first.ID, need, true, now.Add(time.Minute))
		r.first.Failed(now)
		r.first.Begin(now, "m")
		ended := false
		r.first.OnEnd(now, time.Second, func() { ended = true })
		next := r.restart()
		synctest.Wait()
		switch {
		case next.Instance() != r.first.Instance():
			t.Errorf("the next incarnation has the instance name %q", next.Instance())
		case next.Serves(now, need):
			t.Error("the next incarnation is considered to hold the model of the first one")
		case next.Avoid(now), next.InFlight() != 0, next.Recent(now) != 0:
			t.Error("the next incarnation has the failures or requests of the first one")
		case !ended:
			t.Error("the end of the first incarnation was not reported")
		case !r.first.Delisted(), r.first.Serves(now, need):
			t.Error("the first incarnation still gets requests")
		}
	})
}

// TestRestartedServerGetsItsOwnConnections: a connection to an earlier incarnation may be dead without
// notice, and a request sent on it would count as possibly executed.
func TestRestartedServerGetsItsOwnConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRestartDirectory(&Server{Service: "s", Address: "server", Version: 1})
		exchangeWith(t, r.first)
		synctest.Wait()
		if r.first.Idle() != 1 {
			t.Fatalf("%d idle connections to the first incarnation, want 1", r.first.Idle())
		}
		next := r.restart()
		if next.Idle() != 0 || r.first.Idle() != 0 {
			t.Errorf("%d idle connections to the next incarnation and %d to the first, want none", next.Idle(), r.first.Idle())
		}
		if exchangeWith(t, next); r.dialled != 2 {
			t.Errorf("%d connections were opened, want 2", r.dialled)
		}
		r.Replace(nil, 3) // closes the connections
	})
}

// TestAServerAtAnotherAddressGetsItsOwnConnections: a server whose start is unknown keeps its ID when it
// restarts, so that only the new address shows that it is another incarnation.
func TestAServerAtAnotherAddressGetsItsOwnConnections(t *testing.T) {
	address := ""
	d := &Directory{Dialer: func(_ context.Context, to string) (net.Conn, error) {
		address = to
		return nil, errors.New("test")
	}}
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "before"}}, 1)
	first := d.Snapshot().Member("i-1")
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "after"}}, 2)
	_, _ = d.Snapshot().Member("i-1").Send(t.Context(), &Message{Method: "GET", Target: "/"}, func() error { return nil })
	if address != "after" || !first.Delisted() {
		t.Errorf("a connection to %q was opened, want \"after\"; the first member is delisted: %t", address, first.Delisted())
	}
}

// BenchmarkInstance parses the server's ID for the name that each request is sent to.
func BenchmarkInstance(b *testing.B) {
	s := &Server{ID: Incarnation{Instance: "i-7f3a91c2", Started: 1_800_000_000_000}.ID()}
	for b.Loop() {
		if s.Instance() == "" {
			b.Fatal("the server has no instance name")
		}
	}
}

// TestServerThatLeftCountsAsNeverListed guards against doubts about requests for long after a server has left as planned.
func TestServerThatLeftCountsAsNeverListed(t *testing.T) {
	server := Server{ID: "i-1", Service: "s", Address: "server", Version: 1}
	draining := server
	draining.Draining, draining.Version = true, 2
	for _, c := range []struct {
		name string
		do   func(d *Directory)
		want bool
	}{
		{"never listed", func(*Directory) {}, false},
		{"reported by another node", func(d *Directory) { d.MergeSignals("i-1", backpressure.SharedState{}) }, false},
		{"listed", func(d *Directory) { d.Replace([]*Server{&server}, 1) }, true},
		{"left as announced", func(d *Directory) {
			d.Replace([]*Server{&server}, 1)
			d.Replace([]*Server{&draining}, 2)
			d.Replace(nil, 3)
		}, true},
		{"its record was removed", func(d *Directory) {
			d.Replace([]*Server{&server}, 1)
			d.Replace(nil, 2)
		}, true},
		{"released while a request runs", func(d *Directory) {
			d.Replace([]*Server{&server}, 1)
			d.Snapshot().Member("i-1").Begin(time.Now(), "m")
			d.Release([]string{"i-1"})
			d.Replace(nil, 2)
		}, true},
	} {
		d := &Directory{}
		c.do(d)
		if got := d.ListedLately("i-1"); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
