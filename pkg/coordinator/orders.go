package coordinator

import (
	"context"
	"math"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/route"
)

// Order is a fenced order to a server.
type Order struct {
	Load     bool // or unload
	Need     backend.Need
	Holder   string
	Fence    uint64
	Expected uint64 // orders that the server has taken before it
}

// Result is a server's verdict on an order.
type Result uint8

// The verdicts.
const (
	Accepted  Result = iota + 1
	Already          // it holds as asked
	Conflict         // another is under way, or the number of orders differs
	Fenced           // a higher fence was seen
	Elsewhere        // another server has the address
	Refused          // there is no such order
)

// Report is a server's own word on its state.
type Report struct {
	Models   []backend.Holding
	Busy     bool
	Sequence uint64
	InMemory []string
	OnDisk   []string
}

// Orders carries orders and reports. An error leaves open whether an order was
// taken, or will be.
type Orders interface {
	Give(ctx context.Context, m *backend.Member, o Order) (Result, error)
	Report(ctx context.Context, m *backend.Member) (Report, error)
}

// order is what the holder wants of a server.
type order struct {
	load  bool
	need  backend.Need
	after uint64 // orders that the server has taken once this one is
}

// Times of orders.
const (
	commitTimeout = 700 * time.Millisecond
	orderTimeout  = 500 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	reportPause   = 250 * time.Millisecond
	reportLag     = 300 * time.Millisecond // how far a report mostly lies behind
	reportSettles = time.Second            // after an order, for reports to show it
	adapterTime   = 25 * time.Millisecond  // for an adapter to arrive
	arriveTime    = 3 * time.Second        // for the record to show it
	refusedPause  = 2 * time.Second
	unloadTime    = 300 * time.Millisecond
)

// give writes the intent of an order and sends it, in a goroutine of its own.
func (h *Holder) give(s *serverState, o order, fetch bool, expected time.Duration, reason string) {
	now := time.Now()
	s.asking = true
	o.after = s.sequence + 1
	if o.need.Adapter == "" {
		s.busy = &operation{order: o, since: now, readyAt: now.Add(expected), fetch: fetch}
	}
	if fetch {
		h.fetches = append(h.fetches, now)
	}
	h.Logger.Info("order", "server", s.id, "load", o.load, "model", o.need.String(), "reason", reason,
		"sequence", s.sequence, "fence", h.term, "fetch", fetch, "expected_ms", expected.Milliseconds(),
		"record", s.version, "rate", h.rateOf(now, s, o.need))
	server, term := s.member, h.term
	wire := Order{Load: o.load, Need: o.need, Holder: h.Lease.Self, Fence: term, Expected: s.sequence}
	go func() {
		result, err := h.send(server, wire, fetch)
		h.post(func() {
			if h.term == term {
				h.answered(s, o, result, err)
			}
		})
	}()
}

// rateOf returns the arrivals a second for what an order is about.
func (h *Holder) rateOf(now time.Time, s *serverState, need backend.Need) float64 {
	if s.member == nil {
		return 0
	}
	d := h.demands[demandKey{s.member.Service, need.String()}]
	if d == nil {
		return 0
	}
	return math.Round(100*d.rate.at(now)) / 100
}

// ErrNotGiven means that an order was surely not sent.
var ErrNotGiven = errors.New("coordinator: the order was not sent")

// errNotWritten means that an order's intent was not written in time, so that it
// was not sent.
var errNotWritten = errors.New("coordinator: the intent was not written")

// send writes the intent and gives the order within the permit's time.
func (h *Holder) send(server *backend.Member, o Order, fetch bool) (Result, error) {
	intent := lease.Intent{Server: server.ID, Load: o.Load, Need: o.Need.String(), Fetch: fetch}
	writing, done := context.WithTimeout(h.life, commitTimeout)
	defer done()
	permit, err := h.Lease.Commit(writing, []lease.Intent{intent})
	if err != nil {
		return 0, errors.Wrap(errNotWritten, err.Error())
	}
	if permit.Term != o.Fence || !permit.Valid() {
		return 0, errNotWritten
	}
	end := time.Now().Add(orderTimeout)
	if permit.Until.Before(end) {
		end = permit.Until // the next holder counts on it
	}
	ctx, cancel := context.WithDeadline(h.life, end)
	defer cancel()
	return h.Orders.Give(ctx, server, o)
}

// answered takes in what became of an order.
func (h *Holder) answered(s *serverState, o order, result Result, err error) {
	now := time.Now()
	s.asking = false
	h.planSoon = true
	if err != nil || result != Accepted {
		h.Logger.Info("order answered", "server", s.id, "model", o.need.String(), "load", o.load, "result", result, "error", err)
	}
	// The one before may still take effect, whatever became of its repeat.
	repeated := s.doubt != nil
	if errors.Is(err, errNotWritten) {
		if !repeated {
			h.undo(s, o)
		}
		h.resumeAt = now.Add(reportPause) // the store fails, not the server
		return
	}
	if errors.Is(err, ErrNotGiven) {
		if !repeated {
			h.undo(s, o)
		}
		s.failures++
		s.avoidUntil = now.Add(time.Duration(min(s.failures, 8)) * reportPause)
		return
	}
	if err != nil {
		s.doubt = &o
		s.failures++
		s.reportAt = now
		s.avoidUntil = now.Add(reportPause)
		return
	}
	if repeated && result == Conflict {
		s.failures, s.reportAt = 0, now // which tells whether the one before was taken
		return
	}
	s.failures, s.doubt = 0, nil
	if result == Accepted || result == Already {
		s.acceptedAt = now
	}
	switch result {
	case Accepted:
		s.sequence = max(s.sequence, o.after)
		s.reportAt = now.Add(reportPause)
		if s.busy != nil {
			s.reportAt = s.busy.readyAt
		}
		h.accepted(now, s, o)
	case Already:
		if !o.load && o.need.Adapter != "" {
			s.sequence = max(s.sequence, o.after) // done at once
		}
		h.undo(s, o)
		h.holdsNow(now, s, o)
	case Fenced:
		h.undo(s, o)
		h.Lease.Resign(h.term)
	case Conflict:
		h.undo(s, o)
		s.reportAt, s.unsure = now, true
		if lag := reportLag - now.Sub(s.acceptedAt); lag > 0 {
			s.reportAt = now.Add(lag)
		}
	case Elsewhere: // another server has the address, or it lacks the model
		h.undo(s, o)
		s.avoidUntil = now.Add(refusedPause)
		s.unsure, s.reportAt = true, s.avoidUntil
	default:
		h.undo(s, o)
		s.avoidUntil = now.Add(refusedPause)
	}
}

// undo forgets an order that had no effect.
func (h *Holder) undo(s *serverState, o order) {
	if s.busy != nil && o.need.Adapter == "" && s.busy.need == o.need && s.busy.load == o.load {
		s.busy = nil
	}
	if known := s.holds[o.need.Model]; known != nil && o.load {
		delete(known.arriving, o.need.Adapter)
	}
}

// accepted notes an order that the server took.
func (h *Holder) accepted(now time.Time, s *serverState, o order) {
	if o.need.Adapter == "" {
		return
	}
	if !o.load {
		// Requests still use it: its place is taken until a report shows it free.
		s.unsure, s.reportAt = true, now.Add(reportLag)
		return
	}
	if known := s.holds[o.need.Model]; known != nil {
		known.arriving[o.need.Adapter] = now.Add(arriveTime) // it may have been ordered long ago
	}
	time.AfterFunc(adapterTime, func() {
		h.post(func() { h.holdsNow(time.Now(), s, o) })
	})
}

// holdsNow notes that what an order asks for is so, and tells the nodes.
func (h *Holder) holdsNow(now time.Time, s *serverState, o order) {
	known := s.holds[o.need.Model]
	switch {
	case o.need.Adapter == "":
	case known == nil:
		return
	case o.load:
		known.adapters[o.need.Adapter] = now
		known.arriving[o.need.Adapter] = now.Add(arriveTime)
	default:
		delete(known.adapters, o.need.Adapter)
		delete(known.arriving, o.need.Adapter)
	}
	h.tell(Notice{Server: s.id, Need: o.need.String(), Holds: o.load})
	h.planSoon = true
}

// look asks the servers for reports whose operations should be done or are in
// doubt.
func (h *Holder) look(now time.Time) {
	for _, s := range h.servers {
		if s.member == nil || s.asking || s.reportAt.IsZero() || now.Before(s.reportAt) {
			continue
		}
		if s.busy == nil && s.doubt == nil && !s.unsure && !s.recheck {
			s.reportAt = time.Time{}
			continue
		}
		s.asking = true
		server, term := s.member, h.term
		go func() {
			ctx, cancel := context.WithTimeout(h.life, reportTimeout)
			defer cancel()
			report, err := h.Orders.Report(ctx, server)
			h.post(func() {
				if h.term == term {
					h.reported(time.Now(), s, report, err)
				}
			})
		}()
	}
}

// reported takes in a report. It lies a little behind.
func (h *Holder) reported(now time.Time, s *serverState, r Report, err error) {
	s.asking = false
	s.reportAt = now.Add(reportPause)
	if err != nil {
		s.failures++
		s.reportAt = now.Add(time.Duration(min(s.failures, 8)) * reportPause)
		s.avoidUntil = s.reportAt
		return
	}
	s.failures = 0
	s.cache(r.InMemory, r.OnDisk)
	if r.Sequence < s.sequence {
		if now.Sub(s.acceptedAt) < reportSettles {
			return // it was made before the last order
		}
		h.Logger.Warn("server took fewer orders than believed", "server", s.id, "sequence", r.Sequence, "believed", s.sequence)
	}
	if r.Busy && s.busy == nil {
		h.inherit(now, s, r)
		return
	}
	if s.recheck && now.Before(s.quietUntil) {
		s.reportAt = s.quietUntil
	} else {
		s.recheck = false
	}
	if s.unsure {
		h.Logger.Info("server asked", "server", s.id, "sequence", r.Sequence, "believed", s.sequence, "busy", r.Busy)
		s.unsure = false
	}
	if s.doubt != nil && r.Sequence >= s.doubt.after {
		h.Logger.Info("order was taken", "server", s.id, "model", s.doubt.need.String(), "sequence", r.Sequence)
		s.doubt = nil
	}
	s.repeat = s.doubt != nil
	h.take(now, s, r)
	if s.busy != nil && !r.Busy && s.doubt == nil && now.Sub(s.busy.since) > reportLag+reportPause && now.After(s.busy.readyAt) {
		h.Logger.Warn("order without effect", "server", s.id, "model", s.busy.need.String(), "load", s.busy.load)
		s.busy = nil
	}
}

// inherit takes over an operation that an order of an earlier holder began. The
// record of the lease tells which; until it is done, what the server holds is
// not known.
func (h *Holder) inherit(now time.Time, s *serverState, r Report) {
	s.unsure = true
	intent := s.inherited
	need := backend.ParseNeed(intent.Need)
	if need.Model == "" || need.Adapter != "" {
		return
	}
	s.unsure, s.inherited = false, lease.Intent{}
	h.take(now, s, r)
	expected := unloadTime
	if e := h.engineOf(s); intent.Load && e != nil && e.Models[need.Model] != nil {
		expected, _ = s.loadTime(e.Models[need.Model])
	}
	s.busy = &operation{
		order: order{load: intent.Load, need: need, after: r.Sequence},
		since: now, readyAt: now.Add(expected), fetch: intent.Fetch,
	}
	h.Logger.Info("order inherited", "server", s.id, "load", intent.Load, "model", intent.Need, "sequence", r.Sequence)
}

// engineOf returns the engine of the server's service, nil if it has none.
func (h *Holder) engineOf(s *serverState) *route.Engine {
	table := h.Routes()
	if table == nil || s.member == nil {
		return nil
	}
	service := table.Service(s.member.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// loadTime returns how long a load is expected to take, and whether it comes
// from the weight store.
func (s *serverState) loadTime(m *route.Model) (time.Duration, bool) {
	switch s.cached[m.Name] {
	case inMemory:
		return m.MemoryTime, false
	case onDisk:
		return m.DiskTime, false
	default:
		return m.LoadTime, true
	}
}
