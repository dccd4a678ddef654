package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// testHeaders are the names that the tests' callers and servers speak.
var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Expect: "X-Expect", NotRun: "X-Not-Run",
	Model: "X-Model", LastEvent: "Last-Event-Id", Priority: "X-Priority",
}

// seen is a request as a server got it.
type seen struct {
	server, id, expect, deadline, lastEvent, target, body string
	left                                                  chan struct{} // closed when the connection did
}

// site is a relay before servers of the test.
type site struct {
	t       *testing.T
	relay   *Relay
	front   *httptest.Server
	servers []*backend.Server
	running []*httptest.Server // of servers

	mu   sync.Mutex
	seen []seen
}

// answerer writes the answer of a server to a request.
type answerer func(w http.ResponseWriter, r *http.Request, s seen)

// sealed answers whole.
func sealed(status int, body string) answerer {
	return func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// turnedAway refuses a request before it runs.
func turnedAway(status int) answerer {
	return func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.NotRun, "1")
		w.WriteHeader(status)
	}
}

// raw writes text on the bare connection and closes it. "{id}" stands for the
// request's id.
func raw(text string) answerer {
	return func(w http.ResponseWriter, _ *http.Request, s seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "{id}", s.id))
		_ = conn.Close()
	}
}

// newSite starts a relay whose one route leads to servers that answer in turn.
func newSite(t *testing.T, r route.Route, answers ...answerer) *site {
	t.Helper()
	s := &site{t: t}
	directory := &backend.Directory{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}}
	for i, answer := range answers {
		s.add(fmt.Sprintf("server-%d", i), answer)
	}
	directory.Replace(s.servers, 1)
	r.Name, r.Host, r.Prefix = "r", "site.example", "/p/"
	r.Parts = []route.Part{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 2 * time.Second
	}
	if r.Target == 0 {
		r.Target = 500 * time.Millisecond
	}
	service := &route.Service{Name: "s"}
	if r.Sticky {
		service.Engine = &route.Engine{Models: map[string]*route.Model{"m": {Name: "m"}}}
	}
	table := route.NewTable(1, route.Limits{BodyBytes: 1 << 20}, []*route.Route{&r}, []*route.Service{service})
	s.relay = &Relay{
		Headers: testHeaders, Routes: func() *route.Table { return table }, Servers: directory,
		Logger: hclog.NewNullLogger(), Waker: noWaker{},
		Budget: BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
	}
	s.relay.Began = time.Now().Add(-s.relay.Budget.FillTime()) // as of a node that runs for long
	s.front = httptest.NewServer(s.relay)
	t.Cleanup(s.front.Close)
	return s
}

// noWaker knows nothing of any model.
type noWaker struct{}

func (noWaker) Wake(context.Context, Wish) (Outlook, error) { return Outlook{}, nil }

// add starts a server.
func (s *site) add(id string, answer answerer) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got := seen{
			server: id, id: r.Header.Get(testHeaders.RequestID), expect: r.Header.Get(testHeaders.Expect),
			deadline: r.Header.Get(testHeaders.Deadline), lastEvent: r.Header.Get(testHeaders.LastEvent),
			target: r.RequestURI, body: string(body), left: make(chan struct{}),
		}
		context.AfterFunc(r.Context(), func() { close(got.left) })
		s.mu.Lock()
		s.seen = append(s.seen, got)
		s.mu.Unlock()
		answer(w, r, got)
	}))
	s.t.Cleanup(server.Close)
	s.running = append(s.running, server)
	s.servers = append(s.servers, &backend.Server{
		ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Version: 1,
	})
}

// end stops a server's listening, as its crash does. Its port stays taken, so that connections to it are
// refused: a server of another test that got it answered 404 in place of the one that had ended.
func (s *site) end(i int) {
	address := s.running[i].Listener.Addr().(*net.TCPAddr)
	_ = s.running[i].Listener.Close()
	holdPort(s.t, address)
}

// holdPort binds a socket that does not listen to an address, until the test ends.
func holdPort(t testing.TB, address *net.TCPAddr) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	reuse := func(on int) { // connections of the ended server may linger on the port; nobody else is to reuse it
		if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, on); err != nil {
			t.Fatal(err)
		}
	}
	reuse(1)
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		t.Fatal(err)
	}
	reuse(0)
}

// arrivals returns what the servers got.
func (s *site) arrivals() []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seen(nil), s.seen...)
}

// request makes a caller's request.
func (s *site) request(ctx context.Context, method, path, id, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, s.front.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "site.example"
	r.Header.Set(testHeaders.RequestID, id)
	r.Header.Set(testHeaders.Deadline, "2000")
	return r
}

// answer is what a caller got; err tells that it was cut off.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *site) do(r *http.Request) answer {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(bufio.NewReader(response.Body))
	return answer{response.StatusCode, response.Header, string(body), err}
}

// get sends a GET.
func (s *site) get(id string) answer {
	s.t.Helper()
	return s.do(s.request(s.t.Context(), http.MethodGet, "/p/x?q=1", id, ""))
}

// post sends a POST.
func (s *site) post(id, body string) answer {
	s.t.Helper()
	return s.do(s.request(s.t.Context(), http.MethodPost, "/p/x", id, body))
}
