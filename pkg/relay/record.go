package relay

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
)

// Outcomes of requests, in logs and metrics.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeCut     = "cut off" // this node ended an answer that had begun
	outcomeLeft    = "caller left"
	outcomeUnread  = "not read"
	outcomeBroken  = "broken off"
)

// eventsSent records that events were sent.
func (r *record) eventsSent(now time.Time, bytes, events int) {
	if r.lastEventAt.IsZero() {
		r.firstEventAt = now
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.bytes += bytes
	r.events += events
}

// minTimedEvents is the minimum number of events of a stream for measuring its speed.
const minTimedEvents = 8

// timePerEvent returns the time per event, without the longest pause, of a stream that came from
// one server. It returns zero if that is unknown.
func (r *record) timePerEvent() time.Duration {
	if r.events < minTimedEvents || len(r.tries) != 1 {
		return 0
	}
	return (r.lastEventAt.Sub(r.firstEventAt) - r.longestGap) / time.Duration(r.events-2)
}

// try is one attempt, for the log.
type try struct {
	server        string
	software      string // version of the server's software
	started       time.Time
	answered      time.Time // first event, or the head of an answer without events; zero: none
	ended         time.Time
	verdict       attemptResult
	status        int  // of the answer; zero: none
	events        int  // passed on
	hedge         bool // it began beside another one
	err           error
	serverCrashed bool  // the server was found to have crashed
	unframed      bool  // the answer had no length and no chunks, so that it ended with its connection
	restBytes     int   // received after the last whole event when the answer ended
	received      int64 // bytes of the answer that had arrived when the attempt ended, head included
	partsAnswered bool  // it was recorded that the parts of the prompt crash no server
}

// answerDuration returns how long the server sent its answer; zero if none began.
func (t *try) answerDuration() time.Duration {
	if t.answered.IsZero() {
		return 0
	}
	return t.ended.Sub(t.answered)
}

// record collects the content of a request's log line.
type record struct {
	id            string
	tenant        string        // name; empty: none
	keysAge       time.Duration // maximum age of the key table
	admission     Admission     // decision on the tenant's quota
	outcome       string
	err           error
	status        int
	tries         []*try
	current       *try // the last attempt whose answer was passed on or waited for; other attempts are hedges
	firstByte     time.Duration
	readyIn       time.Duration // expected time until the model is ready, by the last LoadStatus
	statusAge     time.Duration
	callerTimeout time.Duration // how long the caller waits; zero: unknown
	bodyBytes     int           // of the request, as far as it was read
	waited        time.Duration // total time of waiting for servers, over all attempts
	waitFor       string        // reason of the last wait; empty: never waited
	loadError     error         // why the last load request failed
	trialError    error         // why the coordinator could not be asked for a trial
	accused       []accusedLine // why the request was refused
	place         placeRecord
	slot          slotRecord
	resumesAfter  string        // last event that the caller had when the request came in; empty: it takes up no stream
	resumes       string        // caller's attempt that the stream began with, as it says
	origin        lineage.Found // where the stream that it takes up began
	soleErr       error         // why no version was confirmed to serve alone; nil: one was, or it was not asked for
	bytes         int
	events        int
	firstEventAt  time.Time     // when the first events were sent
	lastEventAt   time.Time     // when the last events were sent
	longestGap    time.Duration // between two sends of events
	moves         []moveLine    // calls and steps of moves of the stream
	preference    string        // whether the last server chosen is the preferred one; empty: none was chosen
}

// try adds an attempt.
func (r *record) try(m *backend.Member, started time.Time) *try {
	t := &try{server: m.ID, software: m.Software, started: started}
	r.tries = append(r.tries, t)
	return t
}

// answerStarted records that part of the current attempt's answer arrived.
func (r *record) answerStarted(now time.Time) {
	if t := r.current; t.answered.IsZero() {
		t.answered = now
	}
}

// streamEnded records how the stream of the attempt was framed, and how many bytes followed its last whole event.
func (t *try) streamEnded(framed bool, restBytes int) {
	t.unframed, t.restBytes = !framed, restBytes
}

// end records the result of the attempt.
func (t *try) end(now time.Time, v attemptResult, err error) {
	t.ended, t.verdict, t.err = now, v, err
}

// mayHaveRun reports whether a server may have run the request.
func (r *record) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t *try) bool { return t.verdict != notRun })
}

// currentServerCrashed reports whether the server of the current attempt crashed.
func (r *record) currentServerCrashed() bool { return r.current.serverCrashed }

// mayHaveCrashedServers reports whether a server crashed or broke off in an attempt.
func (r *record) mayHaveCrashedServers() bool {
	return slices.ContainsFunc(r.tries, func(t *try) bool { return t.serverCrashed || isConnectionBroken(t.err) })
}

// setOutcome records the outcome. The first one counts.
func (r *record) setOutcome(outcome string, err error) {
	if r.outcome == "" {
		r.outcome, r.err = outcome, err
	}
}

// finish logs and counts the end of a request. It does not recover a panic that aborts the answer.
func (c *call) finish() {
	c.dropHedge() // of a request that ended by a panic
	c.returnReserved()
	c.record.setOutcome(outcomeBroken, nil)
	c.refundQuota()
	c.releasePlace() // for a request that waited for a place in vain
	c.releaseBody()
	took := c.relay.Time.Since(c.arrived)
	c.relay.Metrics.observe(c, took)
	c.relay.Logger.Info("request", c.describe(took)...)
}

// describe returns the fields of the request's log line.
func (c *call) describe(took time.Duration) []any {
	fields := []any{"request_id", c.record.id, "outcome", c.record.outcome, "status", c.record.status,
		"ms", took.Milliseconds(), "first_ms", c.record.firstByte.Milliseconds()}
	if c.route != nil {
		snapshot := c.relay.Servers.Snapshot()
		fields = append(fields, "route", c.route.Name, "service", c.service, "config", c.table.Version(),
			"servers", snapshot.Version(), "servers_age_ms", c.relay.Time.Since(snapshot.At()).Milliseconds(),
			"left_ms", c.timeLeft().Milliseconds(), "target_ms", c.route.Target.Milliseconds())
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
	if c.record.callerTimeout > 0 {
		fields = append(fields, "caller_ms", c.record.callerTimeout.Milliseconds())
	}
	fields = append(fields, c.describeService()...)
	if c.record.err != nil {
		fields = append(fields, "reason", c.record.err.Error())
	}
	fields = append(fields, c.describeStop()...)
	fields = append(fields, c.describeUnread()...)
	fields = append(fields, c.describeQuota()...)
	if c.record.trialError != nil {
		fields = append(fields, "turn_error", c.record.trialError.Error())
	}
	fields = append(fields, c.describePlace()...)
	fields = append(fields, c.describeSlot()...)
	if c.record.loadError != nil {
		fields = append(fields, "wake_error", c.record.loadError.Error())
	}
	return fields
}

// describeService returns the fields about what the request waited for, what was sent, and its
// servers.
func (c *call) describeService() []any {
	var fields []any
	if c.record.waitFor != "" {
		fields = append(fields, "waited_ms", c.record.waited.Milliseconds(), "waited_for", c.record.waitFor)
	}
	if c.need.Model != "" {
		fields = append(fields, "model", c.need.String(), "ready_in_ms", c.record.readyIn.Milliseconds(),
			"outlook_age_ms", c.record.statusAge.Milliseconds(), "leaves_ms", c.patience().Milliseconds())
	}
	fields = append(fields, c.describeResumption()...)
	if c.record.outcome == outcomeCut {
		fields = append(fields, c.describeCut()...)
	}
	if c.record.events > 0 {
		fields = append(fields, "events", c.record.events, "last_event", c.lastEvent,
			"pause_ms", c.record.longestGap.Milliseconds(), "pause_target_ms", c.route.GapTarget.Milliseconds())
	}
	if c.record.preference != "" && c.route.Sticky {
		fields = append(fields, "lane", c.affinityReq.Lane().String(), "preferred", c.record.preference,
			"shared_tokens", c.prompt.SharedTokens())
	}
	if len(c.parts) > 0 && c.record.mayHaveCrashedServers() {
		fields = append(fields, "parts", c.parts)
	}
	if len(c.record.accused) > 0 {
		fields = append(fields, "accused", c.record.accused)
	}
	if len(c.record.tries) > 0 {
		fields = append(fields, "tries", c.describeTries())
	}
	if len(c.record.moves) > 0 {
		fields = append(fields, "moves", c.record.moves)
	}
	return fields
}

// describeCut returns the fields about what decided that an answer that had begun was ended.
func (c *call) describeCut() []any {
	now := c.relay.Time.Now()
	fields := []any{"sends", c.sends, "runs", c.runs, "max_attempts", c.route.MaxAttempts,
		"retries_left", c.relay.budgets.left(c.relay.Budget, now, c.service, c.nodes())}
	if !c.record.lastEventAt.IsZero() {
		fields = append(fields, "silent_ms", now.Sub(c.record.lastEventAt).Milliseconds())
	}
	if newest := c.relay.Routes(); newest != nil {
		fields = append(fields, "config_now", newest.Version())
	}
	return fields
}

// describeResumption returns the fields about the stream that the caller takes up.
func (c *call) describeResumption() []any {
	if c.record.resumesAfter == "" && c.record.resumes == "" {
		return nil
	}
	o := &c.record.origin
	var fields []any
	if c.record.soleErr != nil {
		fields = append(fields, "sole_error", c.record.soleErr.Error())
	}
	return append(fields, "resumes", truncate(c.record.resumes), "resumes_after", truncate(c.record.resumesAfter),
		"origin_known", o.Known, "origin_service", o.Service, "origin_software", o.Software, "origin_from", o.From,
		"origin_age_ms", o.Age.Milliseconds(), "origin_asked", o.Asked, "origin_answered", o.Answered, "origin_conflicting", o.Conflicting)
}

// accusedLine is a subject of a request that has a standing: the request itself, or a part of its prompt.
type accusedLine struct {
	Part     string `json:"part,omitempty"`
	Standing string `json:"standing"`
}

// maxLoggedHeader bounds the logged part of a header that the caller chose, in bytes.
const maxLoggedHeader = 64

// truncate returns the beginning of a header's value for the log.
func truncate(value string) string { return value[:min(len(value), maxLoggedHeader)] }

// describeQuota returns the fields about the request's cost in its tenant's quota and, if it was
// refused, about the capacity of its route in units of the quota per second.
func (c *call) describeQuota() []any {
	var fields []any
	a := c.record.admission
	if c.charged || c.quotaReq.Amount > 0 {
		fields = append(fields, "cost", c.quotaReq.Amount)
	}
	if a.Err != nil {
		fields = append(fields, "quota_error", a.Err.Error())
	}
	if c.quotaReq.Amount <= 0 || a.Granted {
		return fields
	}
	fields = append(fields, "after_ms", a.After.Milliseconds(), "promised", a.Reserved)
	if a.Room != (quota.Room{}) {
		fields = append(fields, "route_share", math.Round(a.Room.Share), "route_asked", math.Round(a.Room.Asked),
			"route_given", math.Round(a.Room.Given))
	}
	return fields
}

// tryLine is an attempt in the log.
type tryLine struct {
	Server    string `json:"server"`
	Software  string `json:"software,omitempty"`
	AtMS      int64  `json:"at_ms"`
	TookMS    int64  `json:"took_ms"`
	RanMS     int64  `json:"ran_ms"` // part of TookMS after the answer began
	Hedge     bool   `json:"hedge,omitempty"`
	Verdict   string `json:"verdict"`
	Error     string `json:"error,omitempty"`
	Ended     bool   `json:"server_ended,omitempty"`
	Unframed  bool   `json:"unframed,omitempty"`
	RestBytes int    `json:"rest_bytes,omitempty"`
	Received  int64  `json:"received_bytes,omitempty"` // of an answer that was not passed on whole
}

func (c *call) describeTries() []tryLine {
	lines := make([]tryLine, len(c.record.tries))
	for i, t := range c.record.tries {
		lines[i] = tryLine{Server: t.server, Software: t.software, AtMS: t.started.Sub(c.arrived).Milliseconds(),
			TookMS: t.ended.Sub(t.started).Milliseconds(), RanMS: t.answerDuration().Milliseconds(),
			Hedge: t.hedge, Verdict: t.verdict.String(), Ended: t.serverCrashed, Unframed: t.unframed, RestBytes: t.restBytes}
		if t.err != nil {
			lines[i].Error, lines[i].Received = t.err.Error(), t.received
		}
	}
	return lines
}

// String returns the name of the result in logs.
func (v attemptResult) String() string {
	switch v {
	case served:
		return "served"
	case notRun:
		return "not run"
	case mayHaveRun:
		return "may have run"
	case failedAnswer:
		return "failed"
	default:
		return "gone"
	}
}

// Metrics counts finished requests. Create it with NewMetrics.
type Metrics struct {
	requests        *prometheus.CounterVec
	latency         *prometheus.HistogramVec
	tries           prometheus.Counter
	hedges          *prometheus.CounterVec
	moves           *prometheus.CounterVec
	choices         *prometheus.CounterVec
	takenUp         *prometheus.CounterVec
	predictionRatio prometheus.Histogram
	quotas          quotaCounters
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
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_hedges_total",
			Help: "Second runs beside one whose server was silent, by what became of them; gone: the first one went on.",
		}, []string{"verdict"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_moves_total", Help: "Steps of moves of running streams by outcome.",
		}, []string{"step", "outcome"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_preferred_replicas_total",
			Help: "Requests of routes that share parts of prompts: sent to the replica that they prefer (taken), to another (passed on), or without a preference (none).",
		}, []string{"choice"}),
	}
	m.takenUp = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "relay_streams_taken_up_total",
		Help: "Streams that callers took up, by whether it was known where they began, and outcome.",
	}, []string{"known", "outcome"})
	m.predictionRatio = newPredictionRatio()
	m.quotas = newQuotaCounters()
	registry.MustRegister(m.requests, m.latency, m.tries, m.hedges, m.choices, m.takenUp, m.predictionRatio, m.moves, m.quotas.requests)
	return m
}

func (m *Metrics) observe(c *call, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(c.service, c.record.outcome).Inc()
	m.tries.Add(float64(len(c.record.tries)))
	m.observePlace(c)
	for _, t := range c.record.tries {
		if t.hedge {
			m.hedges.WithLabelValues(t.verdict.String()).Inc()
		}
	}
	for _, l := range c.record.moves {
		m.moves.WithLabelValues(l.Step, l.Outcome).Inc()
	}
	if c.record.resumesAfter != "" {
		m.takenUp.WithLabelValues(strconv.FormatBool(c.record.origin.Known), c.record.outcome).Inc()
	}
	if c.record.preference != "" && c.route.Sticky {
		m.choices.WithLabelValues(c.record.preference).Inc()
	}
	if c.record.outcome == outcomeServed {
		m.latency.WithLabelValues(c.service).Observe(min(took, c.record.firstByte).Seconds())
	}
}
