package coordinator

import (
	"iter"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/revision"
)

// serverState is what the holder knows of one life of a server.
type serverState struct {
	id         string
	member     *backend.Member   // nil: gone
	removed    bool              // the platform does not list it any more
	sequence   uint64            // orders that it has surely taken
	version    revision.Revision // of the record that was taken in
	holds      map[string]*holding
	cached     map[string]tier // copies of weights near it
	quietUntil time.Time       // orders of another holder may have just come
	recheck    bool            // it is to be asked once more after that
	asking     bool            // an order or a report is under way
	reportAt   time.Time       // when to look at it
	shortUntil time.Time       // it turns requests away, by its limit or for a rest
	unsure     bool            // the number of its orders is to be asked for
	untouched  bool            // it got no order of this term: it is neither asked nor guarded before one
	failures   int             // calls without an answer, in a row
	busy       *operation      // the load or unload of a model
	inherited  lease.Intent    // the last order of an earlier holder
	mayCome    uint64          // earlier holders gave it orders up to this number
	guarded    bool            // late orders of the last holder may change it
	doubt      *order          // without an answer; only the same may follow
	repeat     bool            // the order in doubt was not taken yet, by a report
	avoidUntil time.Time       // it refused an order
	goneUntil  time.Time       // it refused a connection
	reserved   reservation
	acceptedAt time.Time // of the last order; reports lag behind it
	lives      *instance // what all lives of the server share
}

// holding is a model on a server.
type holding struct {
	since    time.Time
	adapters map[string]time.Time // when last used
	arriving map[string]time.Time // adapters on their way, until
}

// tier is where a copy of weights lies.
type tier = engine.CacheTier

const (
	onDisk   = engine.TierDisk
	inMemory = engine.TierMemory
)

// operation is an order that is being carried out.
type operation struct {
	order
	since   time.Time
	readyAt time.Time     // expected
	fetch   bool          // from the weight store
	beside  int           // loads from the weight store under way when it began, itself among them; zero: not known
	told    time.Duration // that the site tells for the load
}

// server returns the state of a server, made if it is new.
func (h *Holder) server(id string) *serverState {
	s := h.servers[id]
	if s == nil {
		s = &serverState{id: id, lives: h.instance(id), guarded: h.guarding, quietUntil: h.quietUntil, holds: make(map[string]*holding), cached: make(map[string]tier)}
		h.servers[id] = s
	}
	return s
}

// serversOf yields the servers of a service that the platform lists.
func (h *Holder) serversOf(service string) iter.Seq[*serverState] {
	return func(yield func(*serverState) bool) {
		for _, s := range h.servers {
			if s.member != nil && s.member.Service == service && !yield(s) {
				return
			}
		}
	}
}

// rest returns how long a server is left alone after failures in a row.
func (s *serverState) rest() time.Duration {
	return time.Duration(min(s.failures, mostRests)) * reportPause
}

// mostRests bounds rest, in pauses.
const mostRests = 8

// learn takes in the newest records of the servers. Records lag and don't tell
// how many orders a server has taken, so they only add to what it is believed to
// hold; when one lacks something, the server is asked.
func (h *Holder) learn(now time.Time) {
	snapshot := h.Servers.Snapshot()
	for id, m := range snapshot.Members() {
		s := h.server(id)
		fresh := s.member == nil
		s.member = m
		if fresh {
			s.begin(now)
			h.learnOf(now, s)
		}
		if m.Server.Version == s.version && !fresh {
			continue
		}
		s.version = m.Server.Version
		if now.Sub(s.acceptedAt) > recordLag {
			s.cache(m.InMemory, m.OnDisk)
		}
		for i := range m.Models {
			s.add(now, &m.Models[i])
		}
		if s.untouched {
			s.forget(m.Models) // nobody but the last holder, which is over, can have changed it
			continue
		}
		if len(m.Models) < len(s.holds) && s.busy == nil && !s.unsure {
			s.unsure, s.reportAt = true, now.Add(recordLag)
		}
		// A younger load may be of a model that the record shows from before.
		if s.busy != nil && s.busy.load && now.Sub(s.busy.since) > recordLag {
			h.settle(now, s, func(name string) bool { return m.Holds(backend.Need{Model: name}) })
		}
	}
	for id, s := range h.servers {
		if snapshot.Member(id) == nil && s.member != nil {
			h.loseLoad(now, s)
			s.removed = true // an index may list it still
			delete(h.servers, id)
		}
	}
}

// forget has an untouched server hold what its record tells alone.
func (s *serverState) forget(models []backend.Holding) {
	for name := range s.holds {
		if !slices.ContainsFunc(models, func(m backend.Holding) bool { return m.Model == name }) {
			delete(s.holds, name)
		}
	}
}

// mostAskedAtOnce is how many servers a new holder asks at once how many orders they took: all of a small
// site, so that the first orders find them known. Of thousands few get an order in a term, and each
// question is a new connection: the others are asked right before their first one.
const mostAskedAtOnce = 256

// learnOf takes in a server that the holder did not know.
func (h *Holder) learnOf(now time.Time, s *serverState) {
	if h.learned++; h.learned > mostAskedAtOnce && !s.recheck && s.inherited == (lease.Intent{}) {
		s.untouched = true
		return
	}
	s.ask(now)
}

// ask has a server asked for the number of its orders and what it holds.
func (s *serverState) ask(now time.Time) { s.untouched, s.unsure, s.reportAt = false, true, now }

// prepare prepares an untouched server for its first order, which follows once it was asked and, if
// late orders of the last holder may come, sees this holder's fence. It returns whether the order
// may go out now.
func (h *Holder) prepare(now time.Time, s *serverState) bool {
	if !s.untouched {
		return true
	}
	s.ask(now)
	h.planSoon = true
	return false
}

// recordLag is how far the record of a server may lie behind.
const recordLag = 2 * time.Second

// add notes that a server holds a model with adapters.
func (s *serverState) add(now time.Time, m *backend.Holding) *holding {
	known := s.holds[m.Model]
	if known == nil {
		known = &holding{since: now, adapters: make(map[string]time.Time), arriving: make(map[string]time.Time)}
		s.holds[m.Model] = known
	}
	for _, name := range m.Adapters {
		if _, has := known.adapters[name]; !has {
			known.adapters[name] = now
		}
		delete(known.arriving, name)
	}
	return known
}

// take takes in a server's own word on what it holds after so many orders.
func (h *Holder) take(now time.Time, s *serverState, r Report) {
	s.sequence = r.Sequence
	listed := make(map[string]bool, len(r.Models))
	for i := range r.Models {
		m := &r.Models[i]
		listed[m.Model] = true
		known := s.add(now, m)
		for name := range known.adapters {
			if !slices.Contains(m.Adapters, name) && now.After(known.arriving[name]) {
				delete(known.adapters, name)
			}
		}
	}
	for name := range s.holds {
		if !listed[name] {
			delete(s.holds, name)
		}
	}
	for _, need := range r.Arriving {
		if known := s.holds[need.Model]; known != nil && !now.Before(known.arriving[need.Adapter]) {
			known.arriving[need.Adapter] = now.Add(arriveTime) // ordered by an earlier holder
		}
	}
	if s.busy != nil && (s.busy.load || !r.Busy && s.sequence >= s.busy.after) {
		h.settle(now, s, func(name string) bool { return listed[name] })
	}
}

// settle ends the operation that what the server holds shows to be done.
func (h *Holder) settle(now time.Time, s *serverState, holds func(model string) bool) {
	op := s.busy
	if op == nil || holds(op.need.Model) != op.load {
		return
	}
	s.busy = nil
	if !op.load {
		delete(s.holds, op.need.Model)
	}
	h.planSoon = true
	h.Logger.Info("order done", "server", s.id, "load", op.load, "model", op.need.String(),
		"ms", now.Sub(op.since).Milliseconds(), "expected_ms", op.readyAt.Sub(op.since).Milliseconds())
	if op.load {
		h.loaded(s.member.Service, op.need.Model)
		h.tell(Notice{Server: s.id, Need: op.need.Model, Holds: true})
	}
	if op.load && op.fetch && op.beside > 0 {
		h.learnStore(now, op)
	}
}

// cache takes in which weights lie near the server, in place of what was known: a
// server drops the copies that were unused for longest. Without lists nothing was told.
func (s *serverState) cache(memory, disk []string) {
	if memory == nil && disk == nil {
		return
	}
	clear(s.cached)
	for _, name := range disk {
		s.cached[name] = onDisk
	}
	for _, name := range memory {
		s.cached[name] = inMemory
	}
}

// lose notes that a server refused a node's connection.
func (h *Holder) lose(now time.Time, id string) {
	s := h.servers[id]
	if s == nil || s.member == nil {
		return
	}
	if !s.gone(now) {
		h.Logger.Info("server refuses connections", "server", id, "holds", len(s.holds))
	}
	s.goneUntil = now.Add(backend.GoneTime)
}

// gone tells whether a node found lately that nobody listens at the server's address.
func (s *serverState) gone(now time.Time) bool {
	return now.Before(s.goneUntil) || s.member != nil && s.member.Gone(now)
}

// usable tells whether orders may be given to the server.
func (s *serverState) usable(now time.Time) bool {
	return s.member != nil && !s.gone(now) && s.member.Rest(now) == 0 && (!s.guarded || s.untouched) && !s.unsure && !s.recheck && !s.member.Withdrawn() && !now.Before(s.quietUntil) && !now.Before(s.avoidUntil) &&
		!s.lives.mayCross(now, s.id, s.sequence+1)
}

// silent tells whether the server did not answer a moment ago.
func (s *serverState) silent(now time.Time) bool { return s.failures > 0 && now.Before(s.avoidUntil) }

// heldBy returns a server that holds what a request needs, "" if none does; one that is short of room only if
// no other one does. The holder's own word goes before that of the records.
func (h *Holder) heldBy(now time.Time, service string, need backend.Need) string {
	short := ""
	for _, s := range h.candidates(service, need) {
		if s.removed || s.member.Withdrawn() || s.silent(now) || s.gone(now) || s.unsure || !s.ready(now, need) {
			continue
		}
		if !s.short(now) {
			return s.id
		}
		short = s.id
	}
	return short
}

// candidates returns the servers that may hold what a request needs.
func (h *Holder) candidates(service string, need backend.Need) []*serverState {
	if need.Model == "" {
		return h.indexOf(service).servers
	}
	return h.holdersOf(service, need.Model)
}

// ready tells whether the server surely holds what a request needs.
func (s *serverState) ready(now time.Time, need backend.Need) bool {
	known := s.holds[need.Model]
	if known == nil || s.busy != nil && s.busy.need.Model == need.Model {
		return false
	}
	if need.Adapter == "" {
		return true
	}
	_, has := known.adapters[need.Adapter]
	return has
}

// doubtHolding has a server asked that told a node that it does not hold what
// it is believed to hold.
func (h *Holder) doubtHolding(now time.Time, id string, need backend.Need) {
	s := h.servers[id]
	if s == nil || s.unsure || !s.ready(now, need) {
		return
	}
	h.Logger.Info("server lacks a model", "server", id, "model", need.String())
	s.ask(now)
}
