package relay

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against events that come twice from streams without IDs.
func TestHedgeOfAStreamWithoutIDsRepeatsEvents(t *testing.T) {
	t.Parallel()
	plain := func(text, rest string, silence time.Duration) answerer {
		return func(w http.ResponseWriter, r *http.Request, s seen) {
			w.Header().Set(testHeaders.Seal, "seal-"+s.server)
			w.Header().Set(testHeaders.RequestID, s.id)
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(silence):
				_, _ = io.WriteString(w, rest)
			}
		}
	}
	s := newSite(t, streamRoute(true), plain("data: 1\n\n", "data: 2\n\n", silentBeyondLimit), plain("data: 1\n\n", "data: 2\n\n", 0))
	s.preferFirst()
	if got := s.patientPost("id"); got.err != nil || got.body != "data: 1\n\ndata: 2\n\n" {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
}
