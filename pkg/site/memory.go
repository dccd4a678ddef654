package site

import (
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/memory"
)

// answersShare is the part of the process's memory that answers may take which are held until they are whole.
const answersShare = 0.125

// newBudget returns a budget of a part of the process's memory, and registers its metrics.
func (s *Site) newBudget(of string, share float64) *memory.Budget {
	b := &memory.Budget{Limit: int64(share * float64(s.Memory))}
	labels := prometheus.Labels{"of": of}
	s.Registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "martenwheel", Name: "held_bytes", Help: "Bytes that requests hold of their budget.", ConstLabels: labels,
		}, func() float64 { return float64(b.Usage().Used) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "martenwheel", Name: "held_bytes_most", Help: "The most bytes that requests held of their budget at once.", ConstLabels: labels,
		}, func() float64 { return float64(b.Usage().Most) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "held_bytes_refused_total", Help: "How often the budget had no room.", ConstLabels: labels,
		}, func() float64 { return float64(b.Usage().Refused) }),
	)
	return b
}
