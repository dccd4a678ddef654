package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// aroundConn is a connection through another node.
type aroundConn struct{ net.Conn }

func (aroundConn) Indirect() {}

// TestDirectMessageLeadsThroughAnotherNode guards against orders of one holder that come from two machines.
func TestDirectMessageLeadsThroughAnotherNode(t *testing.T) {
	var direct, around atomic.Int32
	dial := func(count *atomic.Int32, wrap func(net.Conn) net.Conn) Dialer {
		return func(context.Context, string) (net.Conn, error) {
			count.Add(1)
			near, far := net.Pipe()
			go serve(far, good, good, good)
			return wrap(near), nil
		}
	}
	d := &Directory{
		Dialer:       dial(&around, func(c net.Conn) net.Conn { return aroundConn{c} }),
		DirectDialer: dial(&direct, func(c net.Conn) net.Conn { return c }),
	}
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server"}}, 1)
	m := d.Snapshot().Member("i-1")
	exchangeWith(t, m)
	waitIdle(t, m)
	order := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"), Direct: true}
	a, err := m.Send(t.Context(), order, func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	a.Close()
	if direct.Load() != 1 || around.Load() != 1 {
		t.Errorf("%d direct connections and %d around, want one each", direct.Load(), around.Load())
	}
}

// TestUselessConnectionsAreKept guards against requests on connections that hang after a cut began, and tunnels that
// outlast it.
func TestUselessConnectionsAreKept(t *testing.T) {
	for name, cut := range map[string]bool{"cut begins": true, "cut ends": false} {
		t.Run(name, func(t *testing.T) {
			for _, indirect := range []bool{false, true} {
				d := &Directory{Dialer: func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					go serve(far, good)
					if indirect {
						return aroundConn{near}, nil
					}
					return near, nil
				}}
				d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server"}}, 1)
				m := d.Snapshot().Member("i-1")
				exchangeWith(t, m)
				waitIdle(t, m)
				d.WaysChanged(cut)
				if kept := m.Idle() == 1; kept != (indirect == cut) {
					t.Errorf("indirect %v: kept %v", indirect, kept)
				}
			}
		})
	}
}

// endingConn is a connection that is about to end once the test says so.
type endingConn struct {
	net.Conn
	ends *atomic.Bool
}

func (c endingConn) Ending() bool { return c.ends.Load() }

// Guards against requests on connections that are about to end.
func TestConnectionsThatAreAboutToEndAreNotUsedAgain(t *testing.T) {
	var dialed atomic.Int32
	var ends atomic.Bool
	d := &Directory{Dialer: func(context.Context, string) (net.Conn, error) {
		dialed.Add(1)
		near, far := net.Pipe()
		go serve(far, good, good, good)
		return endingConn{near, &ends}, nil
	}}
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server"}}, 1)
	m := d.Snapshot().Member("i-1")
	for _, want := range []struct {
		ends   bool
		dialed int32
	}{{false, 1}, {false, 1}, {true, 2}} {
		ends.Store(want.ends)
		exchangeWith(t, m)
		waitIdle(t, m)
		if got := dialed.Load(); got != want.dialed {
			t.Errorf("about to end %v: %d connections, want %d", want.ends, got, want.dialed)
		}
	}
}
