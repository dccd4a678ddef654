package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// TestRequestsAreGivenUpBeforeTheirCallerLeaves checks that a request whose model is not loaded in
// time is refused as not run before its caller leaves.
func TestRequestsAreGivenUpBeforeTheirCallerLeaves(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Stream, Sticky: true, Target: 10 * time.Second, Timeout: time.Second}, sealed(200, "x"))
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "")
	r.Header.Set(testHeaders.Model, "m") // held by no server
	began := time.Now()
	got := s.do(r)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the answer is %d %v", got.status, got.header)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("the answer took %v, longer than the caller's second", took)
	}
	if len(s.arrivals()) != 0 {
		t.Error("a server got the request")
	}
}

// TestServersThatRefuseConnectionsAreReported checks that the load request names a server that
// refused the connection.
func TestServersThatRefuseConnectionsAreReported(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Stream, Sticky: true, Resumable: true, MaxAttempts: 2}, sealed(200, "x"))
	s.servers[0].Models = []backend.Holding{{Model: "m"}}
	s.relay.Servers.Replace(s.servers, 2)
	s.crash(0)
	asked := make(chan LoadRequest, 16)
	s.relay.Loader = recordingLoader(asked)
	r := s.request(t.Context(), http.MethodPost, "/p/x", "id", "")
	r.Header.Set(testHeaders.Model, "m")
	s.do(r)
	select {
	case w := <-asked:
		if w.Missing != "server-0" || !w.Gone {
			t.Errorf("the load request is %+v", w)
		}
	default:
		t.Error("the model was not requested")
	}
}

// recordingLoader records load requests and reports that the model will be ready too late.
type recordingLoader chan LoadRequest

func (w recordingLoader) RequestLoad(_ context.Context, request LoadRequest) (LoadStatus, error) {
	select {
	case w <- request:
	default:
	}
	return LoadStatus{ReadyIn: time.Minute}, nil
}
