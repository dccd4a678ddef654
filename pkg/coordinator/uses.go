package coordinator

import (
	"time"

	"martenwheel.dev/pkg/backend"
)

// Arrived counts a request for a model.
func (m *Member) Arrived(service string, n backend.Need) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.arrivals == nil {
		m.arrivals = make(map[demandKey]int)
	}
	m.arrivals[demandKey{service, n.Model}]++
	if n.Adapter != "" {
		m.arrivals[demandKey{service, n.String()}]++
	}
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
	for key, n := range m.arrivals {
		of(key).Arrivals = n
		m.rate(key).add(now, n)
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
