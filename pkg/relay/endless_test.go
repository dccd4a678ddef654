package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// endlessly sends a beginning and then a piece again and again, until the node closes the connection.
func endlessly(begin, again string) answerer {
	pieces := strings.Repeat(again, 100)
	return func(w http.ResponseWriter, _ *http.Request, _ seen) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer conn.Close()
		writeUntilClosed(conn, begin, pieces)
	}
}

func writeUntilClosed(conn net.Conn, begin, pieces string) {
	_, err := io.WriteString(conn, begin)
	for err == nil {
		_, err = io.WriteString(conn, pieces)
	}
}

// Guards against sound requests that are suspected as their servers send what is no answer.
func TestRequestsAreNotAccusedOfEndlessAnswers(t *testing.T) {
	sealedHead := "HTTP/1.1 200 OK\r\n" + testHeaders.Seal + ": seal\r\n"
	for name, answer := range map[string]answerer{
		"line of a head":  endlessly(sealedHead+"X: ", "a"),
		"no protocol":     endlessly("", "a\n"),
		"chunk extension": endlessly(sealedHead+"Transfer-Encoding: chunked\r\n\r\n5;", "a"),
		"trailer":         endlessly(sealedHead+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"),
		"body":            endlessly(sealedHead+"Content-Length: 1099511627776\r\n\r\n", "a"),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 3}, answer, answer, answer, answer)
			q := &localQuarantine{}
			s.relay.Quarantine = q
			for range 3 {
				if got := s.post("id", "sound"); got.status != http.StatusBadGateway {
					t.Errorf("got %+v", got)
				}
			}
			fingerprint := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte("sound"))
			if standing := q.Standing(fingerprint); standing != quarantine.Free || q.suspicionCount() > 0 || q.crashCount() > 0 {
				t.Errorf("standing %v, %d suspicions, %d crashes", standing, q.suspicionCount(), q.crashCount())
			}
		})
	}
}

// Guards against a request that ends servers and isn't blamed, as they sent what is no answer before.
func TestBUDGETOfServersThatEndAfterEndlessAnswers(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 1}, endlessly("", "a\n"))
	q := &localQuarantine{}
	s.relay.Quarantine = q
	if got := s.post("id", "x"); got.status != http.StatusBadGateway || q.crashCount() > 0 {
		t.Errorf("got %+v, %d crashes", got, q.crashCount())
	}
	s.relay.Servers.Replace(nil, 2) // its record goes
	for end := time.Now().Add(3 * time.Second); q.crashCount() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request is not blamed")
		}
	}
}

// Guards against sound requests that are suspected as the server of their hedge sends what is no answer.
func TestRequestsAreNotAccusedOfEndlessAnswersToHedges(t *testing.T) {
	s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit), endlessly("", "a\n"))
	q := &localQuarantine{}
	s.relay.Quarantine = q
	s.preferFirst()
	if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	if n := len(s.arrivals()); n != 2 || q.suspicionCount() > 0 {
		t.Errorf("%d suspicions after %d runs", q.suspicionCount(), n)
	}
}
