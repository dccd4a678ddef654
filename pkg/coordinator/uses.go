package coordinator

import (
	"time"

	"martenwheel.dev/pkg/backend"
)

// arrivals are the requests for a model since the last beat.
type arrivals struct {
	count  int
	target time.Duration // the shortest of their routes; zero: not known
}

// Arrived counts a request for a model that is worth most within a target.
func (m *Member) Arrived(service string, n backend.Need, target time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.arrivals == nil {
		m.arrivals = make(map[demandKey]arrivals)
	}
	m.arrived(demandKey{service, n.Model}, target)
	if n.Adapter != "" {
		m.arrived(demandKey{service, n.String()}, target)
	}
}

// arrived counts a request. The caller holds mu.
func (m *Member) arrived(key demandKey, target time.Duration) {
	a := m.arrivals[key]
	a.count++
	if a.target == 0 || target < a.target {
		a.target = target
	}
	m.arrivals[key] = a
}

// uses returns what this node serves, and starts to count anew. A holder that is
// new to this node is told the rates of what came before.
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
		perSecond := r.at(now)
		if perSecond < leastRate {
			delete(m.rates, key)
		} else if record.Term != m.toldTerm {
			of(key).Rate = perSecond
		}
	}
	for key, a := range m.arrivals {
		of(key).Arrivals, of(key).Target = a.count, a.target
		m.rate(key).add(now, a.count)
	}
	m.arrivals = nil
	m.mu.Unlock()
	for _, s := range m.Servers.Snapshot().Members() {
		s.EachRunning(func(model string, n int) {
			of(demandKey{s.Service, model}).InFlight += n
		})
	}
	list := make([]Use, 0, len(uses))
	for _, u := range uses {
		list = append(list, *u)
	}
	return list
}

// rate returns the rate of a model, made if there is none. The caller holds mu.
func (m *Member) rate(key demandKey) *rate {
	if m.rates == nil {
		m.rates = make(map[demandKey]*rate)
	}
	r := m.rates[key]
	if r == nil {
		r = &rate{}
		m.rates[key] = r
	}
	return r
}
