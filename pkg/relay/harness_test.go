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

// testHeaders are the header names in these tests.
var testHeaders = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Seal: "X-Seal", Expect: "X-Expect", NotRun: "X-Not-Run",
	Model: "X-Model", Parts: "X-Parts", LastEvent: "Last-Event-Id", Resumes: "X-Resumes", Priority: "X-Priority",
}

// seen is a request as a server received it.
type seen struct {
	server, id, expect, deadline, lastEvent, target, body string
	disconnected                                          chan struct{} // closed when the connection closes
}

// site is a relay in front of test servers.
type site struct {
	t       *testing.T
	relay   *Relay
	front   *httptest.Server
	servers []*backend.Server
	running []*httptest.Server // HTTP servers, indexed like servers

	mu   sync.Mutex
	seen []seen
}

// answerer writes the answer of a server to a request.
type answerer func(w http.ResponseWriter, r *http.Request, s seen)

// sealed writes a complete answer with a seal.
func sealed(status int, body string) answerer {
	return func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// rejectWith rejects a request without running it.
func rejectWith(status int) answerer {
	return func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.NotRun, "1")
		w.WriteHeader(status)
	}
}

// raw writes text to the bare connection and closes it. "{id}" stands for the request's ID.
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

// newSite starts a relay with one route to servers, each of which uses one of the answerers.
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
	table := newTable(r, 1<<20)
	s.relay = &Relay{
		Headers: testHeaders, Routes: func() *route.Table { return table }, Servers: directory,
		Logger: hclog.NewNullLogger(), Loader: noLoader{},
		Budget: BudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 50},
	}
	s.relay.BudgetStart = time.Now().Add(-s.relay.Budget.FillTime()) // as if the node had been running for long
	s.front = httptest.NewUnstartedServer(s.relay)
	s.front.Config.ConnContext, s.front.Config.DisableGeneralOptionsHandler = ConnContext, true
	s.front.Start()
	t.Cleanup(s.front.Close)
	return s
}

// newTable returns a table of one route to the service "s" that accepts bodies of at most bodyBytes.
func newTable(r route.Route, bodyBytes int64) *route.Table {
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
	return route.NewTable(1, route.Limits{BodyBytes: bodyBytes}, []*route.Route{&r}, []*route.Service{service})
}

// noLoader knows no model.
type noLoader struct{}

func (noLoader) RequestLoad(context.Context, LoadRequest) (LoadStatus, error) {
	return LoadStatus{}, nil
}

// add starts a server.
func (s *site) add(id string, answer answerer) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got := seen{
			server: id, id: r.Header.Get(testHeaders.RequestID), expect: r.Header.Get(testHeaders.Expect),
			deadline: r.Header.Get(testHeaders.Deadline), lastEvent: r.Header.Get(testHeaders.LastEvent),
			target: r.RequestURI, body: string(body), disconnected: make(chan struct{}),
		}
		context.AfterFunc(r.Context(), func() { close(got.disconnected) })
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

// crash stops a server from listening. Its port stays reserved so that connections are refused: a
// server of another test that reused the port answered 404 in place of the crashed one.
func (s *site) crash(i int) {
	address := s.running[i].Listener.Addr().(*net.TCPAddr)
	_ = s.running[i].Listener.Close()
	holdPort(s.t, address)
}

// holdPort binds a socket to an address without listening, until the test ends.
func holdPort(t testing.TB, address *net.TCPAddr) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	reuse := func(on int) { // connections of the crashed server may linger on the port; nobody else may reuse it
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

// arrivals returns the requests that the servers received.
func (s *site) arrivals() []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seen(nil), s.seen...)
}

// request returns a caller's request.
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

// answer is what the caller received; err is set if it was cut off.
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

// get sends a GET request.
func (s *site) get(id string) answer {
	s.t.Helper()
	return s.do(s.request(s.t.Context(), http.MethodGet, "/p/x?q=1", id, ""))
}

// post sends a POST request.
func (s *site) post(id, body string) answer {
	s.t.Helper()
	return s.do(s.request(s.t.Context(), http.MethodPost, "/p/x", id, body))
}

// patientPost sends a POST request with a deadline well beyond any silence.
func (s *site) patientPost(id string) answer {
	s.t.Helper()
	r := s.request(s.t.Context(), http.MethodPost, "/p/x", id, "x")
	r.Header.Set(testHeaders.Deadline, "5000")
	return s.do(r)
}

// unframedStream writes an answer with neither length nor chunks, and ends its connection.
func unframedStream(contentType, body string, end func(net.Conn)) answerer {
	return func(w http.ResponseWriter, _ *http.Request, s seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: seal-%s\r\nContent-Type: %s\r\n\r\n%s",
			s.id, s.server, contentType, body)
		end(conn)
	}
}

// closeConnection closes a connection in the ordinary way.
func closeConnection(conn net.Conn) { _ = conn.Close() }
