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

// serverState is what the holder knows of one incarnation of a server.
type serverState struct {
	id              string
	member          *backend.Member   // nil: gone
	removed         bool              // the platform no longer lists it
	sequence        uint64            // number of orders that it has certainly accepted
	version         revision.Revision // version of the record that was last read
	holds           map[string]*holding
	cached          map[string]tier // where copies of weights are kept near it
	quietUntil      time.Time       // no orders before this time, as orders of another holder may have just arrived
	recheck         bool            // request another report after quietUntil
	awaitingAnswer  bool            // an order or a report is under way
	reportAt        time.Time       // when to request the next report; zero: not needed
	overloadedUntil time.Time       // it rejects requests, by its limit or as it backs off
	sequenceUnknown bool            // sequence, or what it holds, is uncertain: a report is needed
	untouched       bool            // had no order in this term: not polled or fenced until its first order
	failures        int             // consecutive calls without an answer
	busy            *operation      // load or unload of a model under way
	inherited       lease.Intent    // last order of an earlier holder
	maxLateSequence uint64          // highest sequence that orders of earlier holders lead to
	needsFence      bool            // late orders of the last holder may still change it
	unresolved      *order          // order without an answer, outcome unknown; only the same order may follow
	resend          bool            // a report showed that the unresolved order was not accepted yet: send it again
	avoidUntil      time.Time       // it refused an order or did not answer
	goneUntil       time.Time       // it refused a connection
	reserved        reservation
	acceptedAt      time.Time // when the last order was accepted; reports lag behind it
	instance        *instance // shared by all incarnations of the server
}

// holding is a model on a server.
type holding struct {
	occupant
	since    time.Time
	adapters map[string]time.Time // last use of each
	arriving map[string]time.Time // adapters being loaded, with the time by which the server's record should show them
}

// tier tells where a copy of weights is kept.
type tier = engine.CacheTier

const (
	onDisk   = engine.TierDisk
	inMemory = engine.TierMemory
)

// operation is an order that is being carried out.
type operation struct {
	order
	occupant
	since             time.Time
	readyAt           time.Time     // expected end
	fetch             bool          // the weights come from the weight store
	concurrentFetches int           // loads from the weight store under way when it began, including itself; zero: not known
	nominal           time.Duration // configured duration of the load
}

// server returns the state of a server, creating it if needed.
func (h *Holder) server(id string) *serverState {
	s := h.servers[id]
	if s == nil {
		s = &serverState{id: id, instance: h.instance(id), needsFence: h.fenceAll, quietUntil: h.quietUntil, holds: make(map[string]*holding), cached: make(map[string]tier)}
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

// backoff returns how long a server is left alone after consecutive failures.
func (s *serverState) backoff() time.Duration {
	return time.Duration(min(s.failures, maxBackoffSteps)) * reportPause
}

// maxBackoffSteps bounds backoff, in multiples of reportPause.
const maxBackoffSteps = 8

// learnRecords applies the latest records of the servers. Records lag and don't tell how many orders a server
// has accepted, so they only add to what it is assumed to hold; when one lacks something, the server is asked
// for a report.
func (h *Holder) learnRecords(now time.Time) {
	snapshot := h.Servers.Snapshot()
	for id, m := range snapshot.Members() {
		s := h.server(id)
		fresh := s.member == nil
		s.member = m
		if fresh {
			s.inheritQuiet(now)
			h.learnServer(now, s)
		}
		if m.Server.Version == s.version && !fresh {
			continue
		}
		s.version = m.Server.Version
		if now.Sub(s.acceptedAt) > recordLag {
			s.setCached(m.InMemory, m.OnDisk)
		}
		for i := range m.Models {
			h.addHolding(now, s, &m.Models[i])
		}
		if s.untouched {
			s.dropUnlisted(m.Models) // only the last holder, whose term is over, can have changed it
			continue
		}
		if len(m.Models) < len(s.holds) && s.busy == nil && !s.sequenceUnknown {
			s.sequenceUnknown, s.reportAt = true, now.Add(recordLag)
		}
		// After a recent load, the record may show the model from before.
		if s.busy != nil && s.busy.load && now.Sub(s.busy.since) > recordLag {
			h.completeOperation(now, s, func(name string) bool { return m.Holds(backend.Need{Model: name}) })
		}
	}
	for id, s := range h.servers {
		if snapshot.Member(id) == nil && s.member != nil {
			h.noteLoadCrashes(now, s)
			s.removed = true // an index may still list it
			delete(h.servers, id)
		}
	}
}

// dropUnlisted removes the models that the record of an untouched server does not list.
func (s *serverState) dropUnlisted(models []backend.Holding) {
	for name := range s.holds {
		if !slices.ContainsFunc(models, func(m backend.Holding) bool { return m.Model == name }) {
			delete(s.holds, name)
		}
	}
}

// maxInitialReports is how many servers a new holder asks at once for their sequences: all of a small site, so
// that they are known before the first orders. Of thousands of servers few get an order in a term, and each
// report takes a new connection: the others are asked right before their first order.
const maxInitialReports = 256

// learnServer handles a server that the holder did not know.
func (h *Holder) learnServer(now time.Time, s *serverState) {
	if h.learnedServers++; h.learnedServers > maxInitialReports && !s.recheck && s.inherited == (lease.Intent{}) {
		s.untouched = true
		return
	}
	s.requestReport(now)
}

// requestReport schedules a report on the server's sequence and what it holds.
func (s *serverState) requestReport(now time.Time) {
	s.untouched, s.sequenceUnknown, s.reportAt = false, true, now
}

// prepare readies an untouched server for its first order, which follows after a report and, if late orders of
// the last holder may come, after it has seen this holder's fence. It returns whether the order may be sent now.
func (h *Holder) prepare(now time.Time, s *serverState) bool {
	if !s.untouched {
		return true
	}
	s.requestReport(now)
	h.planSoon = true
	return false
}

// recordLag is how far the record of a server may lag behind its state.
const recordLag = 2 * time.Second

// addHolding records that a server holds a model with adapters.
func (h *Holder) addHolding(now time.Time, s *serverState, m *backend.Holding) *holding {
	known := s.holds[m.Model]
	if known == nil {
		known = &holding{since: now, adapters: make(map[string]time.Time), arriving: make(map[string]time.Time)}
		s.holds[m.Model] = known
		h.updateOccupant(now, s, m.Model, &known.occupant)
	}
	for _, name := range m.Adapters {
		if _, has := known.adapters[name]; !has {
			known.adapters[name] = now
		}
		if _, ordered := known.arriving[name]; ordered && s.member != nil {
			delete(known.arriving, name)
			h.noteLoaded(s.member.Service, backend.Need{Model: m.Model, Adapter: name}.String())
		}
	}
	return known
}

// applyReport applies a server's report of what it holds and of its sequence.
func (h *Holder) applyReport(now time.Time, s *serverState, r Report) {
	s.sequence = r.Sequence
	listed := make(map[string]bool, len(r.Models))
	for i := range r.Models {
		m := &r.Models[i]
		listed[m.Model] = true
		known := h.addHolding(now, s, m)
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
			known.arriving[need.Adapter] = now.Add(adapterRecordTime) // ordered by an earlier holder
		}
	}
	if s.busy != nil && (s.busy.load || !r.Busy && s.sequence >= s.busy.after) {
		h.completeOperation(now, s, func(name string) bool { return listed[name] })
	}
}

// completeOperation ends the operation of a server if what the server holds shows that it is done.
func (h *Holder) completeOperation(now time.Time, s *serverState, holds func(model string) bool) {
	op := s.busy
	if op == nil || holds(op.need.Model) != op.load {
		return
	}
	s.busy = nil
	if !op.load {
		delete(s.holds, op.need.Model)
	} else if known := s.holds[op.need.Model]; known != nil {
		known.occupant = op.occupant // the server loaded it after this order, by no larger size
	}
	h.planSoon = true
	h.Logger.Info("order done", "server", s.id, "load", op.load, "model", op.need.String(),
		"ms", now.Sub(op.since).Milliseconds(), "expected_ms", op.readyAt.Sub(op.since).Milliseconds())
	if op.load {
		h.noteLoaded(s.member.Service, op.need.Model)
		h.sendNotice(Notice{Server: s.id, Need: op.need.Model, Holds: true})
	}
	if op.load && op.fetch && op.concurrentFetches > 0 {
		h.observeStoreLoad(now, op)
	}
}

// setCached replaces the list of weights kept near the server: a server drops the least recently used copies.
// If both lists are nil, nothing was reported.
func (s *serverState) setCached(memory, disk []string) {
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

// noteConnectionRefused records that a server refused a node's connection.
func (h *Holder) noteConnectionRefused(now time.Time, id string) {
	s := h.servers[id]
	if s == nil || s.member == nil {
		return
	}
	if !s.gone(now) {
		h.Logger.Info("server refuses connections", "server", id, "holds", len(s.holds))
	}
	s.goneUntil = now.Add(backend.GoneTime)
}

// gone tells whether a node recently found that nothing listens at the server's address.
func (s *serverState) gone(now time.Time) bool {
	return now.Before(s.goneUntil) || s.member != nil && s.member.Gone(now)
}

// usable tells whether orders may be given to the server.
func (s *serverState) usable(now time.Time) bool {
	return s.member != nil && !s.gone(now) && s.member.BackOff(now) == 0 && (!s.needsFence || s.untouched) && !s.sequenceUnknown && !s.recheck && !s.member.Withdrawn() && !now.Before(s.quietUntil) && !now.Before(s.avoidUntil) &&
		!s.instance.mayTakeLateOrder(now, s.id, s.sequence+1)
}

// unresponsive tells whether the server recently failed to answer.
func (s *serverState) unresponsive(now time.Time) bool {
	return s.failures > 0 && now.Before(s.avoidUntil)
}

// heldBy returns a server that holds what a request needs, "" if there is none; an overloaded server only if
// there is no other. It goes by the holder's own state, which is newer than the records.
func (h *Holder) heldBy(now time.Time, service string, need backend.Need) string {
	overloaded := ""
	for _, s := range h.candidates(service, need) {
		if s.removed || s.member.Withdrawn() || s.unresponsive(now) || s.gone(now) || s.sequenceUnknown || !s.ready(now, need) {
			continue
		}
		if !s.overloaded(now) {
			return s.id
		}
		overloaded = s.id
	}
	return overloaded
}

// candidates returns the servers that may hold what a request needs.
func (h *Holder) candidates(service string, need backend.Need) []*serverState {
	if need.Model == "" {
		return h.indexOf(service).servers
	}
	return h.serversWith(service, need.Model)
}

// ready tells whether the server certainly holds what a request needs.
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

// recheckHolding requests a report from a server that rejected a node's request because it lacks a model that it
// should hold.
func (h *Holder) recheckHolding(now time.Time, id string, need backend.Need) {
	s := h.servers[id]
	if s == nil || s.sequenceUnknown || !s.ready(now, need) {
		return
	}
	h.Logger.Info("server lacks a model", "server", id, "model", need.String())
	s.requestReport(now)
}
