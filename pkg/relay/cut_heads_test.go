package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// headStep is the number of bytes between two cuts of a head, whose lines have other lengths.
const headStep = 5

// lateAfterHedge is when a first run answers whose hedge has begun.
const lateAfterHedge = 2*bufferedPatience + 2*hedgeRetryInterval

// cutHeads returns the beginnings of answers whose connection ends within the head.
func cutHeads() map[string]string {
	heads := make(map[string]string)
	for form, end := range map[string]string{"length": "Content-Length: 14\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n", "neither": "Connection: close\r\n\r\n"} {
		head := "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Seal: s\r\n" + end
		for cut := 0; cut < len(head); cut += headStep {
			heads[fmt.Sprintf("%s, %d", form, cut)] = head[:cut]
		}
	}
	return heads
}

// Guards against a hedge whose head is cut, and which counts as the answer or ends the first run's.
func TestMIXEDHeadOfAHedgeIsCut(t *testing.T) {
	t.Parallel()
	safe := route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond, Timeout: 5 * time.Second}
	for name, head := range cutHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, streamRoute(true), silentStream(2, 6, silentBeyondLimit), raw(head))
			s.preferFirst()
			if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, 6) {
				t.Errorf("stream: the caller got %q, %v", got.body, got.err)
			}
			s = newSite(t, safe, lateAnswer(lateAfterHedge), raw(head))
			s.preferFirst()
			if got := s.patientPost("id"); got.err != nil || got.status != http.StatusOK || got.body != "late" {
				t.Errorf("the caller got %d, %q, %v", got.status, got.body, got.err)
			}
			if n := len(s.arrivals()); n != 2 {
				t.Errorf("%d requests at servers: no hedge is shown", n)
			}
		})
	}
}

// Guards against answers that callers take for whole when the heads of a first run and of its hedge, or of all tries, are cut.
func TestMIXEDHeadsOfAllRunsAreCut(t *testing.T) {
	t.Parallel()
	safe := route.Route{Kind: route.Safe, MaxAttempts: 2, Target: 100 * time.Millisecond, Timeout: 5 * time.Second}
	for name, head := range cutHeads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			late := func(w http.ResponseWriter, r *http.Request, s seen) {
				time.Sleep(lateAfterHedge)
				raw(head)(w, r, s)
			}
			for _, first := range []answerer{late, raw(head)} {
				s := newSite(t, safe, first, raw(head))
				s.preferFirst()
				if got := s.patientPost("id"); got.err == nil && got.status == http.StatusOK {
					t.Errorf("MIXED: the caller got %q as whole", got.body)
				}
			}
		})
	}
}

// Guards against a stream that goes on from its copy into an answer whose head is cut, and that loses events or ends as whole.
func TestORDERStreamIsMovedIntoACutHead(t *testing.T) {
	t.Parallel()
	for name, head := range cutHeads() {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable %t", name, resumable), func(t *testing.T) {
				t.Parallel()
				f := newMoveCluster(t, resumable, 3, onlyOnce(map[string]fault{"go on": answerLost}))
				f.cutHead = head
				got := f.runWithLeavingServer()
				if err := f.check(got, resumable); err != nil {
					t.Error(err)
				}
				if (got.err == nil) != resumable {
					t.Errorf("the caller got %d bytes, %v; want the whole stream: %t", len(got.body), got.err, resumable)
				}
			})
		}
	}
}
