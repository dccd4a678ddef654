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

// Places has the requests of all nodes take turns at crowded servers.
type Places interface {
	// NextPlace returns the ID of a request, under which it is known from then on.
	NextPlace() uint64
	// TakePlace decides on a request to servers that may be crowded. An error tells why the one
	// who knows could not be asked; the verdict holds all the same.
	TakePlace(ctx context.Context, r *admission.Request) (admission.Verdict, error)
	// SentToPlace tells that a request goes to a server, with or without anybody's word.
	SentToPlace(r admission.Report)
	// AnsweredInPlace tells that its first event came.
	AnsweredInPlace(id uint64)
	// LeftPlace tells that it has ended there, or that it does not wait for a place any more.
	LeftPlace(id uint64, key admission.Key)
}

// errStalePlace keeps a request from a server whose word for it is old: the node was suspended
// since, and the room is somebody else's by now.
var errStalePlace = errors.New("relay: the place at the server lapsed")

// placeTime is within which a place is used: to connect takes some milliseconds.
const placeTime = 500 * time.Millisecond

// mostPlaces bounds the servers that a node names for one request.
const mostPlaces = 16

// place is a request's part in the turns at crowded servers.
type place struct {
	id      uint64    // under which Places knows the request; zero: none yet
	granted time.Time // when it was told that it may go; zero: it was not
	open    bool      // its end is to be told
}

// stale tells whether the word that the request may go lapsed.
func (p *place) stale(now time.Time) bool {
	return !p.granted.IsZero() && now.Sub(p.granted) > placeTime
}

// placeRecord is what the log line of a request tells of its place.
type placeRecord struct {
	verdict admission.Verdict // the last one
	asked   bool              // a verdict was given
	waits   int               // how often it was told to ask again
	waited  time.Duration     // in all, before it asked again
	err     error             // why the holder could not be asked last
}

// takesPlace tells whether the request takes its turn at crowded servers: its prompt is told and
// has parts that others share, and the memory of its servers is told. Only such prompts keep
// servers for so long that one more makes others late.
func (c *call) takesPlace() bool {
	return c.relay.Places != nil && c.engine != nil && c.engine.CacheTokens > 0 && c.route.Sticky &&
		c.route.Kind == route.Stream && c.prompt.Tokens() > 0 && c.need.Model != ""
}

// placeKey names the model whose servers may be crowded.
func (c *call) placeKey() admission.Key {
	return admission.Key{Service: c.service, Model: c.need.Model}
}

// takePlace asks where and when the request is to go; m is this node's own choice. It returns the
// server and mayRunNow, or nil and isRefused, once it has answered the caller, or looksAgain, once
// it has waited. An answer that has begun is not kept waiting.
func (c *call) takePlace(ctx context.Context, m *backend.Member) (*backend.Member, permission) {
	c.place.granted = time.Time{}
	if !c.takesPlace() || c.headSent {
		return m, mayRunNow
	}
	r := c.placeRequest(m)
	v, err := c.relay.Places.TakePlace(ctx, r)
	note := &c.record.place
	note.err = err
	if v.Kind == admission.Stand {
		return m, mayRunNow
	}
	note.asked, note.verdict, c.place.open = true, v, true
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx)
		return nil, isRefused
	case v.Kind == admission.Refuse, v.Kind == admission.Wait && c.leavesBy(c.relay.Time.Now().Add(v.After)):
		c.refuse(c.notServed(reasonCrowded, max(v.After, defaultRetryAfter)))
		return nil, isRefused
	case v.Kind == admission.Wait:
		c.awaitPlace(ctx, v.After)
		return nil, looksAgain
	}
	c.place.granted = c.relay.Time.Now()
	if other := c.relay.Servers.Snapshot().Member(v.Server); other != nil && other.Serves(c.place.granted, c.need) {
		return other, mayRunNow
	}
	return m, mayRunNow // the server left meanwhile; beginPlace tells where the request goes
}

// awaitPlace waits before the request asks again.
func (c *call) awaitPlace(ctx context.Context, d time.Duration) {
	began := c.relay.Time.Now()
	c.pause(ctx, d)
	c.record.place.waits++
	c.record.place.waited += c.relay.Time.Since(began)
}

// placeRequest is the question for a place; m is this node's own choice.
func (c *call) placeRequest(m *backend.Member) *admission.Request {
	if c.place.id == 0 {
		c.place.id = c.relay.Places.NextPlace()
	}
	waited := c.relay.Time.Since(c.arrived)
	return &admission.Request{
		Place: admission.Place{ID: c.place.id}, Key: c.placeKey(), Need: c.need.String(), Work: c.work(), Rank: c.rank(),
		Target: c.route.Target - waited, Patience: c.patience() - waited, Left: c.left(), Waited: waited, Servers: c.placeServers(m),
	}
}

// work is what the request brings to a server.
func (c *call) work() admission.Work {
	if c.resumption.from != "" { // its prompt was read, at the server that the copy is from
		return admission.Work{Out: max(c.prompt.Likely()-c.record.events*max(c.engine.EventTokens, 1), 0)}
	}
	return admission.Work{Tokens: c.prompt.Tokens(), Out: c.prompt.Likely(), Parts: c.prompt.Parts()}
}

// placeServers returns the servers that may get the request, m first. Those that it was sent to
// in vain are left out. Of more than may be named, each request names others.
func (c *call) placeServers(m *backend.Member) []string {
	now := c.relay.Time.Now()
	list := []string{m.ID}
	servers := c.relay.Servers.Snapshot().Service(c.service)
	first := rand.IntN(max(len(servers), 1))
	for i := range servers {
		if len(list) == mostPlaces {
			break
		}
		other := servers[(first+i)%len(servers)]
		if other.ID != m.ID && other.Serves(now, c.need) && !other.Limited() && !other.Avoid(now) && !slices.Contains(c.tried, other.ID) {
			list = append(list, other.ID)
		}
	}
	return list
}

// beginPlace tells that the request goes to a server.
func (c *call) beginPlace(m *backend.Member) {
	if !c.takesPlace() {
		return
	}
	if c.place.id == 0 {
		c.place.id = c.relay.Places.NextPlace()
	}
	c.place.open = true
	c.relay.Places.SentToPlace(admission.Report{ID: c.place.id, Key: c.placeKey(), Need: c.need.String(), Server: m.ID, Work: c.work(),
		Rank: c.rank(), Target: c.route.Target, Left: c.left(), Granted: !c.place.granted.IsZero()})
}

// answersInPlace tells that the first event came.
func (c *call) answersInPlace() {
	if c.place.open {
		c.relay.Places.AnsweredInPlace(c.place.id)
	}
}

// endPlace tells that the request has ended at its server.
func (c *call) endPlace() {
	if c.place.open {
		c.place.open = false
		c.relay.Places.LeftPlace(c.place.id, c.placeKey())
	}
}

// describePlace returns what the log tells of the request's place.
func (c *call) describePlace() []any {
	note := &c.record.place
	var fields []any
	if note.asked {
		v := &note.verdict
		fields = append(fields, "place", v.Kind.String(), "place_server", v.Server, "place_first_ms", v.First.Milliseconds(),
			"place_age_ms", v.Age.Milliseconds(), "place_waits", note.waits, "place_waited_ms", note.waited.Milliseconds())
		if real := c.firstEvent(); real > 0 && v.Kind == admission.Go {
			fields = append(fields, "place_off_ms", (real - v.First).Milliseconds())
		}
	}
	if note.err != nil {
		fields = append(fields, "place_error", note.err.Error())
	}
	return fields
}

// firstEvent returns the time from the last try's start to its first event; zero if none came.
func (c *call) firstEvent() time.Duration {
	if len(c.record.tries) == 0 || c.record.last().answered.IsZero() {
		return 0
	}
	return c.record.last().answered.Sub(c.record.last().started)
}

// newForeseen returns the histogram of times to the first event by what was predicted.
func newForeseen() prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "martenwheel", Name: "relay_first_event_by_prediction",
		Help:    "Time to the first event at a crowded server, as a multiple of what was predicted.",
		Buckets: []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5},
	})
}

// observePlace counts how the prediction for a request came true, if it has a place and an answer.
func (m *Metrics) observePlace(c *call) {
	v := &c.record.place.verdict
	if real := c.firstEvent(); real > 0 && v.Kind == admission.Go && v.First > 0 {
		m.foreseen.Observe(float64(real) / float64(v.First))
	}
}
