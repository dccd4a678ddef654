package relay

import (
	"fmt"
	"net/http"
	"testing"

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
