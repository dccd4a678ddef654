package relay

import (
	"net/http"
	"strings"
	"testing"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// Guards against answers and events that are refused memory for what another service holds, or given what their own may not.
func TestWhatAServiceHoldsIsItsOwn(t *testing.T) {
	body := "data: " + strings.Repeat("x", 24<<10) + "\n\n"
	for _, kind := range []route.Kind{route.Stream, route.Safe} {
		for _, holder := range []string{"s", "other"} {
			s := newSite(t, route.Route{Kind: kind, MaxAttempts: 1}, sealed(http.StatusOK, body))
			s.relay.Answers = &memory.Budget{Limit: 256 << 10, GroupFactor: 3}
			if !memory.NewGroupBuffer(s.relay.Answers, holder).Append(make([]byte, 180<<10)) {
				t.Fatal("no room for the first holder")
			}
			got := s.post("id", "x")
			if refused := s.relay.Answers.Usage().Refused > 0; refused != (holder == "s") {
				t.Errorf("kind %v beside what %q holds: refused %t, status %d", kind, holder, refused, got.status)
			}
			if holder == "other" && (got.status != http.StatusOK || got.body != body) {
				t.Errorf("kind %v: %d with %d bytes", kind, got.status, len(got.body))
			}
		}
	}
}
