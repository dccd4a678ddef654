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

// testSignals reads words as the tests' servers tell them.
func testSignals(status int, h http.Header) backpressure.Signals {
	w := backpressure.Signals{Leaving: h.Get("Leaving") != ""}
	if h.Get("Limit") != "" {
		w.Limited, w.Limit = true, 2
	}
	if status == http.StatusServiceUnavailable && h.Get("Rest") != "" {
		w.Rest = 3 * time.Second
	}
	return w
}

// talking is a directory with one server that gives some answers in turn, on one connection.
func talking(answers ...string) (*Directory, *Member) {
	d := &Directory{Signals: testSignals, Dialer: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far, answers...)
		return near, nil
	}}
	d.Replace([]*Server{{ID: "i-1~1", Service: "s", Address: "server", Version: 1}}, 1)
	return d, d.Snapshot().Member("i-1~1")
}

// saying is good with a header.
func saying(header string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + header + "\r\n\r\ngood"
}

// TestAServerThatSaidItLeavesGetsNothingNew: its record, which is older or written anew without the word, does
// not bring it back; its next life is another server. Those who wait for a server are told.
func TestAServerThatSaidItLeavesGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, m := talking(saying("Leaving: 1"))
		ended := false
		m.IfItEnds(time.Hour, func() { ended = true })
		changed := d.Changed()
		exchangeWith(t, m)
		select {
		case <-changed:
		default:
			t.Error("those who wait are not told")
		}
		time.Sleep(time.Second)
		if m.Serves(time.Now(), Need{}) || !m.Leaving() || m.LeavingFor(time.Now()) != time.Second {
			t.Errorf("it serves %t, leaves for %v", m.Serves(time.Now(), Need{}), m.LeavingFor(time.Now()))
		}
		d.Replace([]*Server{{ID: "i-1~1", Service: "s", Address: "server", Version: 2}}, 2)
		time.Sleep(time.Second)
		if m = d.Snapshot().Member("i-1~1"); m.Serves(time.Now(), Need{}) || m.LeavingFor(time.Now()) != 2*time.Second {
			t.Errorf("with a record without the word it serves %t, leaves for %v", m.Serves(time.Now(), Need{}), m.LeavingFor(time.Now()))
		}
		d.Replace([]*Server{{ID: "i-1~2", Service: "s", Address: "server", Version: 3}}, 3)
		synctest.Wait()
		if next := d.Snapshot().Member("i-1~2"); !next.Serves(time.Now(), Need{}) {
			t.Error("its next life gets nothing")
		}
		if ended {
			t.Error("the end of a server that said it leaves counts as a crash")
		}
	})
}

// TestSignalsAreReadInEachAnswer: also in a failure, and in an answer to another request that is read over.
func TestSignalsAreReadInEachAnswer(t *testing.T) {
	for name, answers := range map[string][]string{
		"a success": {saying("Limit: 2")},
		"a failure": {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\nLimit: 2\r\n\r\ngood"},
		"another's": {saying("Limit: 2\r\nFor: another") + good},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, m := talking(answers...)
				message := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"),
					IsAnswer: func(h http.Header) bool { return h.Get("For") == "" }}
				a, err := m.Send(t.Context(), message, func() error { return nil })
				if err != nil {
					t.Fatal(err)
				}
				a.Close()
				if limit, limited := m.Limit(); !limited || limit != 2 {
					t.Errorf("the limit is %v, %t", limit, limited)
				}
				m.pool.closeIdle()
			})
		})
	}
}

// TestWhatAServerSaidOutlivesAGapInTheList: the row of a server lapses and is back, as while the store is away; that
// of another life is not taken for it.
func TestWhatAServerSaidOutlivesAGapInTheList(t *testing.T) {
	row := func(address string, version revision.Revision) []*Server {
		return []*Server{{ID: "i-1~1", Service: "s", Address: address, Version: version}}
	}
	for name, c := range map[string]struct {
		answer string
		still  func(m *Member) bool
	}{
		"it leaves": {saying("Leaving: 1"), func(m *Member) bool { return m.Leaving() }},
		"a limit":   {saying("Limit: 2"), func(m *Member) bool { return m.Limited() }},
		"a rest": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nRest: 3\r\n\r\ngood",
			func(m *Member) bool { return m.Rest(time.Now()) > 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, m := talking(c.answer)
				exchangeWith(t, m)
				d.Replace(nil, 2)
				time.Sleep(time.Second)
				d.Replace(row("server", 3), 3)
				if !c.still(d.Snapshot().Member("i-1~1")) {
					t.Error("it is forgotten once its row is back")
				}
				d.Replace(nil, 4)
				d.Replace(row("elsewhere", 5), 5)
				if c.still(d.Snapshot().Member("i-1~1")) {
					t.Error("a server at another address is taken for it")
				}
				d.Replace(nil, 6)
				synctest.Wait()
			})
		})
	}
}
