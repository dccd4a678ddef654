package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/traffic"
)

// TestDrainEndsStreamsWhole checks that Drain waits until running streams are
// complete and refuses new connections.
func TestDrainEndsStreamsWhole(t *testing.T) {
	engine := startEngine(t, 10)
	paused, resume := make(chan struct{}, 1), make(chan struct{})
	engine.pauseAt(5, func(*http.Request) {
		paused <- struct{}{}
		<-resume
	})
	g, url := startGateway(t, Config{Dispatcher: engine.dispatcher()})
	client := newClient(t)
	var group conc.WaitGroup
	var got reply
	group.Go(func() {
		got = post(t, client, url+"/v1/chat/completions", chatBody("glaze-7b", "ash", true), nil)
	})
	<-paused
	group.Go(func() {
		if err := g.Drain(context.Background()); err != nil {
			t.Errorf("Drain: %v", err)
		}
	})
	for {
		connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil {
			break // the listener is closed
		}
		_ = connection.Close()
	}
	close(resume)
	group.Wait()
	checkStream(t, got.body, "ash", 10)
}

// TestDrainBound checks that streams still running when Drain times out end with
// an explicit error.
func TestDrainBound(t *testing.T) {
	engine := startEngine(t, 10)
	engine.pauseAt(5, func(r *http.Request) { <-r.Context().Done() })
	g, url := startGateway(t, Config{Dispatcher: engine.dispatcher()})
	response, err := newClient(t).Post(url+"/v1/chat/completions", "application/json",
		strings.NewReader(chatBody("glaze-7b", "ash", true)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	received := make([]byte, 0, 1<<16)
	for !strings.Contains(string(received), "ash/4") {
		n, err := response.Body.Read(received[len(received):cap(received)])
		if err != nil {
			t.Fatal(err)
		}
		received = received[:len(received)+n]
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := g.Drain(ended); err == nil {
		t.Error("Drain returned no error after its timeout")
	}
	rest, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	result, err := readStream(append(received, rest...))
	if err != nil {
		t.Fatal(err)
	}
	if result.done || result.broken == nil || len(result.tokens) != 5 {
		t.Errorf("tokens %v, done %t, error %v", result.tokens, result.done, result.broken)
	}
}

// TestDrainRefusesQueuedRequests checks that requests still waiting for a replica
// when Drain times out are refused as not run.
func TestDrainRefusesQueuedRequests(t *testing.T) {
	queued := make(chan struct{})
	dispatcher := &fakeDispatcher{acquire: func(ctx context.Context, _ traffic.Request) error {
		close(queued)
		<-ctx.Done()
		return &traffic.Refusal{Reason: traffic.ReasonCallerLeft, Message: "left", NotRun: true}
	}}
	g, url := startGateway(t, Config{Dispatcher: dispatcher})
	client := newClient(t)
	var group conc.WaitGroup
	var got reply
	group.Go(func() {
		got = post(t, client, url+"/v1/chat/completions", chatBody("glaze-7b", "ash", false), nil)
	})
	<-queued
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = g.Drain(ended)
	group.Wait()
	apiError := apiErrorOf(t, got)
	if got.status != 503 || apiError.Code != "stopping" || !apiError.NotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, error %+v", got.status, apiError)
	}
}

// TestRequestWhileDraining checks that a request on an open connection is refused
// as not run during Drain.
func TestRequestWhileDraining(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	g, url := startGateway(t, Config{Dispatcher: dispatcher})
	g.draining.Store(true)
	connection := dialRaw(t, url)
	_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", false), ""))
	received, err := io.ReadAll(connection) // the gateway closes it
	if err != nil {
		t.Fatal(err)
	}
	header, body, _ := strings.Cut(string(received), "\r\n\r\n")
	apiError := apiErrorOf(t, reply{body: []byte(body)})
	if !strings.HasPrefix(header, "HTTP/1.1 503") || apiError.Code != "stopping" || !apiError.NotRun {
		t.Errorf("header %s, error %+v", header, apiError)
	}
	if len(dispatcher.requests) != 0 {
		t.Error("the request was dispatched")
	}
}

// TestDrainRefusesNewRequests checks that at the start of Drain, requests on
// open and on new connections get an error answer instead of a broken
// connection, until new connections are refused.
func TestDrainRefusesNewRequests(t *testing.T) {
	g, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}, Timeouts: Timeouts{RefuseNew: time.Hour}})
	kept := dialRaw(t, url)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { _ = g.Drain(ctx) }) // times out by cancel below
	for !g.draining.Load() {
		runtime.Gosched()
	}
	for connection := kept; connection != nil; {
		_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", false), ""))
		received, err := io.ReadAll(connection)
		if err != nil || !strings.Contains(string(received), `"code":"stopping"`) {
			t.Errorf("error %v, received %s", err, received)
		}
		connection, err = net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a new connection failed with %v, want ECONNREFUSED", err)
		}
		if err != nil {
			break
		}
	}
	cancel()
	group.Wait()
	g.config.Timeouts.RefuseNew = time.Millisecond // for Drain in the test's cleanup
}

// TestDrainStopsAListenerThatIsServedLater guards against a stopping node that accepts connections for as long as it runs.
func TestDrainStopsAListenerThatIsServedLater(t *testing.T) {
	g, err := New(Config{Node: "node-1", Region: "uy-south", Dispatcher: &fakeDispatcher{}, Catalog: func() Catalog { return testCatalog }, Timeouts: Timeouts{RefuseNew: time.Hour}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { _ = g.Drain(ctx) }) // ends by cancel
	for !g.draining.Load() {
		runtime.Gosched()
	}
	time.Sleep(10 * time.Millisecond) // Drain looks for listeners meanwhile
	listener := listen(t)
	group.Go(func() { _ = g.Serve(listener) })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		connection, err := net.Dial("tcp", listener.Addr().String())
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = connection.Close()
		}
	}
	t.Error("connections are still accepted")
}
