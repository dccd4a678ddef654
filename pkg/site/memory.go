package site

import (
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/memory"
)

// Parts of the process's memory.
const (
	answersShare = 0.125  // for answers that are held until they are whole
	bodiesShare  = 0.125  // for bodies of requests
	headsShare   = 0.0625 // for heads of requests
)

// The part of the memory for bodies, and for heads, that is left to small ones, and what those hold in bytes.
const (
	spareShare = 0.25
	smallBody  = 256 << 10
	smallHead  = 16 << 10
)

// serviceFactor limits what answers of one service hold to so many times what nobody holds: three quarters of the budget
// for a service alone, and a part that no service holds for those that come later.
const serviceFactor = 3

// newAnswers returns the budget of answers, which services share.
func (s *Site) newAnswers() *memory.Budget {
	b := s.newBudget("answers", answersShare)
	b.GroupFactor = serviceFactor
	return b
}

// newBodies returns the budget of requests' bodies.
func (s *Site) newBodies() *memory.Budget {
	b := s.newBudget("bodies", bodiesShare)
	b.Spare, b.Small = int64(spareShare*float64(b.Limit)), smallBody
	s.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "martenwheel", Name: "bodies_yielded_total", Help: "Bodies that had stalled and gave way to others.",
	}, func() float64 { return float64(b.Usage().Yielded) }))
	return b
}

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
