package relay

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// Guards against sound requests, and parts of their prompts, that are suspected as servers send bodies that are none.
func TestRequestsAreNotAccusedOfMalformedBodies(t *testing.T) {
	chunkedHead := "HTTP/1.1 200 OK\r\n" + testHeaders.Seal + ": seal\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string]answerer{
		"no chunks":       endlessly(chunkedHead, "x\n"),
		"size of a chunk": endlessly(chunkedHead, "5"),
		"chunk extension": endlessly(chunkedHead+"5;", "a"),
		"trailer":         endlessly(chunkedHead+"5\r\nwhole\r\n0\r\n", "X-Filler: a\r\n"),
	} {
		for _, kind := range []route.Kind{route.Safe, route.Stream} {
			t.Run(fmt.Sprintf("%s, %v", name, kind), func(t *testing.T) {
				s := newSite(t, route.Route{Kind: kind, Resumable: true, MaxAttempts: 3, Sticky: true}, answer, answer, answer, answer)
				q := &localQuarantine{}
				s.relay.Quarantine = q
				for i := range 3 {
					r := s.request(t.Context(), http.MethodPost, "/p/x", fmt.Sprint(i), fmt.Sprint("sound ", i))
					r.Header.Set(testHeaders.Parts, "a1:100,b2:100,c3:10")
					if got := s.do(r); got.status == http.StatusServiceUnavailable {
						t.Errorf("request %d got %+v", i, got)
					}
				}
				standing := q.Standing(quarantine.FingerprintOfPart("a1"))
				if standing != quarantine.Free || q.suspicionCount() > 0 || q.crashCount() > 0 {
					t.Errorf("the part is %v, %d suspicions, %d crashes", standing, q.suspicionCount(), q.crashCount())
				}
				if n := len(s.arrivals()); n < 3 {
					t.Errorf("%d requests at servers", n)
				}
			})
		}
	}
}

// Guards against a node that goes on asking a server that sends without end, and one that never asks it again.
func TestServersThatSendWithoutEndAreAvoidedForAWhile(t *testing.T) {
	sealedHead := "HTTP/1.1 200 OK\r\n" + testHeaders.Seal + ": seal\r\n"
	for name, endless := range map[string]answerer{
		"line of a head":  endlessly(sealedHead+"X: ", "a"),
		"no protocol":     endlessly("", "a\n"),
		"body":            endlessly(sealedHead+"Content-Length: 1099511627776\r\n\r\n", "a"),
		"chunk extension": endlessly(sealedHead+"Transfer-Encoding: chunked\r\n\r\n5;", "a"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var faulty, asked atomic.Int64
			faulty.Store(1)
			s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 3}, func(w http.ResponseWriter, r *http.Request, got seen) {
				asked.Add(1)
				if faulty.Load() == 1 {
					endless(w, r, got)
					return
				}
				sealed(http.StatusOK, "ok")(w, r, got)
			}, sealed(http.StatusOK, "ok"))
			began := time.Now()
			const requests = 50
			for i := range requests {
				if got := s.get(fmt.Sprint(i)); got.status != http.StatusOK || got.body != "ok" {
					t.Fatalf("request %d got %+v", i, got)
				}
			}
			allowed := int64(1)
			for left, pause := time.Since(began), 500*time.Millisecond; left > 0; pause = min(2*pause, 4*time.Second) {
				allowed++
				left -= pause
			}
			if n := asked.Load(); n == 0 || n > allowed {
				t.Errorf("the server got %d of %d requests, at most %d may be", n, requests, allowed)
			}
			faulty.Store(0)
			before := asked.Load()
			for deadline := time.Now().Add(20 * time.Second); asked.Load() == before; time.Sleep(20 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the server is never asked again")
				}
				s.get("later")
			}
		})
	}
}
