package backend

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/revision"
)

// testSignals reads the signals that the test servers send.
func testSignals(status int, h http.Header) backpressure.Signals {
	signals := backpressure.Signals{Leaving: h.Get("Leaving") != ""}
	if h.Get("Limit") != "" {
		signals.Limited, signals.Limit = true, 2
	}
	if status == http.StatusServiceUnavailable && h.Get("Rest") != "" {
		signals.BackOff = 3 * time.Second
	}
	return signals
}

// newSignallingServer returns a directory with one server that gives the answers in order on one
// connection.
func newSignallingServer(answers ...string) (*Directory, *Member) {
	d := &Directory{Signals: testSignals, Dialer: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far, answers...)
		return near, nil
	}}
	d.Replace([]*Server{{ID: "i-1~1", Service: "s", Address: "server", Version: 1}}, 1)
	return d, d.Snapshot().Member("i-1~1")
}

// goodWithHeader returns the answer good with a header line added.
func goodWithHeader(header string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + header + "\r\n\r\ngood"
}

// TestAServerThatSaidItLeavesGetsNothingNew: a record that does not declare it, because it is older or was
// rewritten, does not bring the server back. Its next incarnation is another server. Those who wait for a
// change of the servers are woken.
func TestAServerThatSaidItLeavesGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, m := newSignallingServer(goodWithHeader("Leaving: 1"))
		ended := false
		m.OnEnd(time.Now(), time.Hour, func() { ended = true })
		changed := d.Changed()
		exchangeWith(t, m)
		select {
		case <-changed:
		default:
			t.Error("those who wait for a change are not woken")
		}
		time.Sleep(time.Second)
		if m.Serves(time.Now(), Need{}) || !m.Leaving() || m.LeavingFor(time.Now()) != time.Second {
			t.Errorf("serves %t, leaving for %v, want false and 1 s", m.Serves(time.Now(), Need{}), m.LeavingFor(time.Now()))
		}
		d.Replace([]*Server{{ID: "i-1~1", Service: "s", Address: "server", Version: 2}}, 2)
		time.Sleep(time.Second)
		if m = d.Snapshot().Member("i-1~1"); m.Serves(time.Now(), Need{}) || m.LeavingFor(time.Now()) != 2*time.Second {
			t.Errorf("after a record that does not declare it: serves %t, leaving for %v, want false and 2 s", m.Serves(time.Now(), Need{}), m.LeavingFor(time.Now()))
		}
		d.Replace([]*Server{{ID: "i-1~2", Service: "s", Address: "server", Version: 3}}, 3)
		synctest.Wait()
		if next := d.Snapshot().Member("i-1~2"); !next.Serves(time.Now(), Need{}) {
			t.Error("the next incarnation serves nothing")
		}
		if ended {
			t.Error("the end of a server that announced that it leaves was reported as a crash")
		}
	})
}

// TestSignalsAreReadInEachAnswer: also in an error, and in a skipped response to another request.
func TestSignalsAreReadInEachAnswer(t *testing.T) {
	for name, answers := range map[string][]string{
		"a success": {goodWithHeader("Limit: 2")},
		"a failure": {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\nLimit: 2\r\n\r\ngood"},
		"another's": {goodWithHeader("Limit: 2\r\nFor: another") + good},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, m := newSignallingServer(answers...)
				message := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"),
					IsAnswer: func(h http.Header) bool { return h.Get("For") == "" }}
				a, err := m.Send(t.Context(), message, func() error { return nil })
				if err != nil {
					t.Fatal(err)
				}
				a.Close()
				if limit, limited := m.Limit(); !limited || limit != 2 {
					t.Errorf("the limit is %v, %t, want 2, true", limit, limited)
				}
				m.pool.closeIdle()
			})
		})
	}
}

// TestSignalsAreKeptWhileAServerIsNotListed: the record of a server lapses and returns, as happens while the
// store is unavailable. A server at another address does not get the signals.
func TestSignalsAreKeptWhileAServerIsNotListed(t *testing.T) {
	row := func(address string, version revision.Revision) []*Server {
		return []*Server{{ID: "i-1~1", Service: "s", Address: address, Version: version}}
	}
	for name, c := range map[string]struct {
		answer string
		still  func(m *Member) bool
	}{
		"it leaves": {goodWithHeader("Leaving: 1"), func(m *Member) bool { return m.Leaving() }},
		"a limit":   {goodWithHeader("Limit: 2"), func(m *Member) bool { return m.Limited() }},
		"a rest": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nRest: 3\r\n\r\ngood",
			func(m *Member) bool { return m.BackOff(time.Now()) > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, m := newSignallingServer(c.answer)
				exchangeWith(t, m)
				d.Replace(nil, 2)
				time.Sleep(time.Second)
				d.Replace(row("server", 3), 3)
				if !c.still(d.Snapshot().Member("i-1~1")) {
					t.Error("the signal is lost after the record returned")
				}
				d.Replace(nil, 4)
				d.Replace(row("elsewhere", 5), 5)
				if c.still(d.Snapshot().Member("i-1~1")) {
					t.Error("a server at another address has the signal")
				}
				d.Replace(nil, 6)
				synctest.Wait()
			})
		})
	}
}
