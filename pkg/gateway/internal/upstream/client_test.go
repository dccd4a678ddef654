package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

var errBroken = errors.New("broken")

// brokenConn fails each write, after accepting some bytes.
type brokenConn struct {
	net.Conn
	acceptBytes int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n := min(c.acceptBytes, len(p))
	c.acceptBytes -= n
	return n, errBroken
}

func (c *brokenConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *brokenConn) Close() error                     { return nil }
func (c *brokenConn) SetReadDeadline(time.Time) error  { return nil }
func (c *brokenConn) SetWriteDeadline(time.Time) error { return nil }

func testConfig() Config {
	return Config{
		ConnectTimeout:    5 * time.Second,
		WriteTimeout:      5 * time.Second,
		StallTimeout:      5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxConnsPerEngine: 4,
	}
}

func newRequest(body string) *fasthttp.Request {
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetRequestURI("/")
	request.Header.SetHost("engine")
	request.SetBodyString(body)
	return request
}

// TestStageOfFailure checks that only a request of which no byte was sent fails at
// StageConnect.
func TestStageOfFailure(t *testing.T) {
	cases := []struct {
		name string
		dial func(string) (net.Conn, error)
		want Stage
	}{
		{"no connection", func(string) (net.Conn, error) { return nil, errBroken }, StageConnect},
		{"connected, nothing written", func(string) (net.Conn, error) { return &brokenConn{}, nil }, StageConnect},
		{"one byte written", func(string) (net.Conn, error) { return &brokenConn{acceptBytes: 1}, nil }, StageSent},
		{"half of the request written", func(string) (net.Conn, error) { return &brokenConn{acceptBytes: 5000}, nil }, StageSent},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config := testConfig()
			config.Dial = test.dial
			request := newRequest(strings.Repeat("x", 10_000))
			_, err := NewClient(config).Send(t.Context(), "engine:1", request, time.Now().Add(time.Minute))
			if err == nil || StageOf(err) != test.want {
				t.Errorf("error %v at stage %d, want %d", err, StageOf(err), test.want)
			}
		})
	}
}

func TestEndedContextSendsNothing(t *testing.T) {
	config := testConfig()
	config.Dial = func(string) (net.Conn, error) {
		t.Error("a connection was opened")
		return nil, errBroken
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewClient(config).Send(ctx, "engine:1", newRequest(""), time.Now().Add(time.Minute))
	if StageOf(err) != StageConnect {
		t.Errorf("error %v at stage %d", err, StageOf(err))
	}
}

// serve starts a server that runs script on each connection. The channel receives
// an item per connection.
func serve(t *testing.T, script func(net.Conn, *bufio.Reader)) (address string, connections chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	connections = make(chan struct{}, 100)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			group.Go(func() {
				defer func() { _ = connection.Close() }()
				script(connection, bufio.NewReader(connection))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String(), connections
}

// readRequest reads one request and reports whether that succeeded.
func readRequest(reader *bufio.Reader) bool {
	var request fasthttp.Request
	return request.Read(reader) == nil
}

// TestConnectionReuse checks that a connection is reused only after exactly one
// complete answer was read from it.
func TestConnectionReuse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name        string
		answer      string
		read        bool
		connections int
	}{
		{"whole answer", whole, true, 1},
		{"whole answer, not read", whole, false, 2},
		{"unexpected bytes after the answer", whole + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate", true, 2},
		{"closing answer", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", true, 2},
		{"answer without length", "HTTP/1.1 200 OK\r\n\r\nok", true, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			address, connections := serve(t, func(connection net.Conn, reader *bufio.Reader) {
				for readRequest(reader) {
					if _, err := io.WriteString(connection, test.answer); err != nil || !strings.Contains(test.answer, "Length") {
						return
					}
				}
			})
			client := NewClient(testConfig())
			t.Cleanup(client.Close)
			for range 2 {
				answer, err := client.Send(t.Context(), address, newRequest("hello"), time.Now().Add(time.Minute))
				if err != nil {
					t.Fatal(err)
				}
				if test.read {
					if body, err := answer.ReadAll(100); err != nil || string(body) != "ok" {
						t.Errorf("body %q, error %v", body, err)
					}
				}
				answer.Close(true)
			}
			if len(connections) != test.connections {
				t.Errorf("%d connections, want %d", len(connections), test.connections)
			}
		})
	}
}

func TestTruncatedBodies(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok",
	} {
		address, _ := serve(t, func(connection net.Conn, reader *bufio.Reader) {
			if readRequest(reader) {
				_, _ = io.WriteString(connection, answer)
			}
		})
		client := NewClient(testConfig())
		t.Cleanup(client.Close)
		got, err := client.Send(t.Context(), address, newRequest(""), time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		if body, err := got.ReadAll(100); err == nil {
			t.Errorf("%q: truncated body %q accepted as complete", answer, body)
		}
		got.Close(true)
	}
}

// TestCancelClosesConnection checks that the connection to an engine that has not
// answered is closed immediately when the context is cancelled.
func TestCancelClosesConnection(t *testing.T) {
	left := make(chan struct{})
	received := make(chan struct{})
	address, _ := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		close(received)
		_, _ = reader.ReadByte() // returns when the connection closes
		close(left)
	})
	client := NewClient(testConfig())
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		<-received
		cancel()
	})
	_, err := client.Send(ctx, address, newRequest(""), time.Now().Add(time.Minute))
	group.Wait()
	if !errors.Is(err, context.Canceled) || StageOf(err) != StageSent {
		t.Errorf("error %v at stage %d", err, StageOf(err))
	}
	<-left
}

// TestClosedIdleConnection checks that a connection which the engine closed while
// it was idle is not used for a request, whose outcome would then be unknown.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 10)
	address, connections := serve(t, func(connection net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		_ = connection.Close()
		closed <- struct{}{}
	})
	client := NewClient(testConfig())
	t.Cleanup(client.Close)
	for range 3 {
		answer, err := client.Send(t.Context(), address, newRequest(""), time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := answer.ReadAll(100); err != nil {
			t.Fatal(err)
		}
		<-closed
		answer.Close(true)
	}
	if len(connections) != 3 {
		t.Errorf("%d connections, want 3", len(connections))
	}
}
