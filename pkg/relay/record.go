package relay

import (
	"math"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
)

// Outcomes of requests, in logs and metrics.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeLeft    = "caller left"
	outcomeUnread  = "not read"
	outcomeBroken  = "broken off"
)

// sent notes that events went out.
func (r *record) sent(now time.Time, bytes, events int) {
	if r.eventAt.IsZero() {
		r.eventsFrom = now
	} else {
		r.pause = max(r.pause, now.Sub(r.eventAt))
	}
	r.eventAt = now
	r.bytes += bytes
	r.events += events
}

// leastPaced is the least number of events by which a stream tells a pace.
const leastPaced = 8

// pace returns how long the server took for each event, its longest pause aside, of
// a stream that came from one server in whole; zero if that can't be told.
func (r *record) pace() time.Duration {
	if r.events < leastPaced || len(r.tries) != 1 {
		return 0
	}
	return (r.eventAt.Sub(r.eventsFrom) - r.pause) / time.Duration(r.events-2)
}

// try is one attempt, for the log.
type try struct {
	server      string
	started     time.Time
	answered    time.Time // when its first event came, or its head if it has none; zero: neither did
	ended       time.Time
	verdict     verdict
	err         error
	serverEnded bool // the server was found to have ended
}

// ran returns for how long the server sent its answer; zero if none began.
func (t *try) ran() time.Duration {
	if t.answered.IsZero() {
		return 0
	}
	return t.ended.Sub(t.answered)
}

// record is what the log line of a request tells.
type record struct {
	id         string
	tenant     string        // name; empty: none
	keysAge    time.Duration // of the table of keys, at most
	admission  Admission     // by its tenant's quota
	outcome    string
	err        error
	status     int
	tries      []try
	firstByte  time.Duration
	readyIn    time.Duration // by the last outlook
	outlookAge time.Duration
	given      time.Duration // that the caller waits; zero: not told
	waited     time.Duration // for servers, over all tries
	waitFor    string        // what it lacked when it last waited; empty: it never did
	wakeError  error
	turnError  error // why the holder could not be asked for a turn
	place      placeRecord
	slot       slotRecord
	bytes      int
	events     int
	eventsFrom time.Time     // when the first events went out
	eventAt    time.Time     // when the last events went out
	pause      time.Duration // longest between two sends of events
	moves      []moveLine
	preference string // whether the last server chosen is the one preferred; empty: none was chosen
}

func (r *record) try(server string, started time.Time) {
	r.tries = append(r.tries, try{server: server, started: started})
}

// last returns the last attempt.
func (r *record) last() *try { return &r.tries[len(r.tries)-1] }

// answers notes that some of the answer to the last attempt came.
func (r *record) answers(now time.Time) {
	if t := r.last(); t.answered.IsZero() {
		t.answered = now
	}
}

// fail notes how the last attempt ended.
func (r *record) fail(now time.Time, v verdict, err error) {
	t := r.last()
	t.ended, t.verdict, t.err = now, v, err
}

// mayHaveRun tells whether a server may have run the request.
func (r *record) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t try) bool { return t.verdict != notRun })
}

// serverEnded notes that the server of the last attempt had ended.
func (r *record) serverEnded() { r.last().serverEnded = true }

// lastEnded tells whether the server of the last attempt had ended.
func (r *record) lastEnded() bool { return r.last().serverEnded }

// end notes the outcome; the first word counts.
func (r *record) end(outcome string, err error) {
	if r.outcome == "" {
		r.outcome, r.err = outcome, err
	}
}

// finish logs and counts the end of a request. A panic that cuts the answer off
// goes on.
func (c *call) finish() {
	c.record.end(outcomeBroken, nil)
	c.settle()
	c.endPlace() // of a request that waited for one in vain
	took := c.relay.Time.Since(c.arrived)
	c.relay.Metrics.observe(c, took)
	c.relay.Logger.Info("request", c.describe(took)...)
}

// describe returns what the log line of the request tells.
func (c *call) describe(took time.Duration) []any {
	fields := []any{"request_id", c.record.id, "outcome", c.record.outcome, "status", c.record.status,
		"ms", took.Milliseconds(), "first_ms", c.record.firstByte.Milliseconds()}
	if c.route != nil {
		snapshot := c.relay.Servers.Snapshot()
		fields = append(fields, "route", c.route.Name, "service", c.service, "config", c.table.Version(),
			"servers", snapshot.Version(), "servers_age_ms", c.relay.Time.Since(snapshot.At()).Milliseconds(),
			"left_ms", c.left().Milliseconds(), "target_ms", c.route.Target.Milliseconds())
	}
	if c.fingerprint != (quarantine.Fingerprint{}) {
		fields = append(fields, "caller", c.caller(), "fingerprint", c.fingerprint.String())
	}
	if c.record.tenant != "" {
		fields = append(fields, "tenant", c.record.tenant)
	}
	if c.table != nil && c.table.Tenants() != nil {
		fields = append(fields, "keys_age_ms", c.record.keysAge.Milliseconds())
	}
	if c.record.given > 0 {
		fields = append(fields, "caller_ms", c.record.given.Milliseconds())
	}
	fields = append(fields, c.describeService()...)
	if c.record.err != nil {
		fields = append(fields, "reason", c.record.err.Error())
	}
	fields = append(fields, c.describeQuota()...)
	if c.record.turnError != nil {
		fields = append(fields, "turn_error", c.record.turnError.Error())
	}
	fields = append(fields, c.describePlace()...)
	fields = append(fields, c.describeSlot()...)
	if c.record.wakeError != nil {
		fields = append(fields, "wake_error", c.record.wakeError.Error())
	}
	return fields
}

// describeService tells how the request was served: what it waited for, what was sent of it, where
// it went.
func (c *call) describeService() []any {
	var fields []any
	if c.record.waitFor != "" {
		fields = append(fields, "waited_ms", c.record.waited.Milliseconds(), "waited_for", c.record.waitFor)
	}
	if c.need.Model != "" {
		fields = append(fields, "model", c.need.String(), "ready_in_ms", c.record.readyIn.Milliseconds(),
			"outlook_age_ms", c.record.outlookAge.Milliseconds(), "leaves_ms", c.patience().Milliseconds())
	}
	if c.record.events > 0 {
		fields = append(fields, "events", c.record.events, "last_event", c.lastEvent,
			"pause_ms", c.record.pause.Milliseconds(), "pause_target_ms", c.route.GapTarget.Milliseconds())
	}
	if c.record.preference != "" && c.route.Sticky {
		fields = append(fields, "lane", c.shaped.Lane().String(), "preferred", c.record.preference,
			"shared_tokens", c.prompt.SharedTokens())
	}
	if len(c.record.tries) > 0 {
		fields = append(fields, "tries", c.describeTries())
	}
	if len(c.record.moves) > 0 {
		fields = append(fields, "moves", c.record.moves)
	}
	return fields
}

// describeQuota tells what the request counts in its tenant's quota, and if it was refused, of
// what room: in the quota's unit a second, of its route.
func (c *call) describeQuota() []any {
	var fields []any
	a := c.record.admission
	if c.charged || c.asks.Amount > 0 {
		fields = append(fields, "cost", c.asks.Amount)
	}
	if a.Err != nil {
		fields = append(fields, "quota_error", a.Err.Error())
	}
	if c.asks.Amount <= 0 || a.Granted {
		return fields
	}
	fields = append(fields, "after_ms", a.After.Milliseconds(), "promised", a.Promised)
	if a.Room != (quota.Room{}) {
		fields = append(fields, "route_share", math.Round(a.Room.Share), "route_asked", math.Round(a.Room.Asked),
			"route_given", math.Round(a.Room.Given))
	}
	return fields
}

// tryLine is an attempt as it stands in the log.
type tryLine struct {
	Server  string `json:"server"`
	AtMS    int64  `json:"at_ms"`
	TookMS  int64  `json:"took_ms"`
	RanMS   int64  `json:"ran_ms"` // of it since the answer began
	Verdict string `json:"verdict"`
	Error   string `json:"error,omitempty"`
	Ended   bool   `json:"server_ended,omitempty"`
}

func (c *call) describeTries() []tryLine {
	lines := make([]tryLine, len(c.record.tries))
	for i, t := range c.record.tries {
		lines[i] = tryLine{Server: t.server, AtMS: t.started.Sub(c.arrived).Milliseconds(),
			TookMS: t.ended.Sub(t.started).Milliseconds(), RanMS: t.ran().Milliseconds(),
			Verdict: t.verdict.String(), Ended: t.serverEnded}
		if t.err != nil {
			lines[i].Error = t.err.Error()
		}
	}
	return lines
}

// String names the verdict in logs.
func (v verdict) String() string {
	switch v {
	case served:
		return "served"
	case notRun:
		return "not run"
	case mayRun:
		return "may have run"
	case answered:
		return "failed"
	default:
		return "gone"
	}
}

// Metrics counts the ends of requests. Create it with NewMetrics.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tries    prometheus.Counter
	moves    *prometheus.CounterVec
	choices  *prometheus.CounterVec
	foreseen prometheus.Histogram
	quotas   quotaCounters
}

// NewMetrics registers the relay's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_requests_total", Help: "Requests by service and outcome.",
		}, []string{"service", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "martenwheel", Name: "relay_first_byte_seconds", Help: "Time to the first byte of the answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}, []string{"service"}),
		tries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_attempts_total", Help: "Requests sent to servers, repeats included.",
		}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_moves_total", Help: "Steps of moves of running streams by outcome.",
		}, []string{"step", "outcome"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_preferred_replicas_total",
			Help: "Requests of routes that share parts of prompts: sent to the replica that they prefer (taken), to another (passed on), or without a preference (none).",
		}, []string{"choice"}),
	}
	m.foreseen = newForeseen()
	m.quotas = newQuotaCounters()
	registry.MustRegister(m.requests, m.latency, m.tries, m.choices, m.foreseen, m.moves, m.quotas.requests)
	return m
}

func (m *Metrics) observe(c *call, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(c.service, c.record.outcome).Inc()
	m.tries.Add(float64(len(c.record.tries)))
	m.observePlace(c)
	for _, l := range c.record.moves {
		m.moves.WithLabelValues(l.Step, l.Outcome).Inc()
	}
	if c.record.preference != "" && c.route.Sticky {
		m.choices.WithLabelValues(c.record.preference).Inc()
	}
	if c.record.outcome == outcomeServed {
		m.latency.WithLabelValues(c.service).Observe(min(took, c.record.firstByte).Seconds())
	}
}
