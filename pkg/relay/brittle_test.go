package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/route"
)

// silentSlots never answers.
type silentSlots struct{}

func (silentSlots) RequestSlot(ctx context.Context, _ []backpressure.Ask, _ time.Duration) (backpressure.Slot, error) {
	<-ctx.Done()
	return backpressure.Slot{}, ctx.Err()
}

func (silentSlots) ReturnPlace(backpressure.Slot) {}

func TestRequestGoesToABrittleServerAfterItsWaitForAPlace(t *testing.T) {
	s := newSite(t, route.Route{Target: 300 * time.Millisecond}, sealed(http.StatusOK, "done"))
	s.relay.Slots = silentSlots{}
	s.relay.Servers.Signals = func(int, http.Header) backpressure.Signals { return backpressure.Signals{Brittle: 3} }
	s.relay.Servers.Replace(nil, 2)
	s.relay.Servers.Replace(s.servers, 3)
	if got := s.get("first"); got.status != http.StatusOK {
		t.Fatalf("the server was not brittle yet: %+v", got)
	}
	if got := s.get("second"); got.status != http.StatusServiceUnavailable {
		t.Errorf("answer %+v", got)
	}
	if n := len(s.arrivals()); n != 1 {
		t.Errorf("%d requests reached the server, one had a place", n)
	}
}
