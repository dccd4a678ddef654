package quota

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"
)

// byRoutes is the scheme of this package for a tenant whose requests take several routes, each
// node asking with what it spent.
type byRoutes struct {
	*reporting
	random *rand.Rand
}

func newByRoutes(t testing.TB, l load) *byRoutes {
	return &byRoutes{newReporting(t, l, false), rand.New(rand.NewPCG(11, 12))}
}

// request is one of a route at random: one in ten of the most urgent, five of the least.
func (s *byRoutes) request(cost float64) Request {
	r := Request{Amount: cost, Returns: time.Second} // nobody comes back in this play
	binary.LittleEndian.PutUint64(r.Mark[:], s.random.Uint64())
	switch n := s.random.IntN(10); {
	case n < 1:
		r.Route = "urgent"
	case n < 5:
		r.Route, r.Priority = "usual", 1
	default:
		r.Route, r.Priority = "least", 3
	}
	return r
}

func (s *byRoutes) admit(now time.Time, node int, cost float64) bool {
	l, r := &s.ledgers[node], s.request(cost)
	verdict, _ := l.LookFor(now, s.one(), &r)
	if verdict == Admit || verdict == Refuse {
		return verdict == Admit
	}
	s.asked++
	if !s.reaches(now, node) {
		l.Unanswered(now)
		return s.admitAlone(now, node, r)
	}
	if s.reported[node] {
		for _, spent := range l.ReportOf(s.one()) {
			s.pool.SpentBy(now, s.one(), spent, false)
		}
	}
	answer := s.pool.DrawFor(now, s.one(), r)
	l.Answered(now, s.one(), r, answer)
	return answer.Granted
}

func (s *byRoutes) admitAlone(now time.Time, node int, r Request) bool {
	l := &s.ledgers[node]
	if s.load.all || s.load.cut(node, now.Sub(time.Unix(1000, 0))) {
		return l.GoAloneFor(now, s.one(), r, s.load.nodes).Granted
	}
	answer := s.deputized.GoAloneFor(now, s.one(), r, 1)
	if answer.Granted {
		l.LentFor(s.one(), r)
	}
	return answer.Granted
}

func (s *byRoutes) beat(now time.Time, node int) {
	for _, spent := range s.ledgers[node].Report() {
		s.pool.SpentBy(now, s.one(), spent, !s.reported[node])
	}
	s.reporting.beat(now, node)
}

// TestQUOTAOfAllNodesByRoutes is TestQUOTAOfAllNodes for a tenant whose quota is divided.
func TestQUOTAOfAllNodesByRoutes(t *testing.T) {
	for _, l := range loads() {
		var worst outcome
		for seed := range uint64(8) {
			got := play(newByRoutes(t, l), l, seed)
			worst.peak = max(worst.peak, got.peak)
			worst.vain += got.vain / 8
			worst.message += got.message / 8
		}
		t.Logf("%-34s %.2f %.3f %4.0f", l.name, worst.peak, worst.vain, worst.message)
		if worst.peak > 1 {
			t.Errorf("%s: a window has %.2f of what may run", l.name, worst.peak)
		}
		if l.hot == 1 && l.lost == 0 && worst.vain > 0.01 {
			t.Errorf("%s: %.3f of what is owed was refused", l.name, worst.vain)
		}
	}
}
