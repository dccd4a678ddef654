package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a server that is blamed since the caller left while its hedge had begun to answer.
func TestHedgeIsBlamedWhenTheCallerLeaves(t *testing.T) {
	t.Parallel()
	silent := func(text string) answerer {
		return func(w http.ResponseWriter, r *http.Request, s seen) {
			w.Header().Set(testHeaders.Seal, "seal-"+s.server)
			w.Header().Set(testHeaders.RequestID, s.id)
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}
	for i := range 16 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, streamRoute(true), silent(eventsText(1, 2)), silent("id: 3\n"))
			q := &localQuarantine{}
			s.relay.Quarantine = q
			s.preferFirst()
			ctx, cancel := context.WithTimeout(t.Context(), soundSilence+400*time.Millisecond)
			defer cancel()
			r := s.request(ctx, http.MethodPost, "/p/x", "id", "x")
			r.Header.Set(testHeaders.Deadline, "5000")
			s.do(r)
			time.Sleep(200 * time.Millisecond)
			if n := len(s.arrivals()); n != 2 || s.arrivals()[0].server != "server-0" {
				t.Fatalf("%d arrivals", n)
			}
			if n := q.suspicionCount(); n > 0 {
				t.Errorf("%d suspicions though no server broke anything off", n)
			}
			if s.relay.Servers.Snapshot().Member("server-1").Avoid(time.Now()) {
				t.Error("the server of the hedge is avoided")
			}
		})
	}
}
