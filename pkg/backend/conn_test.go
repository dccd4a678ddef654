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

// serve answers the requests of a connection in turn.
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

// slowWriter tells that bytes were written a while after they were.
type slowWriter struct{ net.Conn }

func (w slowWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	time.Sleep(writeRest / 4)
	return n, err
}

// toServer returns a member whose connections are dialled by dial.
func toServer(dial Dialer) *Member {
	d := &Directory{Dialer: dial}
	d.Replace([]*Server{{ID: "i-1", Service: "s", Address: "server"}}, 1)
	return d.Snapshot().Member("i-1")
}

// exchangeWith sends a request and reads the whole answer.
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

// waitIdle waits until a connection is unused.
func waitIdle(t *testing.T, m *Member) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); m.Idle() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the connection is not kept")
		}
	}
}

// TestConnectionIsKeptThoughTheAnswerWasFaster: an answer that is there before
// the request's writer has returned does not cost the connection.
func TestConnectionIsKeptThoughTheAnswerWasFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // a busy machine's writer took longer than any answer is waited with
		var dials atomic.Int32
		m := toServer(func(context.Context, string) (net.Conn, error) {
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
			t.Errorf("%d dials for three requests in turn", dials.Load())
		}
	})
}

// TestUnsolicitedBytesEndAConnection: bytes that come while no request is under
// way are no answer to the next one.
func TestUnsolicitedBytesEndAConnection(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
	var dials atomic.Int32
	m := toServer(func(context.Context, string) (net.Conn, error) {
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

// TestEnded: only a refused connection shows that a server has ended.
func TestEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	}
	m := toServer(dial)
	if m.Ended(t.Context()) || m.Idle() != 1 {
		t.Errorf("a server that listens has ended, %d connections are kept", m.Idle())
	}
	listener.Close()
	if !toServer(dial).Ended(t.Context()) {
		t.Error("a server that does not listen runs")
	}
	silent := toServer(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if silent.Ended(t.Context()) {
		t.Error("a server that is silent has ended")
	}
}

// TestConnectionLimit: beyond it only messages of control go out.
func TestConnectionLimit(t *testing.T) {
	m := toServer(func(context.Context, string) (net.Conn, error) {
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
	if err := send(); !errors.Is(err, ErrCrowded) {
		t.Errorf("the second connection: %v", err)
	}
	message.Control = true
	if err := send(); err != nil {
		t.Errorf("a message of control: %v", err)
	}
}

// TestServersThatRefuseConnectionsAreGone: a server that refused a connection serves
// no model until it is tried again, or until a connection comes up.
func TestServersThatRefuseConnectionsAreGone(t *testing.T) {
	refuse := true
	m := toServer(func(context.Context, string) (net.Conn, error) {
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
		t.Fatal("the server does not serve what it holds")
	}
	if !m.Ended(t.Context()) {
		t.Fatal("a refused connection is not told")
	}
	if now := time.Now(); m.Serves(now, need) || !m.Serves(now, Need{}) || !m.Serves(now.Add(GoneTime+time.Second), need) {
		t.Error("a server that refuses connections counts as serving, or for good as gone")
	}
	refuse = false
	exchangeWith(t, m)
	if !m.Serves(time.Now(), need) {
		t.Error("a server that is back counts as gone")
	}
}

// TestLooksAtAServerAreShared has all requests of a server look at once whether it ended, as
// they do when it breaks off under them.
func TestLooksAtAServerAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		m := toServer(func(context.Context, string) (net.Conn, error) {
			dials.Add(1)
			time.Sleep(endedTimeout / 2)
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		})
		const requests = 30
		ended := make(chan bool, requests)
		for range requests {
			go func() { ended <- m.Ended(t.Context()) }()
		}
		for range requests {
			if !<-ended {
				t.Error("a server that refuses connections runs")
			}
		}
		if n := dials.Load(); n != 1 {
			t.Errorf("%d connections were tried, want 1", n)
		}
	})
}
