package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// TestJudge: who is refused, by what is known of the model and of the caller.
func TestJudge(t *testing.T) {
	stream := route.Route{Kind: route.Stream, Target: 400 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	slow := route.Route{Kind: route.Stream, Target: 2500 * time.Millisecond, GapTarget: 300 * time.Millisecond}
	cases := []struct {
		name     string
		route    route.Route
		cameBack bool
		waited   time.Duration
		left     time.Duration // of the deadline, from the arrival
		readyIn  time.Duration
		refused  bool
	}{
		{"ready within the target", slow, false, 0, 25 * time.Second, 2 * time.Second, false},
		{"ready after the target, at the start", slow, false, 100 * time.Millisecond, 25 * time.Second, 4 * time.Second, true},
		{"ready after the target, too late for an early refusal", slow, false, time.Second, 25 * time.Second, 4 * time.Second, false},
		{"ready after the caller will have left", slow, false, time.Second, 25 * time.Second, 9 * time.Second, true},
		{"came back and ready late", slow, true, 0, 15 * time.Second, 6 * time.Second, false},
		{"came back and ready after it will have left", slow, true, 0, 15 * time.Second, 11 * time.Second, true},
		{"came back, and the deadline comes first", slow, true, 0, 3 * time.Second, 5 * time.Second, true},
		{"came back to a short target, ready before it leaves", stream, true, 0, 10 * time.Second, 2 * time.Second, false},
		{"came back to a short target, ready after it left", stream, true, 0, 10 * time.Second, 3 * time.Second, true},
		{"nothing is known", slow, true, 0, 15 * time.Second, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			arrived := time.Now().Add(-test.waited)
			c := &call{route: &test.route, arrived: arrived, deadline: arrived.Add(test.left), cameBack: test.cameBack}
			f, refused := c.judge(Outlook{ReadyIn: test.readyIn})
			if refused != test.refused {
				t.Fatalf("refused: %v, want %v", refused, test.refused)
			}
			if refused && (f.status != http.StatusServiceUnavailable || f.after < test.readyIn) {
				t.Errorf("the refusal is %+v", f)
			}
		})
	}
}

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
