package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// pendingSuspicion is a quarantine that takes until an event reached the caller to inform other nodes.
type pendingSuspicion struct {
	*localQuarantine
	began, received chan struct{}
	late            atomic.Bool
}

func (q *pendingSuspicion) CrashSuspected(ctx context.Context, runs ...quarantine.Run) {
	close(q.began)
	select {
	case <-q.received:
	case <-time.After(time.Second):
		q.late.Store(true)
	}
	q.localQuarantine.CrashSuspected(ctx, runs...)
}

// Guards against events that wait while the failure of a hedge is looked into.
func TestEventsWaitWhileTheFailureOfAHedgeIsInvestigated(t *testing.T) {
	t.Parallel()
	q := &pendingSuspicion{localQuarantine: &localQuarantine{}, began: make(chan struct{}), received: make(chan struct{})}
	first := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		_, _ = io.WriteString(w, eventsText(1, 2))
		_ = http.NewResponseController(w).Flush()
		<-q.began
		_, _ = io.WriteString(w, eventsText(3, 6))
	}
	s := newSite(t, streamRoute(true), first, raw("no answer"))
	s.relay.Quarantine = q
	s.preferFirst()
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, "5000")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: 3") {
			close(q.received)
		}
	}
	if err := lines.Err(); err != nil || q.late.Load() {
		t.Errorf("the events waited for the investigation: %v", err)
	}
}
