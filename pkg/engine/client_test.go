package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/engine"
)

// rawServer answers each HTTP request with the bytes that a function writes to
// the connection.
type rawServer struct {
	address  string
	requests atomic.Int32
}

func newRawServer(t testing.TB, answer func(net.Conn)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &rawServer{address: listener.Addr().String()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(connection, answer)
		}
	}()
	return s
}

func (s *rawServer) serve(connection net.Conn, answer func(net.Conn)) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		answer(connection)
	}
}

func writeAnswer(status, body string) func(net.Conn) {
	return func(connection net.Conn) {
		fmt.Fprintf(connection, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
}

const accepted = `{"status":"accepted","fence":7,"instance":"i"}`

func testOrder() engine.Order {
	return engine.Order{ID: "o", Fence: 7, Kind: engine.OrderUnload, Model: "m"}
}

func TestClientTellsWhetherAnOrderWasSentAndNeverRepeatsIt(t *testing.T) {
	closeAtOnce := func(connection net.Conn) { connection.Close() }
	cases := []struct {
		name    string
		answer  func(net.Conn)
		timeout time.Duration
		want    error
	}{
		{"answered", writeAnswer("200 OK", accepted), 0, nil},
		{"closed after the request", closeAtOnce, 0, engine.ErrUnknownOutcome},
		{"header cut", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200"); c.Close() }, 0, engine.ErrUnknownOutcome},
		{"body cut", func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{"); c.Close() }, 0, engine.ErrUnknownOutcome},
		{"late", func(net.Conn) {}, 50 * time.Millisecond, engine.ErrUnknownOutcome},
		{"oversized", writeAnswer("200 OK", strings.Repeat(" ", 2000)+accepted), 0, engine.ErrUnknownOutcome},
		{"no JSON", writeAnswer("200 OK", "<html>"), 0, engine.ErrUnknownOutcome},
		{"server error", writeAnswer("503 Service Unavailable", "down"), 0, engine.ErrUnknownOutcome},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := newRawServer(t, test.answer)
			client := engine.NewHTTPClient(engine.HTTPClientConfig{MaxResponseBytes: 1000})
			ctx := t.Context()
			if test.timeout > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, test.timeout)
				defer cancel()
			}
			result, err := client.Order(ctx, server.address, testOrder())
			if !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if test.want == nil && (result.Status != engine.OrderAccepted || result.Fence != 7 || result.Instance != "i") {
				t.Errorf("result %+v", result)
			}
			if count := server.requests.Load(); count != 1 {
				t.Errorf("%d requests sent, want 1", count)
			}
		})
	}
}

func TestClientDoesNotRepeatReads(t *testing.T) {
	server := newRawServer(t, func(connection net.Conn) { connection.Close() })
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	if _, err := client.Load(t.Context(), server.address); !errors.Is(err, engine.ErrUnknownOutcome) {
		t.Errorf("error %v", err)
	}
	if count := server.requests.Load(); count != 1 {
		t.Errorf("%d requests sent, want 1", count)
	}
}

func TestClientSaysUnreachableOnlyIfNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close() // refuses connections from here on
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	if _, err := client.Order(t.Context(), address, testOrder()); !errors.Is(err, engine.ErrUnreachable) {
		t.Errorf("refused connection: error %v, want ErrUnreachable", err)
	}
	for _, wrong := range []string{"", "127.0.0.1", "127.0.0.1:1:2"} {
		if _, err := client.Order(t.Context(), wrong, testOrder()); !errors.Is(err, engine.ErrUnreachable) {
			t.Errorf("address %q: error %v, want ErrUnreachable", wrong, err)
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	server := newRawServer(t, writeAnswer("200 OK", accepted))
	if _, err := client.Order(ended, server.address, testOrder()); !errors.Is(err, engine.ErrUnreachable) {
		t.Errorf("ended context: error %v, want ErrUnreachable", err)
	}
	if server.requests.Load() != 0 {
		t.Error("a request was sent after the context ended")
	}
}

func TestClientOnAConnectionThatTheEngineClosed(t *testing.T) {
	closed := make(chan struct{})
	first := true
	server := newRawServer(t, func(connection net.Conn) {
		writeAnswer("200 OK", accepted)(connection)
		if first {
			first = false
			connection.Close()
			close(closed)
		}
	})
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	if _, err := client.Order(t.Context(), server.address, testOrder()); err != nil {
		t.Fatal(err)
	}
	<-closed
	_, err := client.Order(t.Context(), server.address, testOrder())
	if err != nil && !errors.Is(err, engine.ErrUnknownOutcome) {
		t.Errorf("error %v", err)
	}
	if count := server.requests.Load(); count > 2 || err != nil && count > 1 {
		t.Errorf("%d requests arrived, error %v: a request was repeated", count, err)
	}
}

func TestClientReturnsWhenItsContextEnds(t *testing.T) {
	arrived := make(chan struct{}, 1)
	server := newRawServer(t, func(net.Conn) { arrived <- struct{}{} })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	if _, err := client.Inventory(ctx, server.address, engine.InventoryRequest{}); !errors.Is(err, engine.ErrUnknownOutcome) {
		t.Errorf("error %v", err)
	}
}

func TestClientReturnsARefusalAsStatusError(t *testing.T) {
	server := newRawServer(t, writeAnswer("404 Not Found", "no such request"))
	client := engine.NewHTTPClient(engine.HTTPClientConfig{})
	err := client.Cancel(t.Context(), server.address, engine.CancelRequest{RequestID: "r"})
	var status *engine.StatusError
	if !errors.As(err, &status) || status.Code != http.StatusNotFound || errors.Is(err, engine.ErrUnknownOutcome) {
		t.Errorf("error %v", err)
	}
}

func TestPrefixHashes(t *testing.T) {
	text := strings.Repeat("abcd", 5)
	hashes := engine.PrefixHashes(text, 8)
	if len(hashes) != 2 {
		t.Fatalf("%d hashes of 20 bytes in blocks of 8, want 2", len(hashes))
	}
	if longer := engine.PrefixHashes(text+"abcd", 8); len(longer) != 3 || longer[0] != hashes[0] || longer[1] != hashes[1] {
		t.Errorf("hashes %v of the longer text do not begin with %v", longer, hashes)
	}
	if other := engine.PrefixHashes("x"+text[1:], 8); other[0] == hashes[0] || other[1] == hashes[1] {
		t.Error("texts that differ in the first block share a hash")
	}
	if none := engine.PrefixHashes(text, 0); none != nil {
		t.Errorf("hashes %v with a block size of 0, want none", none)
	}
}

func TestParseChat(t *testing.T) {
	cases := map[string]string{
		`[{"role":"user","content":"a"},{"role":"assistant","content":"b"}]`:                                   "user\na\nassistant\nb\n",
		`[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image"},{"type":"text","text":"b"}]}]`: "user\nab\n",
		`[{"role":"user","content":{"x":1}}]`:                                                                  "user\n\n",
		`[{"role":"user","content":"a\u0062\n"},{"content":null},null]`:                                        "user\nab\n\n\n\n\n\n",
		`[{"role":"user","content":[{"text":"a"}],"content":[{"text":"b"}]}]`:                                  "user\nb\n",
		`[]`: "",
	}
	for messages, want := range cases {
		if got, ok := engine.ParseChat([]byte(messages)); !ok || got != want {
			t.Errorf("%s: %q, %t, want %q", messages, got, ok, want)
		}
	}
	for _, broken := range []string{`{}`, `"x"`, `[1]`, `[`, ``} {
		if got, ok := engine.ParseChat([]byte(broken)); ok {
			t.Errorf("%s: parsed as %q, want a failure", broken, got)
		}
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`[{"role":"user","content":"a"}]`))
	f.Add([]byte(`[{"role":"user","content":[{"text":"a"},{}]}]`))
	f.Add([]byte(`[null,{"content":null}]`))
	f.Fuzz(func(t *testing.T, messages []byte) {
		prompt, ok := engine.ParseChat(messages)
		if prompt != "" && !ok || ok && !json.Valid(messages) {
			t.Errorf("%q: %q, %t", messages, prompt, ok)
		}
	})
}

func BenchmarkPrefixHashes(b *testing.B) {
	text := strings.Repeat("glaze ", 4000/6)
	b.ReportAllocs()
	for b.Loop() {
		engine.PrefixHashes(text, engine.PrefixBlockBytes)
	}
}
