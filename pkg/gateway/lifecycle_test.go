package gateway

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/traffic"
)

// dialRaw opens a connection on which the test writes its own HTTP.
func dialRaw(t *testing.T, url string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// rawRequest is a completion request as it goes over the wire.
func rawRequest(body, header string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		header, len(body), body)
}

// untilDropped returns a pause that reports itself and lasts until the gateway
// closes the connection.
func untilDropped(paused chan<- struct{}) func(*http.Request) {
	return func(r *http.Request) {
		paused <- struct{}{}
		<-r.Context().Done()
	}
}

// TestHangUpWhileQueued: the request of a caller that left is taken out of
// the queue and never reaches an engine.
func TestHangUpWhileQueued(t *testing.T) {
	engine := startEngine(t, 3)
	queued, left := make(chan struct{}), make(chan error, 1)
	dispatcher := engine.dispatcher()
	dispatcher.acquire = func(ctx context.Context, _ traffic.Request) error {
		close(queued)
		<-ctx.Done()
		left <- context.Cause(ctx)
		return &traffic.Refusal{Reason: traffic.ReasonCallerLeft, Message: "left", NotRun: true}
	}
	claims := granted()
	_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: claims})
	connection := dialRaw(t, url)
	_, _ = io.WriteString(connection, rawRequest(chatBody("slots", "ash", false), "Idempotency-Key: key\r\n"))
	<-queued
	_ = connection.Close()
	if cause := <-left; cause != errCallerLeft {
		t.Errorf("the wait ended by %v", cause)
	}
	checkReleased(t, claims, true)
	if engine.requests() != 0 {
		t.Error("the request ran")
	}
}

// TestHangUpWhileAnswered: the engine's work for a caller that left is
// cancelled, before and after the first token, streamed or not.
func TestHangUpWhileAnswered(t *testing.T) {
	for _, test := range []struct {
		name    string
		stream  bool
		pauseAt int
	}{
		{"before the first token", true, 0},
		{"within the stream", true, 2},
		{"whole answer", false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := startEngine(t, 5)
			paused := make(chan struct{}, 1)
			hold := untilDropped(paused)
			engine.pauseAt(test.pauseAt, hold)
			if !test.stream {
				engine.intercept = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
					hold(r)
					return true
				}
			}
			_, url := startGateway(t, Config{Dispatcher: engine.dispatcher()})
			connection := dialRaw(t, url)
			_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", test.stream), ""))
			<-paused
			_ = connection.Close()
			engine.waitCancelled(t, 1)
		})
	}
}

// TestHangUpUnsafe: an unsafe request that was sent goes on without its
// caller, so that the repeat gets the answer.
func TestHangUpUnsafe(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			engine := startEngine(t, 5)
			paused, resume := make(chan struct{}, 1), make(chan struct{})
			hold := func(*http.Request) {
				paused <- struct{}{}
				<-resume
			}
			engine.pauseAt(2, hold)
			engine.intercept = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				if !stream {
					hold(r)
				}
				return false
			}
			claims := granted()
			g, url := startGateway(t, Config{Dispatcher: engine.dispatcher(), Claims: claims})
			connection := dialRaw(t, url)
			_, _ = io.WriteString(connection, rawRequest(chatBody("slots", "ash", stream), "Idempotency-Key: key\r\n"))
			<-paused
			_ = connection.Close()
			g.hangups.Look()
			close(resume)
			<-claims.told
			if len(claims.completed) != 1 || !strings.Contains(string(claims.completed[0].Body), "ash") {
				t.Fatalf("completed %+v", claims.completed)
			}
			if stream {
				checkStream(t, claims.completed[0].Body, "ash", 5)
			}
		})
	}
}

// TestDrainEndsStreamsWhole: a planned stop waits for the streams that run and
// takes no new connection.
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

// TestDrainBound: what outlasts the bound of a planned stop ends with an
// explicit error.
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
		t.Error("Drain reports no error")
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

// TestConnectionLimits: connections above the limits are refused in words, and
// closed ones make room.
func TestConnectionLimits(t *testing.T) {
	for _, limits := range []Limits{{Connections: 2}, {ConnectionsPerIP: 2}} {
		_, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}, Limits: limits})
		first, second := dialRaw(t, url), dialRaw(t, url)
		for _, connection := range []net.Conn{first, second} {
			if status := getModels(t, connection); status != http.StatusOK {
				t.Fatalf("%+v: status %d within the limit", limits, status)
			}
		}
		response, err := http.ReadResponse(bufio.NewReader(dialRaw(t, url)), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusTooManyRequests || !strings.Contains(string(body), `"not_run":true`) {
			t.Errorf("%+v: status %d, body %s", limits, response.StatusCode, body)
		}
		_ = first.Close()
		waitForRoom(t, url)
	}
}

// getModels asks for the models on a connection and returns the status.
func getModels(t *testing.T, connection net.Conn) int {
	t.Helper()
	_, _ = io.WriteString(connection, "GET /v1/models HTTP/1.1\r\nHost: gateway\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// waitForRoom tries until a connection is let in.
func waitForRoom(t *testing.T, url string) {
	t.Helper()
	for range 10_000 {
		connection := dialRaw(t, url)
		status := getModels(t, connection)
		_ = connection.Close()
		if status == http.StatusOK {
			return
		}
	}
	t.Error("a closed connection makes no room")
}

// TestSlowCallerIsLeft: a caller that takes no bytes does not hold its place
// for ever, and the engine is told.
func TestSlowCallerIsLeft(t *testing.T) {
	engine := startEngine(t, 200_000)
	_, url := startGateway(t, Config{
		Dispatcher: engine.dispatcher(),
		Timeouts:   Timeouts{Write: 100 * time.Millisecond},
	})
	connection := dialRaw(t, url)
	_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", true), ""))
	engine.waitCancelled(t, 1)
}

// testCertificate returns a certificate for 127.0.0.1 and a pool that trusts it.
func testCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(encoded)
	if err != nil {
		t.Fatal(err)
	}
	trusted := x509.NewCertPool()
	trusted.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{encoded}, PrivateKey: key}, trusted
}

// TestTLS: requests are served over TLS, and a hang-up shows through it.
func TestTLS(t *testing.T) {
	certificate, trusted := testCertificate(t)
	engine := startEngine(t, 5)
	paused := make(chan struct{}, 1)
	engine.pauseAt(2, untilDropped(paused))
	_, url := startGateway(t, Config{
		Dispatcher: engine.dispatcher(),
		TLS:        &tls.Config{Certificates: []tls.Certificate{certificate}},
	})
	address := strings.TrimPrefix(url, "http://")
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: trusted}}}
	defer client.CloseIdleConnections()
	got := post(t, client, "https://"+address+"/v1/chat/completions", chatBody("glaze-7b", "ash", false), nil)
	if got.status != http.StatusOK {
		t.Fatalf("status %d, body %s", got.status, got.body)
	}
	connection, err := tls.Dial("tcp", address, &tls.Config{RootCAs: trusted})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", true), ""))
	<-paused
	_ = connection.Close()
	engine.waitCancelled(t, 1)
}

// TestDrainRefusesWhatWaits: requests that still wait for a replica when the
// bound of a planned stop is over were not run, and are told so.
func TestDrainRefusesWhatWaits(t *testing.T) {
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

// TestRequestWhileDraining: a request that arrives on an open connection
// during a planned stop is refused as not run.
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
		t.Error("dispatched")
	}
}

// TestDrainTurnsNewCallersAway: at the beginning of a planned stop, callers on
// kept and on new connections get an answer, not a connection that breaks.
func TestDrainTurnsNewCallersAway(t *testing.T) {
	g, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}, Timeouts: Timeouts{TurnAway: time.Hour}})
	kept := dialRaw(t, url)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { _ = g.Drain(ctx) }) // it is broken off below
	for !g.draining.Load() {
		runtime.Gosched()
	}
	for name, connection := range map[string]net.Conn{"kept": kept, "new": dialRaw(t, url)} {
		_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", false), ""))
		received, err := io.ReadAll(connection)
		if err != nil || !strings.Contains(string(received), `"code":"stopping"`) {
			t.Errorf("%s connection: %v, %s", name, err, received)
		}
	}
	cancel()
	group.Wait()
	g.config.Timeouts.TurnAway = time.Millisecond // of the stop at the test's end
}

// TestSlowRequestIsCut: a caller that sends its request too slowly does not
// hold its connection for ever, before or within the header and body.
func TestSlowRequestIsCut(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	_, url := startGateway(t, Config{Dispatcher: dispatcher, Timeouts: Timeouts{Read: 100 * time.Millisecond, Idle: 100 * time.Millisecond}})
	request := rawRequest(chatBody("glaze-7b", "ash", false), "")
	for _, sent := range []int{0, 30, len(request) - 5} {
		connection := dialRaw(t, url)
		_, _ = io.WriteString(connection, request[:sent])
		received, err := io.ReadAll(connection)
		if err != nil || strings.Contains(string(received), "200 OK") {
			t.Errorf("after %d bytes: received %q, error %v", sent, received, err)
		}
	}
	if len(dispatcher.requests) != 0 {
		t.Error("dispatched")
	}
}
