package quota

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"
)

// byRoutes is the strategy of this package for a tenant whose requests take several routes. Nodes
// report what they spent with each question.
type byRoutes struct {
	*reportingStrategy
	random *rand.Rand
}

func newByRoutes(t testing.TB, l load) *byRoutes {
	return &byRoutes{newReportingStrategy(t, l, false), rand.New(rand.NewPCG(11, 12))}
}

// request returns a request of a random route: one in ten of the most urgent route, five in ten of
// the least urgent.
func (s *byRoutes) request(cost float64) Request {
	r := Request{Amount: cost, Returns: time.Second} // no caller comes back in this simulation
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
	verdict, _ := l.DecideFor(now, s.theTenant(), &r)
	if verdict == Admit || verdict == Refuse {
		return verdict == Admit
	}
	s.asked++
	if !s.reaches(now, node) {
		l.Unanswered(now)
		return s.admitAlone(now, node, r)
	}
	if s.reported[node] {
		for _, spent := range l.ReportOf(s.theTenant()) {
			s.pool.SpentBy(now, s.theTenant(), spent, false)
		}
	}
	answer := s.pool.DrawFor(now, s.theTenant(), r)
	l.Answered(now, s.theTenant(), r, answer)
	return answer.Granted
}

func (s *byRoutes) admitAlone(now time.Time, node int, r Request) bool {
	l := &s.ledgers[node]
	if s.load.allLost || s.load.cut(node, now.Sub(time.Unix(1000, 0))) {
		return l.DecideAloneFor(now, s.theTenant(), r, s.load.nodes).Granted
	}
	answer := s.deputyLedger.DecideAloneFor(now, s.theTenant(), r, 1)
	if answer.Granted {
		l.DeputyGrantedFor(s.theTenant(), r)
	}
	return answer.Granted
}

func (s *byRoutes) heartbeat(now time.Time, node int) {
	for _, spent := range s.ledgers[node].Report() {
		s.pool.SpentBy(now, s.theTenant(), spent, !s.reported[node])
	}
	s.reportingStrategy.heartbeat(now, node)
}

// TestQUOTAOfAllNodesByRoutes is TestQUOTAOfAllNodes for a tenant whose quota is divided.
func TestQUOTAOfAllNodesByRoutes(t *testing.T) {
	for _, l := range loads() {
		var worst outcome
		for seed := range uint64(8) {
			got := simulate(newByRoutes(t, l), l, seed)
			worst.peak = max(worst.peak, got.peak)
			worst.wronglyRefused += got.wronglyRefused / 8
			worst.messages += got.messages / 8
		}
		t.Logf("%-34s %.2f %.3f %4.0f", l.name, worst.peak, worst.wronglyRefused, worst.messages)
		if worst.peak > 1 {
			t.Errorf("%s: a window has %.2f of what may run", l.name, worst.peak)
		}
		if l.hotFactor == 1 && l.lostAt == 0 && worst.wronglyRefused > 0.01 {
			t.Errorf("%s: %.3f of the requests within the quota were refused", l.name, worst.wronglyRefused)
		}
	}
}
