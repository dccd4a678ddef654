package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// Places coordinates the requests of all nodes at overloaded servers. A place is the permission to
// run a request at such a server.
type Places interface {
	// NewPlaceID returns a new ID under which a request is known.
	NewPlaceID() uint64
	// RequestPlace decides about a request to servers that may be overloaded. An error tells why the
	// coordinator could not be asked; the verdict is valid regardless.
	RequestPlace(ctx context.Context, r *admission.Request) (admission.Verdict, error)
	// ReportPlaceSent reports that a request is sent to a server, whether a place was granted or not.
	ReportPlaceSent(r admission.Report)
	// ReportPlaceAnswered reports that the first event of a request arrived.
	ReportPlaceAnswered(id uint64)
	// ReleasePlace reports that a request ended at its server or no longer waits for a place.
	ReleasePlace(id uint64, key admission.Key)
}

// errStalePlace keeps a request from a server whose grant is too old: the node was suspended
// meanwhile and the capacity may have been given to another request.
var errStalePlace = errors.New("relay: the place at the server lapsed")

// placeLifetime is how long a granted place may be used. Connecting takes a few milliseconds.
const placeLifetime = 500 * time.Millisecond

// maxPlaceServers limits the servers that a node names for one request.
const maxPlaceServers = 16

// place is the state of a request's admission at overloaded servers.
type place struct {
	id      uint64    // ID in Places; zero: none yet
	granted time.Time // when the place was granted; zero: not granted
	open    bool      // the end must still be reported
}

// stale reports whether the granted place expired.
func (p *place) stale(now time.Time) bool {
	return !p.granted.IsZero() && now.Sub(p.granted) > placeLifetime
}

// placeRecord is the part of a request's log line about its place.
type placeRecord struct {
	verdict admission.Verdict // the last verdict
	asked   bool              // a verdict other than admission.Stand was given
	waits   int               // number of verdicts to wait and ask again
	waited  time.Duration     // total time before asking again
	err     error             // why the coordinator could not be asked the last time
}

// needsPlace reports whether the request needs a place at overloaded servers: the lengths and
// shared parts of its prompt and the memory of its servers are known. Only such prompts occupy
// servers so long that one more request delays others.
func (c *call) needsPlace() bool {
	return c.relay.Places != nil && c.engine != nil && c.engine.CacheTokens > 0 && c.route.Sticky &&
		c.route.Kind == route.Stream && c.prompt.Tokens() > 0 && c.need.Model != ""
}

// placeKey names the model whose servers may be overloaded.
func (c *call) placeKey() admission.Key {
	return admission.Key{Service: c.service, Model: c.need.Model}
}

// takePlace asks where and when to send the request; m is this node's own choice. It returns the
// server and mayRunNow, nil and wasRefused after answering the caller, or nil and chooseAgain after
// waiting. A request whose answer has begun does not wait.
func (c *call) takePlace(ctx context.Context, m *backend.Member) (*backend.Member, permission) {
	c.place.granted = time.Time{}
	if !c.needsPlace() || c.headSent {
		return m, mayRunNow
	}
	r := c.placeRequest(m)
	v, err := c.relay.Places.RequestPlace(ctx, r)
	note := &c.record.place
	note.err = err
	if v.Kind == admission.Stand {
		return m, mayRunNow
	}
	note.asked, note.verdict, c.place.open = true, v, true
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx, context.Cause(ctx))
		return nil, wasRefused
	case v.Kind == admission.Refuse, v.Kind == admission.Wait && c.callerLeavesBy(c.relay.Time.Now().Add(v.After)):
		c.refuse(c.notServed(reasonOverloaded, max(v.After, defaultRetryAfter)))
		return nil, wasRefused
	case v.Kind == admission.Wait && c.stopTooNear(v.After):
		c.refuse(c.notServed(reasonStopping, stopping.after))
		return nil, wasRefused
	case v.Kind == admission.Wait:
		c.awaitPlace(ctx, v.After)
		return nil, chooseAgain
	}
	c.place.granted = c.relay.Time.Now()
	if other := c.relay.Servers.Snapshot().Member(v.Server); other != nil && c.fits(other) && other.Serves(c.place.granted, c.need) {
		return other, mayRunNow
	}
	return m, mayRunNow // the server left meanwhile; reportPlaceSent reports the actual server
}

// awaitPlace waits for d, after which the request asks for a place again.
func (c *call) awaitPlace(ctx context.Context, d time.Duration) {
	began := c.relay.Time.Now()
	c.sleep(ctx, d)
	c.record.place.waits++
	c.record.place.waited += c.relay.Time.Since(began)
}

// placeRequest returns the request for a place; m is this node's own choice.
func (c *call) placeRequest(m *backend.Member) *admission.Request {
	if c.place.id == 0 {
		c.place.id = c.relay.Places.NewPlaceID()
	}
	waited := c.relay.Time.Since(c.arrived)
	return &admission.Request{
		Place: admission.Place{ID: c.place.id}, Key: c.placeKey(), Need: c.need.String(), Work: c.work(), Rank: c.rank(),
		Target: c.route.Target - waited, Patience: c.patience() - waited, Left: c.timeLeft(), Waited: waited, Servers: c.placeServers(m),
	}
}

// work returns the load that the request adds to a server.
func (c *call) work() admission.Work {
	if c.resumption.from != "" { // the server that the copy is from has processed the prompt
		return admission.Work{Out: max(c.prompt.ExpectedOutput()-c.record.events*max(c.engine.EventTokens, 1), 0)}
	}
	return admission.Work{Tokens: c.prompt.Tokens(), Out: c.prompt.ExpectedOutput(), Parts: c.prompt.Parts()}
}

// placeServers returns the servers that may get the request, m first, without those already tried.
// If there are more than may be named, each request names a random selection.
func (c *call) placeServers(m *backend.Member) []string {
	now := c.relay.Time.Now()
	list := []string{m.ID}
	servers := c.servers()
	first := rand.IntN(max(len(servers), 1))
	for i := range servers {
		if len(list) == maxPlaceServers {
			break
		}
		other := servers[(first+i)%len(servers)]
		if other.ID != m.ID && other.Serves(now, c.need) && !other.Limited() && !other.Avoid(now) && !slices.Contains(c.tried, other.ID) {
			list = append(list, other.ID)
		}
	}
	return list
}

// reportPlaceSent reports that the request is sent to a server.
func (c *call) reportPlaceSent(m *backend.Member) {
	if !c.needsPlace() {
		return
	}
	if c.place.id == 0 {
		c.place.id = c.relay.Places.NewPlaceID()
	}
	c.place.open = true
	c.relay.Places.ReportPlaceSent(admission.Report{ID: c.place.id, Key: c.placeKey(), Need: c.need.String(), Server: m.ID, Work: c.work(),
		Rank: c.rank(), Target: c.route.Target, Left: c.timeLeft(), Granted: !c.place.granted.IsZero()})
}

// reportPlaceAnswered reports that the first event arrived.
func (c *call) reportPlaceAnswered() {
	if c.place.open {
		c.relay.Places.ReportPlaceAnswered(c.place.id)
	}
}

// releasePlace reports that the request ended at its server.
func (c *call) releasePlace() {
	if c.place.open {
		c.place.open = false
		c.relay.Places.ReleasePlace(c.place.id, c.placeKey())
	}
}

// describePlace returns the log fields about the request's place.
func (c *call) describePlace() []any {
	note := &c.record.place
	var fields []any
	if note.asked {
		v := &note.verdict
		fields = append(fields, "place", v.Kind.String(), "place_server", v.Server, "place_first_ms", v.First.Milliseconds(),
			"place_age_ms", v.Age.Milliseconds(), "place_waits", note.waits, "place_waited_ms", note.waited.Milliseconds())
		if actual := c.firstEvent(); actual > 0 && v.Kind == admission.Go {
			fields = append(fields, "place_off_ms", (actual - v.First).Milliseconds())
		}
	}
	if note.err != nil {
		fields = append(fields, "place_error", note.err.Error())
	}
	return fields
}

// firstEvent returns the time from the start of the last attempt to its first event; zero if none
// came.
func (c *call) firstEvent() time.Duration {
	t := c.record.current
	if t == nil || t.answered.IsZero() {
		return 0
	}
	return t.answered.Sub(t.started)
}

// newPredictionRatio returns the histogram of the time to the first event relative to its
// prediction.
func newPredictionRatio() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "martenwheel", Name: "relay_first_event_by_prediction",
		Help:    "Time to the first event at a crowded server, as a multiple of what was predicted.",
		Buckets: []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5},
	})
}

// observePlace counts how accurate the prediction was, if the request got a place and an answer.
func (m *Metrics) observePlace(c *call) {
	v := &c.record.place.verdict
	if actual := c.firstEvent(); actual > 0 && v.Kind == admission.Go && v.First > 0 {
		m.predictionRatio.Observe(float64(actual) / float64(v.First))
	}
}
