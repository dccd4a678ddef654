package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// serve responds to the requests of a connection with the answers in order.
func serve(conn net.Conn, answers ...string) {
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, answer)
	}
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=10\r\n\r\ngood"

// slowWriter returns from a write some time after the bytes were written.
type slowWriter struct{ net.Conn }

func (w slowWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	time.Sleep(writeEndTimeout / 4)
	return n, err
}

// newMember returns a member whose connections are opened by dial.
func newMember(dial Dialer) *Member {
	d := &Directory{Dialer: dial}
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server"}}, 1)
	return d.Snapshot().Member("i-1")
}

// exchangeWith sends a request and reads the complete response.
func exchangeWith(t *testing.T, m *Member) string {
	t.Helper()
	message := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"), Body: []byte("body")}
	a, err := m.Send(t.Context(), message, func() error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// waitIdle waits until a connection is idle.
func waitIdle(t *testing.T, m *Member) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); m.Idle() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no connection became idle within 10 s")
		}
	}
}

// TestConnectionIsKeptThoughTheAnswerWasFaster: a response that arrives before the goroutine that writes
// the request has returned must not close the connection.
func TestConnectionIsKeptThoughTheAnswerWasFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // fake time: on a busy machine the write returned later than writeEndTimeout
		var dials atomic.Int32
		m := newMember(func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			near, far := net.Pipe()
			go serve(far, good, good, good)
			return slowWriter{near}, nil
		})
		defer m.pool.closeIdle()
		for range 3 {
			if body := exchangeWith(t, m); body != "good" {
				t.Errorf("the answer is %q", body)
			}
			waitIdle(t, m)
		}
		if dials.Load() != 1 {
			t.Errorf("%d connections were opened for three sequential requests, want 1", dials.Load())
		}
	})
}

// TestUnsolicitedBytesEndAConnection: bytes that arrive while no request is in progress must not be taken
// as the response to the next request.
func TestUnsolicitedBytesEndAConnection(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	var dials atomic.Int32
	m := newMember(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		if dials.Add(1) == 1 {
			go serve(far, good+late)
		} else {
			go serve(far, good)
		}
		return near, nil
	})
	for range 2 {
		if body := exchangeWith(t, m); body != "good" {
			t.Errorf("the answer is %q", body)
		}
		for m.Idle() > 0 && dials.Load() == 1 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestEnded: only a refused connection shows that a server has ended. A connection attempt that times out
// does not.
func TestEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	}
	m := newMember(dial)
	if m.Ended(t.Context()) || m.Idle() != 1 {
		t.Errorf("a listening server is reported as ended, or its connection is not kept: %d idle connections", m.Idle())
	}
	listener.Close()
	if !newMember(dial).Ended(t.Context()) {
		t.Error("a server without a listener is not reported as ended")
	}
	silent := newMember(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if silent.Ended(t.Context()) {
		t.Error("a server that does not respond is reported as ended")
	}
}

// TestConnectionLimit: at the limit, only control messages open further connections.
func TestConnectionLimit(t *testing.T) {
	m := newMember(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far, good)
		return near, nil
	})
	m.SetConnectionLimit(1)
	message := &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}
	send := func() error {
		a, err := m.Send(t.Context(), message, func() error { return nil })
		if err == nil {
			t.Cleanup(a.Close)
		}
		return err
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	if err := send(); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("got %v for the second connection, want ErrTooManyConnections", err)
	}
	message.Control = true
	if err := send(); err != nil {
		t.Errorf("a control message failed: %v", err)
	}
}

// TestServersThatRefuseConnectionsAreGone: a server that refused a connection counts as serving no model
// until GoneTime is over or a connection succeeds.
func TestServersThatRefuseConnectionsAreGone(t *testing.T) {
	refuse := true
	m := newMember(func(context.Context, string) (net.Conn, error) {
		if refuse {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		here, there := net.Pipe()
		go serve(there, good)
		return here, nil
	})
	m.Models = []Holding{{Model: "m"}}
	need := Need{Model: "m"}
	if !m.Serves(time.Now(), need) {
		t.Fatal("the server does not serve the model that it holds")
	}
	if !m.Ended(t.Context()) {
		t.Fatal("a server that refuses connections is not reported as ended")
	}
	if now := time.Now(); m.Serves(now, need) || !m.Serves(now, Need{}) || !m.Serves(now.Add(GoneTime+time.Second), need) {
		t.Error("a server that refused a connection still serves its model, serves nothing at all, or is still gone after GoneTime")
	}
	refuse = false
	exchangeWith(t, m)
	if !m.Serves(time.Now(), need) {
		t.Error("a server that accepts connections again is still gone")
	}
}

// TestProbesOfAServerAreShared checks whether a server ended for all its requests at once, as happens when
// the server crashes. The probes must share one connection attempt.
func TestProbesOfAServerAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		m := newMember(func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(probeTimeout / 2)
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		})
		const requests = 30
		ended := make(chan bool, requests)
		for range requests {
			go func() { ended <- m.Ended(t.Context()) }()
		}
		for range requests {
			if !<-ended {
				t.Error("a server that refuses connections is not reported as ended")
			}
		}
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connection attempts, want 1", n)
		}
	})
}

// TestAnEndThatAnotherRequestMetFirstIsReported guards against a request that is not blamed for a crash as another one
// met the refused connection before it.
func TestAnEndThatAnotherRequestMetFirstIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &Directory{Dialer: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }}
		d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server", Version: 1}}, 1)
		m := d.Snapshot().Member("i-1")
		began := time.Now()
		time.Sleep(time.Second)
		m.Ended(t.Context()) // as done for another request
		time.Sleep(time.Second)
		var ended, later bool
		m.OnEnd(began, time.Minute, func() { ended = true })
		m.OnEnd(time.Now(), time.Minute, func() { later = true })
		synctest.Wait()
		if !ended {
			t.Error("the end while the request ran was not reported")
		}
		if later {
			t.Error("the end before the request began was reported")
		}
	})
}

func TestServerThatChangesItsSoftwareKeepsItsConnections(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	go serve(far, good)
	d := &Directory{Dialer: func(context.Context, string) (net.Conn, error) { return near, nil }}
	server := Server{ID: "i-1", Service: "s", Address: "server", Software: "v1"}
	d.Replace([]*Server{&server}, 1)
	before := d.Snapshot().Member("i-1")
	exchangeWith(t, before)
	changed := server
	changed.Software = "v2"
	d.Replace([]*Server{&changed}, 2)
	if after := d.Snapshot().Member("i-1"); after.Condition == before.Condition || !before.Leaving() {
		t.Error("an entry of another software version stands for the same incarnation")
	}
}
