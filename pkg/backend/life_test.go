package backend

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestLivesHaveIDsOfTheirOwn: no two lives share an ID, whatever names servers have.
func TestLivesHaveIDsOfTheirOwn(t *testing.T) {
	seen := make(map[string]Life)
	for _, name := range []string{"", "i-1", "i-1~", "i-1~z", "i-1~0", "~", "a~b~c", "i-1~zz!"} {
		for _, born := range []int64{0, 1, 35, 36, 1_800_000_000_000} {
			l := Life{Instance: name, Born: born}
			if got := ParseLife(l.ID()); got != l {
				t.Errorf("%+v has the ID %q, which is read as %+v", l, l.ID(), got)
			}
			if other, used := seen[l.ID()]; used {
				t.Errorf("%+v and %+v have the ID %q", l, other, l.ID())
			}
			seen[l.ID()] = l
		}
	}
	if id := (Life{Instance: "i-1"}).ID(); id != "i-1" {
		t.Errorf("a life whose start is not told has the ID %q", id)
	}
}

// rebirth is a directory that lists a server, and then its next life at the same address.
type rebirth struct {
	*Directory
	dialled int
	first   *Member
}

func newRebirth(server *Server) *rebirth {
	r := &rebirth{}
	r.Directory = &Directory{Dialer: func(context.Context, string) (net.Conn, error) {
		r.dialled++
		near, far := net.Pipe()
		go serve(far, good, good)
		return near, nil
	}}
	server.ID = Life{Instance: "i-1", Born: 1000}.ID()
	r.Replace([]*Server{server}, 1)
	r.first = r.Snapshot().Member(server.ID)
	return r
}

// again has the server start again, and returns its next life.
func (r *rebirth) again() *Member {
	next := &Server{ID: Life{Instance: "i-1", Born: 2000}.ID(), Service: "s", Address: r.first.Address, Version: 2}
	r.Replace([]*Server{next}, 2)
	return r.Snapshot().Member(next.ID)
}

// TestARebornServerBeginsWithNothing: nothing that was believed of a life holds for the next
// one, and the end of the first is told as that of a server that is gone.
func TestARebornServerBeginsWithNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		need := Need{Model: "m"}
		r := newRebirth(&Server{Service: "s", Address: "server", Version: 1, Models: []Holding{{Model: "m"}}})
		now := time.Now()
		r.Believe(r.first.ID, need, true, now.Add(time.Minute))
		r.first.Failed(now)
		r.first.Begin(now, "m")
		ended := false
		r.first.IfItEnds(time.Second, func() { ended = true })
		next := r.again()
		synctest.Wait()
		switch {
		case next.Instance() != r.first.Instance():
			t.Errorf("the next life answers to %q", next.Instance())
		case next.Serves(now, need):
			t.Error("the next life is believed to hold what the first one held")
		case next.Avoid(now), next.InFlight() != 0, next.Recent(now) != 0:
			t.Error("the next life is judged by what the first one did")
		case !ended:
			t.Error("nobody was told that the first life ended")
		case !r.first.Left(), r.first.Serves(now, need):
			t.Error("the first life gets requests")
		}
	})
}

// TestARebornServerGetsItsOwnConnections: one to an earlier life may have ended without a
// word, and what is sent on it would count as a request that may have run.
func TestARebornServerGetsItsOwnConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRebirth(&Server{Service: "s", Address: "server", Version: 1})
		exchangeWith(t, r.first)
		synctest.Wait()
		if r.first.Idle() != 1 {
			t.Fatalf("%d idle connections to the first life", r.first.Idle())
		}
		next := r.again()
		if next.Idle() != 0 || r.first.Idle() != 0 {
			t.Errorf("%d idle connections to the next life, %d to the first", next.Idle(), r.first.Idle())
		}
		if exchangeWith(t, next); r.dialled != 2 {
			t.Errorf("%d connections were opened", r.dialled)
		}
		r.Replace(nil, 3) // which closes them
	})
}

// TestAServerAtAnotherAddressGetsItsOwnConnections: its start was not told.
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
	if address != "after" || !first.Left() {
		t.Errorf("a connection to %q was opened; the first one has left: %t", address, first.Left())
	}
}

// BenchmarkLife reads the name that a request is sent to.
func BenchmarkLife(b *testing.B) {
	s := &Server{ID: Life{Instance: "i-7f3a91c2", Born: 1_800_000_000_000}.ID()}
	for b.Loop() {
		if s.Instance() == "" {
			b.Fatal("no name")
		}
	}
}
