package relay

import (
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// TestCancelAllAnswersRequests checks the answers to requests that a stopping node can't complete:
// one at a server may have run, one that waits for its model has not.
func TestCancelAllAnswersRequests(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	silent := func(http.ResponseWriter, *http.Request, seen) { <-held }
	for _, test := range []struct {
		name   string
		site   *site
		model  string
		sent   int
		status int
	}{
		{"at a server", newSite(t, route.Route{Kind: route.Unsafe, Timeout: time.Minute}, silent), "", 1, http.StatusBadGateway},
		{"waits for its model", newSite(t, route.Route{Kind: route.Stream, Sticky: true, Timeout: time.Minute, Target: time.Minute}), "m", 0, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			answers := make(chan answer, 1)
			r := test.site.request(t.Context(), http.MethodPost, "/p/x", "id", "")
			r.Header.Set(testHeaders.Model, test.model)
			r.Header.Set(testHeaders.Deadline, "60000")
			go func() { answers <- test.site.do(r) }()
			for test.site.relay.InFlight() == 0 || len(test.site.arrivals()) < test.sent {
				time.Sleep(time.Millisecond)
			}
			test.site.relay.CancelAll()
			if got := <-answers; got.status != test.status {
				t.Errorf("status %d, %v, want %d", got.status, got.err, test.status)
			}
		})
	}
}
