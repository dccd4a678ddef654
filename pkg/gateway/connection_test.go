package gateway

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/security/securitytest"
)

// dialRaw opens a TCP connection on which the test writes raw HTTP.
func dialRaw(t *testing.T, url string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// rawRequest returns the raw HTTP of a chat completion request.
func rawRequest(body, header string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		header, len(body), body)
}

// TestConnectionLimits checks that connections above the limits get an error
// answer, and that closing a connection admits another.
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
		waitForAdmission(t, url)
	}
}

// getModels requests the list of models on a connection and returns the status.
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

// waitForAdmission connects repeatedly until a connection is admitted.
func waitForAdmission(t *testing.T, url string) {
	t.Helper()
	for range 10_000 {
		connection := dialRaw(t, url)
		status := getModels(t, connection)
		_ = connection.Close()
		if status == http.StatusOK {
			return
		}
	}
	t.Error("no connection is admitted after another was closed")
}

// TestSlowReaderIsDisconnected checks that a caller that reads nothing is
// disconnected after the write timeout, and that its request is cancelled at the
// engine.
func TestSlowReaderIsDisconnected(t *testing.T) {
	engine := startEngine(t, 200_000)
	_, url := startGateway(t, Config{
		Dispatcher: engine.dispatcher(),
		Timeouts:   Timeouts{Write: 100 * time.Millisecond},
	})
	connection := dialRaw(t, url)
	_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", true), ""))
	engine.waitCancelled(t, 1)
}

// TestTLS checks that requests are served and hang-ups are detected over TLS.
func TestTLS(t *testing.T) {
	authority := securitytest.NewAuthority(t, time.Now())
	certificate := authority.Issue(func(c *x509.Certificate) { c.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)} })
	trusted := authority.Pool()
	engine := startEngine(t, 5)
	paused := make(chan struct{}, 1)
	engine.pauseAt(2, waitForDisconnect(paused))
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

// TestSlowRequestIsCut checks that a caller that sends its request too slowly is
// disconnected, whether it stalls before the header, in it or in the body.
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
		t.Error("an incomplete request was dispatched")
	}
}
