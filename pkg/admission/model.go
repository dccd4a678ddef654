package admission

import (
	"slices"
	"sync"
	"time"
)

// ablation switches off parts of the decision in tests. The zero value is what production uses.
type ablation struct {
	byPatience bool // go by when callers give up, not by when requests are late
	noMemory   bool // ignore the bound by the servers' memory
	noHeadroom bool // keep no headroom for more urgent requests
}

// Model is the holder's knowledge of the overloaded servers. Set the fields before the first use.
// It is safe for concurrent use.
type Model struct {
	// Engine returns the properties of a server, and false if the server is unknown.
	Engine func(server string) (Engine, bool)

	mu         sync.Mutex
	ablation   ablation
	learnUntil time.Time // nothing is decided before this time
	servers    map[string]*server
	places     map[string]map[uint64]*placeAt // by node
	waiting    map[Place]*waiter
	overloads  map[Key]*overload
}

// placeAt is a place with its server.
type placeAt struct {
	*place
	server string
}

// grantedAfter reports whether the place was granted here after its request was sent at the given
// time. A report on that earlier send is outdated.
func (p *place) grantedAfter(sent time.Time) bool {
	return p.expected > 0 && p.sent.Sub(sent) > time.Millisecond
}

// learnTime is the time within which all nodes report to a new holder what runs.
const learnTime = 1200 * time.Millisecond

// Begin resets the model when this node begins to decide, since its knowledge is older than that of
// the previous holder. Nothing is decided before all nodes had time to report their requests.
func (m *Model) Begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.learnUntil = now.Add(learnTime)
	m.servers = make(map[string]*server)
	m.places = make(map[string]map[uint64]*placeAt)
	m.waiting = make(map[Place]*waiter)
	m.overloads = make(map[Key]*overload)
}

// server returns the state of a server, nil if the server is unknown. The caller holds mu.
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

// addPlace records a place on a server. The caller holds mu.
func (m *Model) addPlace(name string, s *server, p *place) {
	s.add(p)
	of := m.places[p.key.Node]
	if of == nil {
		of = make(map[uint64]*placeAt)
		m.places[p.key.Node] = of
	}
	of[p.key.ID] = &placeAt{p, name}
}

// forget removes a place, or a waiter. The caller holds mu.
func (m *Model) forget(key Place) {
	if w := m.waiting[key]; w != nil {
		delete(m.waiting, key)
		if s := m.servers[w.server]; s != nil {
			s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
		}
	}
	if h := m.places[key.Node][key.ID]; h != nil {
		m.freePlace(h)
	}
}

// freePlace removes a place. The caller holds mu.
func (m *Model) freePlace(h *placeAt) {
	delete(m.places[h.key.Node], h.key.ID)
	if len(m.places[h.key.Node]) == 0 {
		delete(m.places, h.key.Node)
	}
	if s := m.servers[h.server]; s != nil {
		s.remove(h.place)
	}
}

// unreportedGrace is the time after which a place that its node no longer reports counts as free. A
// report may cross a verdict that is on its way to the node.
const unreportedGrace = 1500 * time.Millisecond

// AddReports adds the reports of a node. With whole set, these are all requests of the node, and
// its other places are free after unreportedGrace. It returns one error for each implausible
// report.
func (m *Model) AddReports(now time.Time, node string, list []Report, whole bool) []error {
	m.mu.Lock()
	defer m.mu.Unlock()
	var errs []error
	for i := range list {
		if err := m.addReport(now, node, &list[i]); err != nil {
			errs = append(errs, err)
		}
	}
	if whole {
		for _, h := range m.places[node] {
			if now.Sub(h.lastReport) > unreportedGrace {
				m.freePlace(h)
			}
		}
	}
	return errs
}

// addReport adds one report. The caller holds mu.
func (m *Model) addReport(now time.Time, node string, r *Report) error {
	if !r.Valid() {
		return ErrReport
	}
	key := Place{node, r.ID}
	if r.Server == "" {
		m.forget(key)
		return nil
	}
	s := m.server(r.Server)
	if s == nil {
		m.forget(key)
		return ErrServer
	}
	s.lastReport = now
	h := m.places[node][r.ID]
	if h != nil && h.grantedAfter(now.Add(-r.Sent)) {
		return nil // outdated: about an earlier send of the request
	}
	if h != nil && h.server != r.Server {
		m.freePlace(h)
		h = nil
	}
	if h == nil {
		h = m.learnPlace(now, key, s, r)
	}
	h.lastReport = now
	if h.first.IsZero() && r.First > 0 {
		s.answered(now, h.place, r.First)
	}
	if r.Ended {
		s.ended(h.place, now)
		m.freePlace(h)
	}
	return nil
}

// learnPlace adds a place that this model did not grant.
func (m *Model) learnPlace(now time.Time, key Place, s *server, r *Report) *placeAt {
	p := &place{key: key, model: r.Key, need: r.Need, rank: r.Rank, target: r.Target, sent: now.Add(-r.Sent),
		work: s.prefillTokens(now, r.Need, r.Work), memory: r.Work.memory(), out: r.Work.Out, fullWork: r.Work,
		deadline: now.Add(r.Left + maxReportDelay)}
	m.addPlace(r.Server, s, p)
	s.updateProfile(now, r.Rank, r.Target, p.work)
	s.noteServed(p.sent, r.Rank)
	return m.places[key.Node][key.ID]
}

// NodeGone frees the places of a node.
func (m *Model) NodeGone(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.places[node] {
		m.freePlace(h)
	}
}

// serverTTL is the time after which a server without reports is forgotten.
const serverTTL = time.Minute

// Expire removes places past their deadline, waiters that did not ask again, and
// servers that are gone.
func (m *Model) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, of := range m.places {
		for _, h := range of {
			if _, known := m.Engine(h.server); !known || now.After(h.deadline) {
				m.freePlace(h)
			}
		}
	}
	for key, w := range m.waiting {
		if now.After(w.until) {
			m.forget(key)
		}
	}
	for name, s := range m.servers {
		_, known := m.Engine(name)
		if !known || len(s.places)+len(s.waiters) == 0 && now.Sub(s.lastReport) > serverTTL {
			delete(m.servers, name)
		}
	}
}
