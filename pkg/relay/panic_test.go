package relay

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/route"
)

// Guards against requests without an answer, and without a line in the log, whose handler panics.
func TestLOSTOfRequestsWhoseHandlerPanics(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Unsafe}, sealed(http.StatusOK, "whole"))
	var logs bytes.Buffer
	s.relay.Logger = hclog.New(&hclog.LoggerOptions{Output: &logs})
	routes := s.relay.Routes
	s.relay.Routes = func() *route.Table { panic("a fault of the test") }
	got := s.get("a")
	if got.err != nil || got.status != http.StatusInternalServerError {
		t.Errorf("LOST: status %d, %v", got.status, got.err)
	}
	if !strings.Contains(logs.String(), "a fault of the test") || !strings.Contains(logs.String(), "request_id=a") {
		t.Errorf("not logged: %s", logs.String())
	}
	s.relay.Routes = routes
	if got := s.get("b"); got.err != nil || got.status != http.StatusOK {
		t.Errorf("the next request: status %d, %v", got.status, got.err)
	}
}
