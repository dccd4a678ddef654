package relay

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// TestEvaluateStatus checks which requests are held and which are refused, depending on what is
// known of the model and the caller.
func TestEvaluateStatus(t *testing.T) {
	short := route.Route{Kind: route.Stream, Target: 400 * time.Millisecond, GapTarget: 300 * time.Millisecond} // callers leave after 2.4 s
	long := route.Route{Kind: route.Stream, Target: 2500 * time.Millisecond, GapTarget: 300 * time.Millisecond} // callers leave after 10 s
	cases := []struct {
		name     string
		route    route.Route
		headSent bool
		waited   time.Duration
		left     time.Duration // time from arrival to deadline
		readyIn  time.Duration
		refused  bool
	}{
		{"ready within the target", long, false, 0, 25 * time.Second, 2 * time.Second, false},
		{"ready late, at the start", long, false, 100 * time.Millisecond, 25 * time.Second, 4 * time.Second, false},
		{"ready late, after a while", long, false, time.Second, 25 * time.Second, 4 * time.Second, false},
		{"ready after the caller will have left", long, false, time.Second, 25 * time.Second, 9 * time.Second, true},
		{"ready after the deadline", long, false, 0, 3 * time.Second, 5 * time.Second, true},
		{"a short target, ready before the caller leaves", short, false, 0, 10 * time.Second, 2 * time.Second, false},
		{"a short target, ready after it left", short, false, 0, 10 * time.Second, 3 * time.Second, true},
		{"the answer has begun", short, true, 0, 10 * time.Second, 3 * time.Second, false},
		{"nothing is known, the caller stays", long, false, 0, 15 * time.Second, 0, false},
		{"nothing is known, the caller leaves soon", short, false, 0, 15 * time.Second, 0, true},
		{"no target and no pause", route.Route{Kind: route.Stream}, false, 0, time.Minute, time.Second, false},
		{"no time at all", long, false, 0, 0, time.Millisecond, true},
		{"an absurd time", route.Route{Kind: route.Safe}, false, 0, 1 << 62, time.Hour, false},
		{"an absurd expectation", long, false, 0, 25 * time.Second, 1 << 60, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			arrived := time.Now().Add(-test.waited)
			c := &call{relay: &Relay{}, progress: progress{headSent: test.headSent},
				request: request{route: &test.route, arrived: arrived, deadline: arrived.Add(test.left)}}
			f, refused := c.evaluateStatus(LoadStatus{ReadyIn: test.readyIn}, nil)
			if refused != test.refused {
				t.Fatalf("refused: %v, want %v", refused, test.refused)
			}
			if refused && (f.status != http.StatusServiceUnavailable || f.after < test.readyIn) {
				t.Errorf("the refusal is %+v", f)
			}
		})
	}
}

// propertySeed makes the property tests reproducible.
const propertySeed = 21

// TestDecideProperties checks that a request is held if it can be served before its caller leaves,
// that neither a later model nor a longer wait turns a refusal into a hold, and that the retry time
// of a refusal is not before the model is ready.
func TestDecideProperties(t *testing.T) {
	parameters := gopter.DefaultTestParameters()
	parameters.Rng.Seed(propertySeed)
	properties := gopter.NewProperties(parameters)
	span := gen.Int64Range(0, int64(time.Minute))
	properties.Property("held if and only if it can be served", prop.ForAll(
		func(waited, patience, readyIn int64, started bool) bool {
			p := waitEstimate{time.Duration(waited), time.Duration(patience), time.Duration(readyIn), started}
			next := p.decide()
			can := waited+max(readyIn, 1)+int64(readyMargin) <= patience
			if readyIn > 0 && next.hold != (can || started) {
				return false
			}
			return next.hold == (next.after == 0) && (next.hold || next.after >= p.readyIn)
		}, span, span, span, gen.Bool()))
	properties.Property("later is never better", prop.ForAll(
		func(waited, patience, readyIn, more int64) bool {
			p := waitEstimate{waited: time.Duration(waited), patience: time.Duration(patience), readyIn: time.Duration(readyIn) + 1}
			later, longer := p, p
			later.readyIn += time.Duration(more)
			longer.waited += time.Duration(more)
			return p.decide().hold || !later.decide().hold && !longer.decide().hold
		}, span, span, span, span))
	properties.TestingRun(t)
}

// TestRequestsWithoutServersAreRefusedAtOnce checks a service without a model that has no server
// and expects none before its callers leave.
func TestRequestsWithoutServersAreRefusedAtOnce(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe, Timeout: time.Second}, sealed(200, "x"))
	s.relay.Servers.Replace(nil, 2)
	began := time.Now()
	got := s.get("id")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("the answer is %d %v", got.status, got.header)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("the answer took %v, the caller's whole time", took)
	}
}

// failingLoader reports a status from before, as its holder is lost.
type failingLoader LoadStatus

func (l failingLoader) RequestLoad(context.Context, LoadRequest) (LoadStatus, error) {
	return LoadStatus(l), errors.New("no holder answers")
}

// Guards against a failed load request that replaces what is known of a model by the assumption for unknown ones.
func TestFailedLoadRequestKeepsWhatIsKnown(t *testing.T) {
	for known, want := range map[time.Duration]time.Duration{0: unknownReady, time.Second: time.Second, time.Minute: time.Minute} {
		c := &call{relay: &Relay{Loader: failingLoader{ReadyIn: known}}, http: &http.Request{}, request: request{route: &route.Route{}}}
		results := make(chan loadResult, 1)
		c.requestLoad(t.Context(), shortage{}, results)
		if got := <-results; got.err == nil || got.status.ReadyIn != want {
			t.Errorf("%v is known: %v, error %v, want %v", known, got.status.ReadyIn, got.err, want)
		}
	}
}

// Guards against waiters who are refused as if their coordinator were lost anew with each call, and against some that are
// held though their model can't be loaded in their time.
func TestTimeWithoutACoordinatorCounts(t *testing.T) {
	for _, test := range []struct {
		name    string
		load    time.Duration
		adapter string
		silence time.Duration
		want    time.Duration
	}{
		{"lost just now", 0, "", 0, unknownReady},
		{"lost a while ago", 0, "", 3 * time.Second, unknownReady - 3*time.Second},
		{"the load takes longer", 2500 * time.Millisecond, "", 3 * time.Second, 2500 * time.Millisecond},
		{"an adapter", 2500 * time.Millisecond, "x", 3 * time.Second, unknownReady - 3*time.Second},
		{"a very long load", time.Minute, "", 3 * time.Second, unknownReady},
		{"no other one came", 0, "", takeoverTime, unknownReady},
		{"never known", 0, "", 1 << 62, unknownReady},
	} {
		c := &call{request: request{need: backend.Need{Model: "m", Adapter: test.adapter},
			engine: &route.Engine{Models: map[string]*route.Model{"m": {Name: "m", LoadTime: test.load}}}}}
		if got := c.readyUnanswered(test.silence); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
