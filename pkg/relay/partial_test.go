package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// newShortSite is newSite with a budget for answers that has room for a hundredth of a long one.
func newShortSite(t *testing.T, r route.Route, answers ...answerer) *site {
	t.Helper()
	s := newSite(t, r, answers...)
	s.relay.Answers = &memory.Budget{Limit: 16 << 10}
	t.Cleanup(func() {
		s.front.Close() // awaits all requests
		if used := s.relay.Answers.Usage().Used; used != 0 {
			t.Errorf("%d bytes are still held", used)
		}
	})
	return s
}

// longBody is a content that the budget has no room for.
var longBody = strings.Repeat("0123456789abcdef", 1<<16)

// brokenOff sends a part of longBody and closes the connection.
func brokenOff(head string) answerer {
	return func(w http.ResponseWriter, _ *http.Request, s seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: seal\r\n%s: %s\r\n%s\r\n", testHeaders.Seal, testHeaders.RequestID, s.id, head)
		_, _ = io.WriteString(conn, longBody[:len(longBody)/2])
	}
}

// Guards against answers that are refused, or change, because there is no memory to hold them.
func TestAnswersBeyondTheBudgetArriveWhole(t *testing.T) {
	withLength := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set("Content-Length", fmt.Sprint(len(longBody)))
		sealed(http.StatusCreated, longBody)(w, r, s)
	}
	for name, answer := range map[string]answerer{"length": withLength, "chunks": sealed(http.StatusCreated, longBody)} {
		for _, kind := range []route.Kind{route.Safe, route.Unsafe} {
			s := newShortSite(t, route.Route{Kind: kind, MaxAttempts: 3}, answer, answer)
			got := s.post("id", "x")
			if got.err != nil || got.status != http.StatusCreated || got.body != longBody || got.header.Get(testHeaders.Seal) == "" {
				t.Errorf("%s, %v: %d with %d bytes of %d, %v", name, kind, got.status, len(got.body), len(longBody), got.err)
			}
			if s.relay.Answers.Usage().Refused == 0 {
				t.Errorf("%s, %v: the answer was held", name, kind)
			}
			if length := got.header.Get("Content-Length"); name == "length" && length != fmt.Sprint(len(longBody)) {
				t.Errorf("%v: length %q", kind, length)
			}
		}
	}
}

// Guards against a part of an answer that looks whole, and against a second run after a part was sent.
func TestBrokenAnswersBeyondTheBudgetLookBroken(t *testing.T) {
	for _, head := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(longBody)), "Transfer-Encoding: chunked\r\n"} {
		answer := brokenOff(head)
		if strings.HasPrefix(head, "Transfer") {
			answer = brokenOff(head + "\r\n" + fmt.Sprintf("%x\r\n", len(longBody)) + "ignored: ")
		}
		s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 3}, answer, answer)
		if got := s.post("id", "x"); got.err == nil {
			t.Errorf("%q: %d with %d bytes looks whole", head, got.status, len(got.body))
		}
		if n := len(s.arrivals()); n != 1 {
			t.Errorf("%q: %d runs", head, n)
		}
	}
}

// Guards against a caller without chunks that takes a part for the whole.
func TestBrokenAnswersBeyondTheBudgetAreResetForOldCallers(t *testing.T) {
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, brokenOff("Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n", len(longBody))+"x: "))
	conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /p/x HTTP/1.0\r\nHost: site.example\r\n%s: id\r\nContent-Length: 1\r\n\r\nx", testHeaders.RequestID)
	if text, err := io.ReadAll(conn); err == nil {
		t.Errorf("%d bytes look whole", len(text))
	}
}

// Guards against a whole answer that looks broken to a caller without chunks.
func TestAnswersBeyondTheBudgetArriveWholeAtOldCallers(t *testing.T) {
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, sealed(http.StatusOK, longBody))
	conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /p/x HTTP/1.0\r\nHost: site.example\r\n%s: id\r\nContent-Length: 1\r\n\r\nx", testHeaders.RequestID)
	if text, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(text), longBody) {
		t.Errorf("%d bytes, %v", len(text), err)
	}
}

// Guards against a failure that is passed on although another server may serve the request.
func TestFailuresBeyondTheBudgetAreRetried(t *testing.T) {
	failure := sealed(http.StatusInternalServerError, longBody)
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, failure, sealed(http.StatusOK, "ok"))
	for i := range 4 {
		if got := s.post(fmt.Sprint(i), "x"); got.status != http.StatusOK || got.body != "ok" {
			t.Errorf("got %d with %d bytes, %v", got.status, len(got.body), got.err)
		}
	}
}

// Guards against ordinary answers that depend on what others hold.
func TestOrdinaryAnswersNeedNoBudget(t *testing.T) {
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, sealed(http.StatusOK, "ok"))
	all := s.relay.Answers.Hold()
	if !all.Resize(16<<10 + memory.FreeBytes) {
		t.Fatal("no room")
	}
	defer all.Release()
	if got := s.post("id", "x"); got.status != http.StatusOK || got.body != "ok" {
		t.Errorf("got %+v", got)
	}
}

// Guards against events that are kept, or passed on in part, when there is no memory for them.
func TestEventsBeyondTheBudgetEndTheirStream(t *testing.T) {
	stream := func(w http.ResponseWriter, _ *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: "+longBody[:64<<10]+"\n\n")
	}
	s := newShortSite(t, route.Route{Kind: route.Stream, MaxAttempts: 1}, stream)
	got := s.post("id", "x")
	if got.err == nil || got.body != "id: 1\ndata: a\n\n" {
		t.Errorf("%d with %d bytes, %v", got.status, len(got.body), got.err)
	}
}

// Guards against ordinary streams that break off as a burst of small events comes while others hold the budget.
func TestFAULTOfOrdinaryStreamsBesideAFullBudget(t *testing.T) {
	var events strings.Builder
	for i := 1; events.Len() < 16<<10; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: one more token\n\n", i)
	}
	stream := func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events.String())
	}
	s := newShortSite(t, route.Route{Kind: route.Stream, MaxAttempts: 1}, stream)
	all := s.relay.Answers.Hold()
	if !all.Resize(16<<10 + memory.FreeBytes) {
		t.Fatal("no room")
	}
	defer all.Release()
	if got := s.post("id", "x"); got.err != nil || got.body != events.String() {
		t.Errorf("%d with %d bytes of %d, %v", got.status, len(got.body), events.Len(), got.err)
	}
}

// Guards against sound servers that are avoided as their node has no memory for what they send.
func TestServersAreNotBlamedForAFullBudget(t *testing.T) {
	longEvent := func(w http.ResponseWriter, _ *http.Request, _ seen) {
		w.Header().Set(testHeaders.Seal, "seal")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: "+longBody[:64<<10]+"\n\n")
	}
	s := newShortSite(t, route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}, longEvent, longEvent)
	if got := s.post("id", "x"); got.status != http.StatusBadGateway || len(s.arrivals()) != 2 {
		t.Errorf("%d after %d runs", got.status, len(s.arrivals()))
	}
	for _, m := range s.servers {
		if s.relay.Servers.Snapshot().Member(m.ID).Avoid(time.Now()) {
			t.Errorf("%s is avoided", m.ID)
		}
	}
}

// Guards against an event without end that takes all that its budget has.
func TestFAULTOfEventsWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + testHeaders.Seal + ": seal\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, again := range []string{"data: x\n", "x"} {
		s := newSite(t, route.Route{Kind: route.Stream, MaxAttempts: 1, Timeout: 20 * time.Second}, endlessly(head, again))
		s.relay.Answers = &memory.Budget{Limit: 32 << 20}
		if got := s.post("id", "x"); got.status != http.StatusBadGateway {
			t.Errorf("%q: %d, %v", again, got.status, got.err)
		}
		if u := s.relay.Answers.Usage(); u.Most > 4*maxEventBytes || u.Used != 0 {
			t.Errorf("%q: %+v", again, u)
		}
	}
}

// Guards against an answer that is passed on as it arrives and holds its beginning, or goes on, without a limit.
func TestFAULTOfAnswersBeyondTheBudgetWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + testHeaders.Seal + ": seal\r\n\r\n"
	s := newShortSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1, Timeout: 20 * time.Second}, endlessly(head, "a"))
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, 2<<20)
	held := s.relay.Answers.Usage().Used
	n, err := io.Copy(io.Discard, response.Body)
	if n += 2 << 20; err == nil || n > maxAnswerBytes {
		t.Errorf("%d bytes, %v", n, err)
	}
	if held > 0 {
		t.Errorf("%d bytes are held beside those that were passed on", held)
	}
}
