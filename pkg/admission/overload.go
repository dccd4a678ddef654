package admission

import (
	"cmp"
	"slices"
	"time"
)

// When a model counts as overloaded.
const (
	// overloadShare is the threshold at which a model is overloaded: the mean time that its
	// replicas take to read what is pending, as a part of the waiting requests' target. At half of
	// the target, a request finds the other half for its own prompt and the first tokens. It is
	// late if it meets the fuller one of two replicas, which no node can know.
	overloadShare = 0.5
	// calmShare is the threshold below which the model is calm. It is well below overloadShare, or
	// the model would change between overloaded and calm repeatedly.
	calmShare = 0.2
	// overloadWaiting is the least number of waiting requests per replica of an overloaded model.
	// With fewer than two there is nothing to put in order.
	overloadWaiting = 2.0
	// overloadDelay is how long the thresholds must be exceeded. A few requests that come together
	// are read within this time, and reports from a moment ago may be outdated.
	overloadDelay = 400 * time.Millisecond
	// calmTime is how long a model must be calm for its overload to end. Overloads come back, and
	// each change is sent to all nodes.
	calmTime = 3 * time.Second
	// maxOverloaded bounds the models that are reported to nodes.
	maxOverloaded = 64
)

// overload is the state of a model that is or was overloaded.
type overload struct {
	key           Key
	active        bool
	load          float64   // pending work as a part of the target
	exceededSince time.Time // since when the thresholds are exceeded; zero if they are not
	lastBusy      time.Time // when the model was last not calm
	reservedUntil time.Time // until when capacity is reserved for refused requests that come back
}

// overload returns the overload state of a model and creates it if needed. The caller holds mu.
func (m *Model) overload(key Key) *overload {
	o := m.overloads[key]
	if o == nil {
		o = &overload{key: key}
		m.overloads[key] = o
	}
	return o
}

// demand is what waits for a model's replicas.
type demand struct {
	waiting int           // number of requests
	targets time.Duration // sum of their targets
}

// Overloaded returns the overloaded models, the most overloaded first. replicas returns the servers
// of a model.
func (m *Model) Overloaded(now time.Time, replicas func(Key) []string) []Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	demands := m.demands()
	for key := range demands {
		m.overload(key)
	}
	var list []*overload
	for key, o := range m.overloads {
		d, b := demands[key], backlog{}
		if o.active || float64(d.waiting) >= overloadWaiting { // otherwise it can't be overloaded, whatever is pending
			b = m.backlog(now, replicas(key))
		}
		o.update(now, d, b)
		switch {
		case o.active:
			list = append(list, o)
		case d.waiting == 0 && now.After(o.reservedUntil):
			delete(m.overloads, key)
		}
	}
	slices.SortFunc(list, func(a, b *overload) int { return cmp.Compare(b.load, a.load) })
	keys := make([]Key, 0, min(len(list), maxOverloaded))
	for _, o := range list[:min(len(list), maxOverloaded)] {
		keys = append(keys, o.key)
	}
	return keys
}

// demands returns, by model, the requests that have a place or wait for one and have no first event
// yet.
func (m *Model) demands() map[Key]demand {
	demands := make(map[Key]demand)
	add := func(key Key, target time.Duration) {
		d := demands[key]
		demands[key] = demand{d.waiting + 1, d.targets + target}
	}
	for _, s := range m.servers {
		for _, p := range s.places {
			if p.first.IsZero() {
				add(p.model, p.target)
			}
		}
		for _, w := range s.waiters {
			add(w.model, w.target)
		}
	}
	return demands
}

// backlog is what replicas have to read.
type backlog struct {
	replicas int
	mean     time.Duration // mean time that a replica takes to read it
}

// backlog returns what servers have to read, including the requests that wait for them.
func (m *Model) backlog(now time.Time, servers []string) backlog {
	var sum time.Duration
	for _, name := range servers {
		s := m.servers[name]
		if s == nil {
			continue
		}
		l := s.load(now)
		sum += duration(l.pending, l.speed)
		for _, w := range s.waiters {
			if now.Before(w.until) {
				sum += duration(w.work, l.speed)
			}
		}
	}
	return backlog{len(servers), sum / time.Duration(max(len(servers), 1))}
}

// update decides whether the model is overloaded.
func (o *overload) update(now time.Time, d demand, b backlog) {
	o.load = 0
	if d.waiting > 0 && b.replicas > 0 {
		o.load = float64(b.mean) / float64(max(d.targets/time.Duration(d.waiting), time.Millisecond))
	}
	if o.load >= calmShare {
		o.lastBusy = now
	}
	full := o.load >= overloadShare && float64(d.waiting) >= overloadWaiting*float64(b.replicas)
	switch {
	case !full:
		o.exceededSince = time.Time{}
	case o.exceededSince.IsZero():
		o.exceededSince = now
	}
	switch {
	case !o.active && full && now.Sub(o.exceededSince) >= overloadDelay:
		o.active = true
	case o.active && now.Sub(o.lastBusy) > calmTime:
		o.active = false
	}
}
