package coordinator

import (
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
)

// arrivals counts requests for a model since the last heartbeat.
type arrivals struct {
	count  int
	weight float64
}

// RequestArrived counts a request for a model; priority 0 is the most urgent.
func (m *Member) RequestArrived(service string, n backend.Need, priority int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.arrive(demandKey{service, n.Model}, priority)
	if n.Adapter != "" {
		m.arrive(demandKey{service, n.String()}, priority)
	}
}

// arrive counts a request. The caller holds mu.
func (m *Member) arrive(key demandKey, priority int) {
	if m.arrivals == nil {
		m.arrivals = make(map[demandKey]arrivals)
	}
	a := m.arrivals[key]
	m.arrivals[key] = arrivals{a.count + 1, a.weight + policy.UrgencyWeight(priority)}
}

// uses returns what this node serves, and resets the counts. If this node has not reported to the holder before, it
// includes the rates of earlier arrivals.
func (m *Member) uses(now time.Time) []Use {
	uses := make(map[demandKey]*Use)
	of := func(key demandKey) *Use {
		u := uses[key]
		if u == nil {
			u = &Use{Service: key.service, Model: key.need}
			uses[key] = u
		}
		return u
	}
	record, _ := m.Lease.Current()
	m.mu.Lock()
	for key, r := range m.rates {
		perSecond := r.count.at(now)
		if perSecond < minRate {
			delete(m.rates, key)
		} else if record.Term != m.ratesTerm {
			of(key).Rate, of(key).WeightedRate = perSecond, r.weight.at(now)
		}
	}
	for key, a := range m.arrivals {
		of(key).Arrivals, of(key).Weight = a.count, a.weight
		m.rate(key).add(now, a)
	}
	m.arrivals = nil
	m.mu.Unlock()
	for _, s := range m.Servers.Snapshot().Members() {
		s.EachRunning(func(model string, n int) {
			u := of(demandKey{s.Service, model})
			u.Running = append(u.Running, Running{s.ID, n})
		})
	}
	list := make([]Use, 0, len(uses))
	for _, u := range uses {
		list = append(list, *u)
	}
	return list
}

// rate returns the rates of a model, creating them if needed. The caller holds mu.
func (m *Member) rate(key demandKey) *rates {
	if m.rates == nil {
		m.rates = make(map[demandKey]*rates)
	}
	r := m.rates[key]
	if r == nil {
		r = &rates{}
		m.rates[key] = r
	}
	return r
}
