package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

const (
	uploadBytes   = 4 << 20  // more than the buffers of a connection whose reader takes little
	smallWindow   = 64 << 10 // receive buffer of a server that reads nothing
	largeAnswer   = 300 << 10
	lateReadDelay = 100 * time.Millisecond // after which a server reads an upload that it has answered
)

// earlyAnswerer answers on a bare connection, of which the head of the request was read.
type earlyAnswerer func(conn *net.TCPConn, head *http.Request, body io.Reader)

// newEarlySite starts a relay before servers that answer on bare connections.
func newEarlySite(t *testing.T, r route.Route, answers ...earlyAnswerer) *site {
	t.Helper()
	s := newSite(t, r)
	table := newTable(r, uploadBytes)
	s.relay.Routes = func() *route.Table { return table }
	for i, answer := range answers {
		s.servers = append(s.servers, &backend.Server{ID: fmt.Sprintf("server-%d", i), Service: "s", Address: listenEarly(t, answer), Slots: 8, Version: 1})
	}
	s.relay.Servers.Replace(s.servers, 1)
	return s
}

// listenEarly starts a server and returns its address.
func listenEarly(t *testing.T, answer earlyAnswerer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEarly(conn.(*net.TCPConn), answer)
		}
	}()
	return listener.Addr().String()
}

// serveEarly reads the head of one request and answers.
func serveEarly(conn *net.TCPConn, answer earlyAnswerer) {
	defer conn.Close()
	_ = conn.SetReadBuffer(smallWindow)
	reader := bufio.NewReader(conn)
	head, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	answer(conn, head, io.LimitReader(reader, head.ContentLength))
}

// unframedHeads are heads of answers whose length is told by nothing but their end. "{id}" stands for the request's ID.
var unframedHeads = map[string]string{
	"HTTP/1.1":          "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: application/json\r\n\r\n",
	"Connection: close": "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: application/json\r\n\r\n",
	"a failure":         "HTTP/1.1 404 Not Found\r\nX-Id: {id}\r\nX-Seal: s\r\n\r\n",
	"events":            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n",
}

// writeAnswer sends a head and a body.
func writeAnswer(conn net.Conn, request *http.Request, head, body string) {
	_, _ = io.WriteString(conn, strings.ReplaceAll(head, "{id}", request.Header.Get(testHeaders.RequestID))+body)
}

// resetUnderUpload sends a part of an answer and resets the connection a while later.
func resetUnderUpload(head, part string, after time.Duration) earlyAnswerer {
	return func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
		writeAnswer(conn, request, head, part)
		time.Sleep(after)
		_ = conn.SetLinger(0)
	}
}

// uploadRoutes are routes of each kind.
var uploadRoutes = map[string]route.Route{
	"safe":      {Kind: route.Safe, MaxAttempts: 1},
	"unsafe":    {Kind: route.Unsafe, MaxAttempts: 1},
	"stream":    {Kind: route.Stream, MaxAttempts: 1},
	"resumable": {Kind: route.Stream, Resumable: true, MaxAttempts: 1},
}

// Guards against a part of an answer without length that counts as whole, since the write of the upload took the reset.
func TestMIXEDResetUnderAnUploadLooksComplete(t *testing.T) {
	for kind, r := range uploadRoutes {
		for form, head := range unframedHeads {
			t.Run(kind+", "+form, func(t *testing.T) {
				t.Parallel()
				part := "part of a body"
				if form == "events" {
					part = eventsText(1, 2)
				}
				for i, after := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond, 0, 3 * time.Millisecond, 30 * time.Millisecond} {
					s := newEarlySite(t, r, resetUnderUpload(head, part, after))
					if got := s.post("id", strings.Repeat("u", uploadBytes)); got.err == nil && got.body == part {
						t.Errorf("MIXED: play %d: the caller got %d %q as whole", i, got.status, got.body)
					}
				}
			})
		}
	}
}

// Guards against a part of an answer that is not taken up at another server, though its request may run again.
func TestMIXEDResetUnderAnUploadIsRetried(t *testing.T) {
	r := route.Route{Kind: route.Safe, MaxAttempts: 2}
	for form, head := range unframedHeads {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			s := newEarlySite(t, r, resetUnderUpload(head, "part", 0), readFirst(unframedHeads["HTTP/1.1"], "whole", (*net.TCPConn).Close))
			s.preferFirst()
			if got := s.post("id", strings.Repeat("u", uploadBytes)); got.err != nil || got.status != http.StatusOK || got.body != "whole" {
				t.Errorf("the caller got %d %q, %v", got.status, got.body, got.err)
			}
		})
	}
}

// Guards against a stream that ends where it was reset under its upload, though another server can go on with it.
func TestORDERStreamResetUnderItsUploadIsNotContinued(t *testing.T) {
	r := route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}
	for _, part := range []string{"", eventsText(1, 3), eventsText(1, 3) + "id: 4\ndata: pie"} {
		t.Run(fmt.Sprintf("%d bytes", len(part)), func(t *testing.T) {
			t.Parallel()
			s := newEarlySite(t, r, resetUnderUpload(unframedHeads["events"], part, 0), continueAfterUpload)
			s.preferFirst()
			if got := s.post("id", strings.Repeat("u", uploadBytes)); got.err != nil || got.body != eventsText(1, 8) {
				t.Errorf("the caller got %d %q, %v", got.status, got.body, got.err)
			}
		})
	}
}

// continueAfterUpload reads the upload and sends the events up to the eighth that the request lacks.
func continueAfterUpload(conn *net.TCPConn, request *http.Request, upload io.Reader) {
	last, _ := strconv.Atoi(request.Header.Get(testHeaders.LastEvent)) // zero if missing: from the first event
	readFirst(unframedHeads["events"], eventsText(last+1, 8), (*net.TCPConn).Close)(conn, request, upload)
}

// Guards against a part of a hedge's answer that counts as whole, or ends the first run's, after a reset under the hedge's upload.
func TestMIXEDHedgeIsResetUnderItsUpload(t *testing.T) {
	r := route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond, Timeout: 5 * time.Second}
	for form, head := range unframedHeads {
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			var hedged atomic.Bool
			late := func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
				time.Sleep(lateAfterHedge)
				readFirst(unframedHeads["HTTP/1.1"], "late", (*net.TCPConn).Close)(conn, request, upload)
			}
			s := newEarlySite(t, r, late, func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
				hedged.Store(true)
				resetUnderUpload(head, "part", 0)(conn, request, upload)
			})
			s.preferFirst()
			request := s.request(t.Context(), http.MethodPost, "/p/x", "id", strings.Repeat("u", uploadBytes))
			request.Header.Set(testHeaders.Deadline, "5000")
			if got := s.do(request); got.err != nil || got.status != http.StatusOK || got.body != "late" {
				t.Errorf("the caller got %d %q, %v", got.status, got.body, got.err)
			}
			if !hedged.Load() {
				t.Error("no hedge is shown")
			}
		})
	}
}

// readFirst reads the upload, answers and ends the connection.
func readFirst(head, body string, end func(*net.TCPConn) error) earlyAnswerer {
	return func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		writeAnswer(conn, request, head, body)
		_ = end(conn)
	}
}

// answerFirst answers, reads the upload a while later, and then ends the connection.
func answerFirst(head, body string) earlyAnswerer {
	return func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
		writeAnswer(conn, request, head, body)
		time.Sleep(lateReadDelay)
		_, _ = io.Copy(io.Discard, upload)
	}
}

// endFirst answers, ends its side of the connection in order, and reads the upload a while later.
func endFirst(head, body string) earlyAnswerer {
	return func(conn *net.TCPConn, request *http.Request, upload io.Reader) {
		writeAnswer(conn, request, head, body)
		_ = conn.CloseWrite()
		time.Sleep(lateReadDelay)
		_, _ = io.Copy(io.Discard, upload)
	}
}

// endUnread answers, ends its side of the connection in order, and resets it a while later without having read the upload.
func endUnread(head, body string) earlyAnswerer {
	return func(conn *net.TCPConn, request *http.Request, _ io.Reader) {
		writeAnswer(conn, request, head, body)
		_ = conn.CloseWrite()
		time.Sleep(lateReadDelay)
	}
}

// soundAnswers are the ways to send an answer without length that is whole, whenever its upload is read.
var soundAnswers = map[string]func(head, body string) earlyAnswerer{
	"the upload is read first":                         func(head, body string) earlyAnswerer { return readFirst(head, body, (*net.TCPConn).Close) },
	"the answer begins first":                          answerFirst,
	"the answer ends first":                            endFirst,
	"the answer ends first and the upload is not read": endUnread,
}

// Guards against answers without length that ended in order and count as broken because their upload was not written by then.
func TestSoundAnswerBeforeItsUploadIsReadIsLost(t *testing.T) {
	for kind, r := range uploadRoutes {
		for form, head := range unframedHeads {
			for way, answer := range soundAnswers {
				t.Run(kind+", "+form+", "+way, func(t *testing.T) {
					t.Parallel()
					for _, body := range []string{eventsText(1, 5), eventsText(1, largeAnswer/len(eventsText(1, 1)))} {
						s := newEarlySite(t, r, answer(head, body))
						if got := s.post("id", strings.Repeat("u", uploadBytes)); got.err != nil || got.body != body {
							t.Errorf("the caller got %d, %d bytes of %d, %v", got.status, len(got.body), len(body), got.err)
						}
					}
				})
			}
		}
	}
}
