package admission

import (
	"cmp"
	"slices"
	"time"
)

// When a model counts as crowded: what is unread at its replicas, in the mean, takes so much of
// the target of those that wait for it. Half of it: a request then finds the other half for its
// own prompt and the first tokens, and is late if it meets the fuller one of two replicas, which
// no node can tell. With less than two that wait at each replica there is nobody to put in order.
const (
	crowdShare   = 0.5
	calmShare    = 0.2
	crowdWaiting = 2.0
	// crowdTime is for how long it has to last: a few requests that come together are read within
	// it, and what nodes told a moment ago may be over.
	crowdTime = 400 * time.Millisecond
	// calmTime is how long a model has to be calm: crowds come back, and each change is told to
	// all nodes.
	calmTime = 3 * time.Second
	// mostCrowds bounds what nodes are told of.
	mostCrowds = 64
)

// crowd is what is known of a model that is or was crowded.
type crowd struct {
	key      Key
	on       bool
	load     float64   // share of the target that what is unread takes
	fullFrom time.Time // since when it is as a crowd is; zero: it is not
	busyAt   time.Time // when it was last not calm
	promised time.Time // until when the room is promised to refused requests that come back
}

func (m *Model) crowd(key Key) *crowd {
	c := m.crowds[key]
	if c == nil {
		c = &crowd{key: key}
		m.crowds[key] = c
	}
	return c
}

// demand is what waits for a model's replicas.
type demand struct {
	waiting int
	targets time.Duration // sum
}

// Crowded returns the models that are crowded, the most crowded first. Replicas tells the
// servers of a model.
func (m *Model) Crowded(now time.Time, replicas func(Key) []string) []Key {
	m.mu.Lock()
	defer m.mu.Unlock()
	demands := m.demands()
	for key := range demands {
		m.crowd(key)
	}
	var list []*crowd
	for key, c := range m.crowds {
		d, b := demands[key], backlog{}
		if c.on || float64(d.waiting) >= crowdWaiting { // else it is no crowd, whatever there is to read
			b = m.unread(now, replicas(key))
		}
		c.judge(now, d, b)
		switch {
		case c.on:
			list = append(list, c)
		case d.waiting == 0 && now.After(c.promised):
			delete(m.crowds, key)
		}
	}
	slices.SortFunc(list, func(a, b *crowd) int { return cmp.Compare(b.load, a.load) })
	keys := make([]Key, 0, min(len(list), mostCrowds))
	for _, c := range list[:min(len(list), mostCrowds)] {
		keys = append(keys, c.key)
	}
	return keys
}

// demands returns what has a place or waits for one and has no first event, by model.
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
	mean     time.Duration
}

func (m *Model) unread(now time.Time, servers []string) backlog {
	var sum time.Duration
	for _, name := range servers {
		s := m.servers[name]
		if s == nil {
			continue
		}
		l := s.load(now)
		sum += duration(l.unread, l.speed)
		for _, w := range s.waiters {
			if now.Before(w.until) {
				sum += duration(w.work, l.speed)
			}
		}
	}
	return backlog{len(servers), sum / time.Duration(max(len(servers), 1))}
}

// judge decides whether the model is crowded.
func (c *crowd) judge(now time.Time, d demand, b backlog) {
	c.load = 0
	if d.waiting > 0 && b.replicas > 0 {
		c.load = float64(b.mean) / float64(max(d.targets/time.Duration(d.waiting), time.Millisecond))
	}
	if c.load >= calmShare {
		c.busyAt = now
	}
	full := c.load >= crowdShare && float64(d.waiting) >= crowdWaiting*float64(b.replicas)
	switch {
	case !full:
		c.fullFrom = time.Time{}
	case c.fullFrom.IsZero():
		c.fullFrom = now
	}
	switch {
	case !c.on && full && now.Sub(c.fullFrom) >= crowdTime:
		c.on = true
	case c.on && now.Sub(c.busyAt) > calmTime:
		c.on = false
	}
}
