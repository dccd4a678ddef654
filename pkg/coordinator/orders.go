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
	Offline  bool   // given while the store does not answer; not told to the server
	// May is asked right before the order goes out: its error keeps it from being sent. The
	// machine may have been suspended since the order was decided. Nil: nothing does.
	May func() error
}

// Result is a server's verdict on an order.
type Result uint8

// The verdicts.
const (
	Accepted  Result = iota + 1
	Already          // it holds as asked
	Conflict         // another is under way, or the number of orders differs
	Fenced           // a higher fence was seen
	Elsewhere        // another server has the address, or the next life of this one
	Refused          // there is no such order
)

// Report is a server's own word on its state.
type Report struct {
	Models   []backend.Holding
	Busy     bool
	Sequence uint64
	Arriving []backend.Need // adapters on their way
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
	duePause      = 100 * time.Millisecond // between reports on what should be done by now
	dueTime       = time.Second            // after which it is late
	reportLag     = 300 * time.Millisecond // how far a report mostly lies behind
	reportSettles = time.Second            // after an order, for reports to show it
	adapterTime   = 25 * time.Millisecond  // for an adapter to arrive
	arriveTime    = 3 * time.Second        // for the record to show it
	refusedPause  = 2 * time.Second
	unloadTime    = 300 * time.Millisecond
)

// give writes the intent of an order and sends it, in a goroutine of its own.
func (h *Holder) give(s *serverState, o order, fetch bool, expected time.Duration, reason string) {
	now := h.Time.Now()
	s.asking = true
	o.after = s.sequence + 1
	if o.need.Adapter == "" {
		s.busy = &operation{order: o, since: now, readyAt: now.Add(expected), fetch: fetch, told: expected}
		h.about(s, o.need.Model)
		if fetch && s.doubt == nil {
			s.busy.beside, _ = h.fetching(now)
		}
	}
	if fetch {
		h.fetches = append(h.fetches, now)
	}
	h.Logger.Info("order", "server", s.id, "load", o.load, "model", o.need.String(), "reason", reason,
		"sequence", s.sequence, "fence", h.term, "fetch", fetch, "expected_ms", expected.Milliseconds(),
		"record", s.version, "rate", h.rateOf(now, s, o.need))
	h.instance(s.id).open(s.id, o.after, now.Add(lateOrder))
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
	return math.Round(100*d.rate.count.at(now)) / 100
}

// ErrNotGiven means that an order was surely not sent.
var ErrNotGiven = errors.New("coordinator: the order was not sent")

// ErrOtherLife means that another life of the server answers than the one believed to run. The
// server's record tells of it soon.
var ErrOtherLife = errors.New("coordinator: another life of the server answers")

// errLifeOver keeps an order from the next life of the server that it was decided for.
var errLifeOver = errors.New("coordinator: the life of the server is over")

// errNotWritten means that an order's intent was not written in time, so that it
// was not sent.
var errNotWritten = errors.New("coordinator: the intent was not written")

// errPermitOver keeps an order from being sent whose permit is over.
var errPermitOver = errors.New("coordinator: the permit of the order is over")

// mayBy lets orders to a server out as long as a permit is valid.
func mayBy(permit lease.Permit, server *backend.Member) func() error {
	return func() error {
		switch {
		case !permit.Valid():
			return errPermitOver
		case server.Left():
			return errLifeOver
		}
		return nil
	}
}

// send writes the intent and gives the order within the permit's time.
func (h *Holder) send(server *backend.Member, o Order, fetch bool) (Result, error) {
	intent := lease.Intent{Server: server.ID, Load: o.Load, Need: o.Need.String(), Fetch: fetch, After: o.Expected + 1}
	writing, done := context.WithTimeout(h.life, commitTimeout)
	defer done()
	permit, err := h.Lease.Commit(writing, []lease.Intent{intent})
	if err != nil {
		return 0, errors.Wrap(errNotWritten, err.Error())
	}
	if permit.Term != o.Fence || !permit.Valid() {
		return 0, errNotWritten
	}
	o.Offline, o.May = permit.Offline, mayBy(permit, server)
	end := h.Time.Now().Add(orderTimeout)
	if permit.Until.Before(end) {
		end = permit.Until // the next holder counts on it
	}
	ctx, cancel := context.WithTimeout(h.life, h.Time.Until(end))
	defer cancel()
	return h.Orders.Give(ctx, server, o)
}

// answered takes in what became of an order.
func (h *Holder) answered(s *serverState, o order, result Result, err error) {
	now := h.Time.Now()
	s.asking = false
	h.planSoon = true
	if surelyOver(err) {
		h.instance(s.id).closeOrder(s.id, o.after)
	}
	if err != nil || result != Accepted {
		h.Logger.Info("order answered", "server", s.id, "model", o.need.String(), "load", o.load, "result", result, "error", err)
	}
	if !errors.Is(err, errNotWritten) {
		h.failing = time.Time{}
	}
	// The one before may still take effect, whatever became of its repeat.
	repeated := s.doubt != nil
	switch {
	case errors.Is(err, errNotWritten), errors.Is(err, ErrNotGiven):
		if !repeated {
			h.undo(s, o)
		}
		h.notGiven(now, s, err)
	case err != nil:
		s.doubt = &o
		if s.busy != nil {
			s.busy.beside = 0 // it may be carried out late: its time tells nothing of the store
		}
		s.failures++
		s.reportAt = now
		s.avoidUntil = now.Add(reportPause)
	case repeated && result == Conflict:
		s.failures, s.reportAt = 0, now // which tells whether the one before was taken
	default:
		s.failures, s.doubt = 0, nil
		h.judged(now, s, o, result)
	}
}

// surelyOver tells whether an order can't be carried out any more: it was judged, or it never
// went out.
func surelyOver(err error) bool {
	return err == nil || errors.Is(err, errNotWritten) || errors.Is(err, ErrNotGiven)
}

// notGiven rests after an order that was surely not sent: all orders if the store
// failed, those to the server if that did.
func (h *Holder) notGiven(now time.Time, s *serverState, err error) {
	if errors.Is(err, errNotWritten) {
		h.resumeAt = now.Add(reportPause)
		if h.failing.IsZero() {
			h.failing = now
		}
		return
	}
	s.failures++
	s.avoidUntil = now.Add(s.rest())
}

// judged takes in a server's verdict on an order.
func (h *Holder) judged(now time.Time, s *serverState, o order, result Result) {
	if result == Accepted {
		s.acceptedAt = now
		s.sequence = max(s.sequence, o.after)
		s.reportAt = now.Add(reportPause)
		if s.busy != nil {
			s.reportAt = s.busy.readyAt.Add(duePause)
			h.planAt(s.reportAt)
		}
		h.accepted(now, s, o)
		return
	}
	h.undo(s, o)
	switch result {
	case Already:
		s.acceptedAt = now
		if !o.load && o.need.Adapter != "" {
			s.sequence = max(s.sequence, o.after) // done at once
		}
		h.holdsNow(now, s, o)
	case Fenced:
		h.Lease.Resign(h.term)
	case Conflict:
		s.reportAt, s.unsure = now, true
		if lag := reportLag - now.Sub(s.acceptedAt); lag > 0 {
			s.reportAt = now.Add(lag)
		}
	case Elsewhere: // another server has the address, or it lacks the model
		s.avoidUntil = now.Add(refusedPause)
		s.unsure, s.reportAt = true, s.avoidUntil
	default:
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
		h.post(func() { h.holdsNow(h.Time.Now(), s, o) })
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

// engineOf returns the engine of the server's service, nil if it has none.
func (h *Holder) engineOf(s *serverState) *route.Engine {
	if s.member == nil {
		return nil
	}
	return h.engine(s.member.Service)
}

// engine returns the engine of a service, nil if it has none.
func (h *Holder) engine(service string) *route.Engine {
	table := h.Routes()
	if table == nil || table.Service(service) == nil {
		return nil
	}
	return table.Service(service).Engine
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
