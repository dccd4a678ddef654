package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic"
)

// startCrashingEngine starts an engine that crashes when it begins to run a
// request with the given mark.
func startCrashingEngine(t *testing.T, mark string, crashed *atomic.Int32) string {
	t.Helper()
	listener := listen(t)
	e := &fakeEngine{tokens: 3}
	server := &http.Server{}
	e.intercept = func(w http.ResponseWriter, _ *http.Request, body []byte) bool {
		if got, _ := markOf(body); got != mark {
			return false
		}
		crashed.Add(1)
		_ = listener.Close()
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
		return true
	}
	server.Handler = e
	go func() { _ = server.Serve(listener) }() // returns when the listener closes
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestCrashingRequestIsQuarantined sends a crashing request four times to a node
// whose dispatcher allows five engines per request. It may crash three engines in
// total, and then must be refused. Other requests are still served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const fatal = "ends engines"
	var crashed atomic.Int32
	dispatcher := &fakeDispatcher{retries: 4}
	var addresses []string
	for range 30 {
		addresses = append(addresses, startCrashingEngine(t, fatal, &crashed))
	}
	// Only engines that have not crashed are targets.
	dispatcher.acquire = func(context.Context, traffic.Request) error {
		dispatcher.mutex.Lock()
		defer dispatcher.mutex.Unlock()
		dispatcher.targets = nil
		for _, address := range addresses[crashed.Load():] {
			dispatcher.targets = append(dispatcher.targets, traffic.Target{Server: api.ServerID(address), Address: address})
		}
		return nil
	}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	for try, want := range []int{http.StatusBadGateway, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
		got := chat(t, url, chatBody("glaze-7b", fatal, false), nil)
		if got.status != want {
			t.Errorf("attempt %d: status %d, body %s, want status %d", try, got.status, got.body, want)
		}
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "" {
			t.Errorf("attempt %d: the refusal has a Retry-After header", try)
		}
	}
	if n := crashed.Load(); n != 3 {
		t.Errorf("%d engines crashed, want 3", n)
	}
	if got := chat(t, url, chatBody("glaze-7b", "harmless", false), nil); got.status != http.StatusOK {
		t.Errorf("another request: status %d, body %s", got.status, got.body)
	}
}
