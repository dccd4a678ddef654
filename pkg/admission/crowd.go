package admission

import (
	"cmp"
	"slices"
	"time"
)

// When a model counts as crowded.
const (
	// crowdShare is the part of the target of those that wait which the reading of what is before
	// them takes at the model's replicas, in the mean, from which on it is crowded. With half of it a
	// request finds the other half for its own prompt and the first tokens, and is late if it meets
	// the fuller one of two replicas, which no node can tell.
	crowdShare = 0.5
	// calmShare is the part below which the model is calm: well below crowdShare, or it would be
	// crowded and calm in turn.
	calmShare = 0.2
	// crowdWaiting is how many requests wait at each replica of a crowded model, at least: with
	// less than two there is nobody to put in order.
	crowdWaiting = 2.0
	// crowdTime is how long a crowd has to last: a few requests that come together are read within
	// it, and what nodes told a moment ago may be over.
	crowdTime = 400 * time.Millisecond
	// calmTime is how long a model has to be calm: crowds come back, and each change is told to
	// all nodes.
	calmTime = 3 * time.Second
	// mostCrowds bounds the models that nodes are told of.
	mostCrowds = 64
)

// crowd is what is known of a model that is or was crowded.
type crowd struct {
	key      Key
	on       bool
	load     float64   // share of the target that what is unread takes
	fullFrom time.Time // since when it meets the bounds of a crowd; zero: it does not
	busyAt   time.Time // when it was last not calm
	promised time.Time // until when the room is promised to refused requests that come back
}

// crowd returns what is known of a model's crowd, made if it is new. The caller holds mu.
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
	waiting int           // requests
	targets time.Duration // sum of theirs
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
	mean     time.Duration // that one of them takes to read it
}

// unread returns what servers have to read, with that of those that wait for them.
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
