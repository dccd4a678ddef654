package tunnel

import (
	"context"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against tunnels that carry further requests after the node said that it stops, and those opened later that don't.
func TestTunnelsThroughAStoppingNodeAreEnding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(hangs, map[string]func(context.Context) (net.Conn, Result, error){"a": helperOver(works)})
		open := func() indirectConn {
			conn, err := d.Dial(t.Context(), serverName)
			if err != nil {
				t.Fatal(err)
			}
			return conn.(indirectConn)
		}
		before := open()
		d.NodeStops("b")
		if before.Ending() {
			t.Error("ends with another node")
		}
		time.Sleep(time.Second)
		d.NodeStops("a")
		if !before.Ending() {
			t.Error("does not end with its node")
		}
		time.Sleep(time.Second)
		if open().Ending() {
			t.Error("ends with an earlier life of its node")
		}
		time.Sleep(rememberStopTime)
		d.NodeStops("c")
		if len(d.stopping) != 1 {
			t.Errorf("%d stops are remembered", len(d.stopping))
		}
		time.Sleep(hangTime) // the last direct attempt ends
	})
}

// Guards against owners of tunnels who don't hear of the stop: unknown ones, and those whose tunnel opens at that moment.
func TestOwnersOfTunnelsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopping := false
		d := newDialer(works, nil)
		h := &Helper{Dialer: d, Stopping: func() bool { return stopping }, Logger: hclog.NewNullLogger(), Listed: func(context.Context, Connect) bool { return true }}
		var conns []net.Conn
		for _, owner := range []string{"one", "two", "one"} {
			conn, result := h.Connect(t.Context(), owner, Connect{Address: serverName})
			if result != Open {
				t.Fatal(result)
			}
			conns = append(conns, conn)
		}
		owners := func() []string { return slices.Sorted(slices.Values(h.Owners())) }
		if got := owners(); !slices.Equal(got, []string{"one", "two"}) {
			t.Errorf("owners %v", got)
		}
		_ = conns[0].Close()
		_ = conns[1].Close()
		if got := owners(); !slices.Equal(got, []string{"one"}) {
			t.Errorf("owners %v after two tunnels were closed", got)
		}
		_ = conns[2].Close()
		d.Direct = func(ctx context.Context, _ string) (net.Conn, error) {
			stopping = true
			return works.dial(ctx)
		}
		if _, result := h.Connect(t.Context(), "one", Connect{Address: serverName}); result != Unavailable || h.Open() != 0 || len(h.Owners()) != 0 {
			t.Errorf("as the node stops: %v, %d open, owners %v", result, h.Open(), h.Owners())
		}
	})
}
