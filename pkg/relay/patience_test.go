package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// Guards against a stream that is cut off since its target was silent for longer than its source serves.
func TestMovedStreamIsCutOffOverASilenceOfItsTarget(t *testing.T) {
	t.Parallel()
	f := newMoveCluster(t, false, 2, func(step string) fault {
		if step == "go on" {
			time.Sleep(silentBeyondLimit)
		}
		return noFault
	})
	f.relay.DrainTime = 2 * time.Second
	request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
	request.Header.Set(testHeaders.Deadline, "5000")
	request.Header.Set(testHeaders.Model, "m")
	done := make(chan answer, 1)
	go func() { done <- f.do(request) }()
	for f.eventsMade.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	leaving := *f.servers[0]
	leaving.Draining, leaving.Version = true, 3
	f.relay.Servers.Replace([]*backend.Server{&leaving, f.servers[1]}, 3)
	if got := <-done; got.err != nil || got.body != eventsText(1, f.total) {
		t.Errorf("the caller got %d bytes, %v; %d arrivals", len(got.body), got.err, len(f.arrivals()))
	}
}

// lateLender lends after a time.
type lateLender struct{ after time.Duration }

func (l lateLender) BorrowRetry(ctx context.Context, _ string) (bool, error) {
	select {
	case <-time.After(l.after):
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// heldLender lends once it is told to.
type heldLender struct{ asked, lend chan struct{} }

func (l heldLender) BorrowRetry(ctx context.Context, _ string) (bool, error) {
	close(l.asked)
	<-l.lend
	return true, nil
}

// Guards against a run that brought events and is then ended as silent, as the retry was lent late.
func TestRunThatBroughtEventsIsEndedAsSilent(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), events(6, 6, nil), events(6, 6, nil))
	lender := heldLender{asked: make(chan struct{}), lend: make(chan struct{})}
	s.relay.Budget, s.relay.Lender = BudgetConfig{Window: 10 * time.Second}, lender
	c := &call{relay: s.relay, request: request{route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}, service: "s"}}
	r := newRun(t.Context(), s.relay.Servers.Snapshot().Member("server-0"), &try{})
	r.fromCopy = true
	c.watchSilence(r)
	go func() {
		defer close(r.updates)
		<-lender.asked
		r.pass(update{data: []byte("first")})
		close(lender.lend)
		time.Sleep(2 * hedgeRetryInterval)
		r.pass(update{data: []byte("second")})
	}()
	for _, want := range []string{"first", "second"} {
		u, err := c.next(t.Context(), r)
		if string(u.data) != want || u.err != nil || err != nil || context.Cause(r.ctx) != nil {
			t.Errorf("the run brought %q, %v, %v and was ended: %v", u.data, u.err, err, context.Cause(r.ctx))
		}
		r.try.events++
		c.watchSilence(r)
	}
}

// Guards against a retry that stays reserved though the request has ended.
func TestRetryReservedAfterTheEndIsLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, streamRoute(true), events(6, 6, nil), events(6, 6, nil))
	s.relay.Budget.Ratio, s.relay.Budget.Slack = 0, 0
	s.relay.Lender = lateLender{80 * time.Millisecond}
	c := &call{relay: s.relay, request: request{route: &route.Route{Kind: route.Stream, Resumable: true, MaxAttempts: 2}, service: "s", arrived: time.Now()}}
	if c.reserveRetry(t.Context()) {
		t.Fatal("a retry was reserved at once")
	}
	c.returnReserved() // as finish does
	time.Sleep(150 * time.Millisecond)
	if c.retryReserved {
		t.Error("a retry is still reserved")
	}
}
