package admission

import (
	"slices"
	"sync"
	"time"
)

// ways are parts of the decision that tests take away; the zero value is the one in use.
type ways struct {
	patience bool // go by when callers leave, not by when they are late
	noMemory bool // no bound by servers' memory
	noRoom   bool // none is kept for the more urgent
}

// Model is what one node believes of the crowded servers. Set the fields before the first use.
// Safe for concurrent use.
type Model struct {
	// Engine tells of a server, false if there is no such one.
	Engine func(server string) (Engine, bool)

	mu         sync.Mutex
	ways       ways
	learnUntil time.Time // before it nothing is decided
	servers    map[string]*server
	places     map[string]map[uint64]*held // by node
	waiting    map[Place]*waiter
	crowds     map[Key]*crowd
}

// held is a place and where it is.
type held struct {
	*place
	server string
}

// grantedAfter tells whether the place was granted here after its request was sent at a time: news
// of that send is late, then.
func (p *place) grantedAfter(sent time.Time) bool {
	return p.expected > 0 && p.sent.Sub(sent) > time.Millisecond
}

// learnTime is the time within which a model that begins hears from all nodes what runs.
const learnTime = 1200 * time.Millisecond

// Begin forgets everything, as this node begins to decide: what it believes is older than what
// another one knew until now. Nothing is decided before all nodes had time to tell what they have.
func (m *Model) Begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learnUntil = now.Add(learnTime)
	m.servers = make(map[string]*server)
	m.places = make(map[string]map[uint64]*held)
	m.waiting = make(map[Place]*waiter)
	m.crowds = make(map[Key]*crowd)
}

// server returns a server, nil if there is no such one. The caller holds mu.
func (m *Model) server(name string) *server {
	engine, known := m.Engine(name)
	if !known {
		return nil
	}
	s := m.servers[name]
	if s == nil {
		s = &server{}
		m.servers[name] = s
	}
	s.engine = engine
	return s
}

// put notes a place at a server. The caller holds mu.
func (m *Model) put(name string, s *server, p *place) {
	s.add(p)
	of := m.places[p.key.Node]
	if of == nil {
		of = make(map[uint64]*held)
		m.places[p.key.Node] = of
	}
	of[p.key.ID] = &held{p, name}
}

// drop forgets a place, or a wait for one. The caller holds mu.
func (m *Model) drop(key Place) {
	if w := m.waiting[key]; w != nil {
		delete(m.waiting, key)
		if s := m.servers[w.server]; s != nil {
			s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
		}
	}
	if h := m.places[key.Node][key.ID]; h != nil {
		m.free(h)
	}
}

// free forgets a place. The caller holds mu.
func (m *Model) free(h *held) {
	delete(m.places[h.key.Node], h.key.ID)
	if len(m.places[h.key.Node]) == 0 {
		delete(m.places, h.key.Node)
	}
	if s := m.servers[h.server]; s != nil {
		s.remove(h.place)
	}
}

// lostTime is the time after which a place that its node no longer tells of counts as free: a
// verdict that is on its way to the node may cross what the node tells.
const lostTime = 1500 * time.Millisecond

// Told takes in what a node tells; whole means that these are all requests that it has, so that
// its other places are free, see lostTime. It returns one error for each report that can't be
// believed.
func (m *Model) Told(now time.Time, node string, list []Report, whole bool) []error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var faults []error
	for i := range list {
		if err := m.tell(now, node, &list[i]); err != nil {
			faults = append(faults, err)
		}
	}
	if whole {
		for _, h := range m.places[node] {
			if now.Sub(h.heard) > lostTime {
				m.free(h)
			}
		}
	}
	return faults
}

// tell takes in one report. The caller holds mu.
func (m *Model) tell(now time.Time, node string, r *Report) error {
	if !r.Valid() {
		return ErrReport
	}
	key := Place{node, r.ID}
	if r.Server == "" {
		m.drop(key)
		return nil
	}
	s := m.server(r.Server)
	if s == nil {
		m.drop(key)
		return ErrServer
	}
	s.heard = now
	h := m.places[node][r.ID]
	if h != nil && h.grantedAfter(now.Add(-r.Sent)) {
		return nil // late news of an earlier send of the request
	}
	if h != nil && h.server != r.Server {
		m.free(h)
		h = nil
	}
	if h == nil {
		h = m.learn(now, key, s, r)
	}
	h.heard = now
	if h.first.IsZero() && r.First > 0 {
		s.answered(now, h.place, r.First)
	}
	if r.Ended {
		s.ended(h.place, now)
		m.free(h)
	}
	return nil
}

// learn takes in a place that was not granted here.
func (m *Model) learn(now time.Time, key Place, s *server, r *Report) *held {
	p := &place{key: key, model: r.Key, need: r.Need, rank: r.Rank, target: r.Target, sent: now.Add(-r.Sent),
		work: s.toRead(now, r.Need, r.Work), memory: r.Work.memory(), out: r.Work.Out, whole: r.Work,
		dies: now.Add(r.Left + newsDelay)}
	m.put(r.Server, s, p)
	s.profileOf(now, r.Rank, r.Target, p.work)
	s.serves(p.sent, r.Rank)
	return m.places[key.Node][key.ID]
}

// NodeGone frees what a node has.
func (m *Model) NodeGone(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.places[node] {
		m.free(h)
	}
}

// forgetTime is the time after which a server that nothing is told of is forgotten.
const forgetTime = time.Minute

// Expire forgets what is over: places past their deadline, waiters that did not ask again,
// servers that are gone.
func (m *Model) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, of := range m.places {
		for _, h := range of {
			if _, known := m.Engine(h.server); !known || now.After(h.dies) {
				m.free(h)
			}
		}
	}
	for key, w := range m.waiting {
		if now.After(w.until) {
			m.drop(key)
		}
	}
	for name, s := range m.servers {
		_, known := m.Engine(name)
		if !known || len(s.places)+len(s.waiters) == 0 && now.Sub(s.heard) > forgetTime {
			delete(m.servers, name)
		}
	}
}
