package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's figures.
type metrics struct {
	requests   *prometheus.CounterVec // by model and outcome
	tokens     prometheus.Counter
	resumes    prometheus.Counter
	moves      *prometheus.CounterVec // by outcome
	inFlight   prometheus.Gauge
	firstToken prometheus.Histogram // seconds since arrival
	added      prometheus.Histogram // seconds from arrival to the engine, without waiting for a replica
}

// newMetrics makes the metrics and registers them.
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
		added: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "martenwheel_gateway_added_seconds",
			Help:    "Time from arrival until the request was sent on, without waiting for a replica.",
			Buckets: prometheus.ExponentialBuckets(0.00002, 2, 15),
		}),
	}
	return m, m.register(registerer)
}

// register registers the metrics, unless registerer is nil.
func (m *metrics) register(registerer prometheus.Registerer) error {
	if registerer == nil {
		return nil
	}
	for _, collector := range []prometheus.Collector{m.requests, m.tokens, m.resumes, m.moves, m.inFlight, m.firstToken, m.added} {
		if err := registerer.Register(collector); err != nil {
			return errors.Wrap(err, "gateway: register metrics")
		}
	}
	return nil
}

// observe counts a request that ended at now. Models that the settings don't
// have get no label, since callers make up their names.
func (m *metrics) observe(c *call, outcome string, now time.Time) {
	m.inFlight.Dec()
	m.requests.WithLabelValues(string(c.model.Name), outcome).Inc()
	m.tokens.Add(float64(c.record.tokens))
	if !c.firstEvent.IsZero() {
		m.firstToken.Observe(c.firstEvent.Sub(c.record.arrived).Seconds())
	}
	if c.attempts == 1 {
		m.added.Observe((c.record.sentAt.Sub(c.record.arrived) - c.record.waited).Seconds())
	}
}
