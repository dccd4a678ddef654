package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// TestRequestsAreGivenUpBeforeTheirCallerLeaves: a request whose model does not come is
// refused while its caller is still there, and says that it was not run.
func TestRequestsAreGivenUpBeforeTheirCallerLeaves(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Stream, Sticky: true, Target: 10 * time.Second, Timeout: time.Second}, sealed(200, "x"))
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "")
	r.Header.Set(testHeaders.Model, "m") // which no server holds
	began := time.Now()
	got := s.do(r)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the answer is %d %v", got.status, got.header)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("it took %v, after the caller's second", took)
	}
	if len(s.arrivals()) != 0 {
		t.Error("a server got the request")
	}
}

// TestServersThatRefuseConnectionsAreReported: a request whose server is gone asks for
// its model and names the server.
func TestServersThatRefuseConnectionsAreReported(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Stream, Sticky: true, Resumable: true, MaxAttempts: 2}, sealed(200, "x"))
	s.servers[0].Models = []backend.Holding{{Model: "m"}}
	s.relay.Servers.Replace(s.servers, 2)
	s.end(0)
	asked := make(chan Wish, 16)
	s.relay.Waker = recordingWaker(asked)
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "")
	r.Header.Set(testHeaders.Model, "m")
	s.do(r)
	select {
	case w := <-asked:
		if w.Missing != "server-0" || !w.Gone {
			t.Errorf("the wish is %+v", w)
		}
	default:
		t.Error("nobody was asked for the model")
	}
}

// recordingWaker keeps the wishes and tells that the model comes too late.
type recordingWaker chan Wish

func (w recordingWaker) Wake(_ context.Context, wish Wish) (Outlook, error) {
	select {
	case w <- wish:
	default:
	}
	return Outlook{ReadyIn: time.Minute}, nil
}
