package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of the gateway.
type metrics struct {
	requests   *prometheus.CounterVec // ended requests by model and outcome
	tokens     prometheus.Counter     // tokens passed on to callers
	resumes    prometheus.Counter     // attempts to resume broken answers
	moves      *prometheus.CounterVec // attempts to move a stream, by outcome
	inFlight   prometheus.Gauge       // requests that have not ended
	firstToken prometheus.Histogram   // seconds from arrival to the first token of a stream
	overhead   prometheus.Histogram   // seconds from arrival to sending, without the wait for a replica or a claim
}

// newMetrics creates the metrics and registers them with registerer.
func newMetrics(registerer prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenwheel_gateway_requests_total",
			Help: "Requests that ended, by model (empty if unknown) and outcome.",
		}, []string{"model", "outcome"}),
		tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenwheel_gateway_tokens_total",
			Help: "Tokens passed on to callers.",
		}),
		resumes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "martenwheel_gateway_resumes_total",
			Help: "Resumptions of broken answers at their engines.",
		}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "martenwheel_gateway_moves_total",
			Help: "Tries to move a running stream from a leaving engine to another, by outcome.",
		}, []string{"outcome"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "martenwheel_gateway_requests_in_flight",
			Help: "Requests that arrived and have not ended.",
		}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "martenwheel_gateway_first_token_seconds",
			Help:    "Time from arrival to the first token of streams.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 15),
		}),
		overhead: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "martenwheel_gateway_added_seconds",
			Help:    "Time from arrival until the request was sent on, without waiting for a replica.",
			Buckets: prometheus.ExponentialBuckets(0.00002, 2, 15),
		}),
	}
	return m, m.register(registerer)
}

// register registers all metrics; it does nothing if registerer is nil.
func (m *metrics) register(registerer prometheus.Registerer) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range []prometheus.Collector{m.requests, m.tokens, m.resumes, m.moves, m.inFlight, m.firstToken, m.overhead} {
		if err := registerer.Register(collector); err != nil {
			return errors.Wrap(err, "gateway: register metrics")
		}
	}
	return nil
}

// observe counts a request that ended at now. The model label stays empty for
// models that are not in the settings: callers can invent any number of names.
func (m *metrics) observe(c *call, outcome string, now time.Time) {
	m.inFlight.Dec()
	m.requests.WithLabelValues(string(c.model.Name), outcome).Inc()
	m.tokens.Add(float64(c.record.tokens))
	if !c.firstEvent.IsZero() {
		m.firstToken.Observe(c.firstEvent.Sub(c.record.arrived).Seconds())
	}
	if c.attempts == 1 {
		m.overhead.Observe((c.record.sentAt.Sub(c.record.arrived) - c.record.waitTime).Seconds())
	}
}
