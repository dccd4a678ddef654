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

// Order is a load or unload order to a server, with a fence.
type Order struct {
	Load     bool // false: unload
	Need     backend.Need
	Holder   string
	Fence    uint64
	Expected uint64 // sequence that the server must have: the number of orders accepted before this one
	Offline  bool   // given while the store does not answer; not sent to the server
	// CheckSend is called right before the order is sent; an error prevents it, as the machine may have been
	// suspended after the order was decided. Nil: nothing is checked.
	CheckSend func() error
}

// Result is a server's answer to an order.
type Result uint8

// Results of orders.
const (
	Accepted  Result = iota + 1
	Already          // the server already holds, or lacks, what was ordered
	Conflict         // another order is under way, or the sequence differs
	Fenced           // the server has seen a higher fence
	Elsewhere        // another server, or a later incarnation of this one, has the address
	Refused          // the order is not valid for the server
)

// Report is the state of a server as reported by the server itself.
type Report struct {
	Models   []backend.Holding
	Busy     bool
	Sequence uint64
	Arriving []backend.Need // adapters being loaded
	InMemory []string
	OnDisk   []string
}

// Orders sends orders to servers and fetches their reports. An error leaves open whether an order was
// accepted, or will be.
type Orders interface {
	SendOrder(ctx context.Context, m *backend.Member, o Order) (Result, error)
	FetchReport(ctx context.Context, m *backend.Member) (Report, error)
}

// order is a change that the holder orders from a server.
type order struct {
	load  bool
	need  backend.Need
	after uint64 // the server's sequence after this order
}

// Times of orders.
const (
	commitTimeout     = 700 * time.Millisecond
	orderTimeout      = 500 * time.Millisecond
	reportTimeout     = 400 * time.Millisecond
	reportPause       = 250 * time.Millisecond
	duePollInterval   = 100 * time.Millisecond // interval of reports on operations that should be done by now
	overdueAfter      = time.Second            // delay after which an operation counts as overdue
	reportLag         = 300 * time.Millisecond // usual delay of a report behind the server's state
	reportSettleTime  = time.Second            // time after an order until reports surely show it
	adapterTime       = 25 * time.Millisecond  // expected load time of an adapter
	adapterRecordTime = 3 * time.Second        // time until a server's record shows a loaded adapter
	refusedPause      = 2 * time.Second
	unloadTime        = 300 * time.Millisecond
)

// sendOrder records the intent of an order in the lease and sends the order, in its own goroutine.
func (h *Holder) sendOrder(s *serverState, o order, fetch bool, expected time.Duration, reason string) {
	now := h.Time.Now()
	s.awaitingAnswer = true
	o.after = s.sequence + 1
	if o.need.Adapter == "" {
		s.busy = &operation{order: o, occupant: h.orderedOccupant(now, s, o), since: now, readyAt: now.Add(expected), fetch: fetch, nominal: expected}
		h.indexOrder(s, o.need.Model)
		if fetch && s.unresolved == nil {
			s.busy.concurrentFetches, _ = h.activeFetches(now)
		}
	}
	if fetch {
		h.fetchStarts = append(h.fetchStarts, now)
	}
	h.Logger.Info("order", "server", s.id, "load", o.load, "model", o.need.String(), "reason", reason,
		"sequence", s.sequence, "fence", h.term, "fetch", fetch, "expected_ms", expected.Milliseconds(),
		"record", s.version, "rate", h.rateOf(now, s, o.need))
	h.instance(s.id).addOrder(s.id, o.after, now.Add(orderLifetime))
	server, term := s.member, h.term
	wire := Order{Load: o.load, Need: o.need, Holder: h.Lease.Self, Fence: term, Expected: s.sequence}
	go func() {
		result, err := h.commitAndSend(server, wire, fetch)
		h.post(func() {
			if h.term == term {
				h.handleOrderResult(s, o, result, err)
			}
		})
	}()
}

// rateOf returns the arrivals per second for what an order is about.
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

// ErrNotSent means that an order was certainly not sent.
var ErrNotSent = errors.New("coordinator: the order was not sent")

// ErrOtherIncarnation means that a different incarnation of the server answers than the one assumed to run. The
// server's record will show it soon.
var ErrOtherIncarnation = errors.New("coordinator: another incarnation of the server answers")

// errIncarnationOver prevents an order from reaching a later incarnation of the server than the one it was
// decided for.
var errIncarnationOver = errors.New("coordinator: the server's incarnation has ended")

// errNotWritten means that an order was not sent because its intent was not written in time.
var errNotWritten = errors.New("coordinator: the intent was not written")

// errPermitOver prevents an order from being sent after its permit expired.
var errPermitOver = errors.New("coordinator: the order's permit has expired")

// sendCheck returns a check that allows orders to a server while a permit is valid.
func sendCheck(permit lease.Permit, server *backend.Member) func() error {
	return func() error {
		switch {
		case !permit.Valid():
			return errPermitOver
		case server.Delisted():
			return errIncarnationOver
		}
		return nil
	}
}

// commitAndSend writes the order's intent and sends the order while the permit is valid.
func (h *Holder) commitAndSend(server *backend.Member, o Order, fetch bool) (Result, error) {
	intent := lease.Intent{Server: server.ID, Load: o.Load, Need: o.Need.String(), Fetch: fetch, After: o.Expected + 1}
	writing, done := context.WithTimeout(h.runCtx, commitTimeout)
	defer done()
	permit, err := h.Lease.Commit(writing, []lease.Intent{intent})
	if err != nil {
		return 0, errors.Wrap(errNotWritten, err.Error())
	}
	if permit.Term != o.Fence || !permit.Valid() {
		return 0, errNotWritten
	}
	o.Offline, o.CheckSend = permit.Offline, sendCheck(permit, server)
	end := h.Time.Now().Add(orderTimeout)
	if permit.Until.Before(end) {
		end = permit.Until // the next holder relies on it
	}
	ctx, cancel := context.WithTimeout(h.runCtx, h.Time.Until(end))
	defer cancel()
	return h.Orders.SendOrder(ctx, server, o)
}

// handleOrderResult handles the outcome of an order.
func (h *Holder) handleOrderResult(s *serverState, o order, result Result, err error) {
	now := h.Time.Now()
	s.awaitingAnswer = false
	h.planSoon = true
	if isFinal(err) {
		h.instance(s.id).closeOrder(s.id, o.after)
	}
	if err != nil || result != Accepted {
		h.Logger.Info("order answered", "server", s.id, "model", o.need.String(), "load", o.load, "result", result, "error", err)
	}
	if !errors.Is(err, errNotWritten) {
		h.failingSince = time.Time{}
	}
	// The first order may still take effect, whatever the result of its repetition.
	repeated := s.unresolved != nil
	switch {
	case errors.Is(err, errNotWritten), errors.Is(err, ErrNotSent):
		if !repeated {
			h.undoOrder(s, o)
		}
		h.backOffUnsent(now, s, err)
	case err != nil:
		s.unresolved = &o
		if s.busy != nil {
			s.busy.concurrentFetches = 0 // the order may be carried out late: its duration tells nothing of the store
		}
		s.failures++
		s.reportAt = now
		s.avoidUntil = now.Add(reportPause)
	case repeated && result == Conflict:
		s.failures, s.reportAt = 0, now // the report tells whether the first order was accepted
	default:
		s.failures, s.unresolved = 0, nil
		h.applyResult(now, s, o, result)
	}
}

// isFinal tells whether an order can't be carried out any more: the server answered it, or it was never
// sent.
func isFinal(err error) bool {
	return err == nil || errors.Is(err, errNotWritten) || errors.Is(err, ErrNotSent)
}

// backOffUnsent pauses after an order that was certainly not sent: all orders if the store failed, or those
// to the server if its connection failed.
func (h *Holder) backOffUnsent(now time.Time, s *serverState, err error) {
	if errors.Is(err, errNotWritten) {
		h.resumeAt = now.Add(reportPause)
		if h.failingSince.IsZero() {
			h.failingSince = now
		}
		return
	}
	s.failures++
	s.avoidUntil = now.Add(s.backoff())
}

// applyResult handles a server's answer to an order.
func (h *Holder) applyResult(now time.Time, s *serverState, o order, result Result) {
	if result == Accepted {
		s.acceptedAt = now
		s.sequence = max(s.sequence, o.after)
		s.reportAt = now.Add(reportPause)
		if s.busy != nil {
			s.reportAt = s.busy.readyAt.Add(duePollInterval)
			h.planAt(s.reportAt)
		}
		h.noteAccepted(now, s, o)
		return
	}
	h.undoOrder(s, o)
	switch result {
	case Already:
		s.acceptedAt = now
		if !o.load && o.need.Adapter != "" {
			s.sequence = max(s.sequence, o.after) // the unload is done at once
		}
		h.noteEffect(now, s, o)
	case Fenced:
		h.Lease.Resign(h.term)
	case Conflict:
		s.reportAt, s.sequenceUnknown = now, true
		if lag := reportLag - now.Sub(s.acceptedAt); lag > 0 {
			s.reportAt = now.Add(lag)
		}
	case Elsewhere: // another server has the address, or it lacks the model
		s.avoidUntil = now.Add(refusedPause)
		s.sequenceUnknown, s.reportAt = true, s.avoidUntil
	default:
		s.avoidUntil = now.Add(refusedPause)
	}
}

// undoOrder removes an order that had no effect from the state.
func (h *Holder) undoOrder(s *serverState, o order) {
	if s.busy != nil && o.need.Adapter == "" && s.busy.need == o.need && s.busy.load == o.load {
		s.busy = nil
	}
	if known := s.holds[o.need.Model]; known != nil && o.load {
		delete(known.arriving, o.need.Adapter)
	}
}

// noteAccepted records an order that the server accepted.
func (h *Holder) noteAccepted(now time.Time, s *serverState, o order) {
	if o.need.Adapter == "" {
		return
	}
	if !o.load {
		// Requests may still use the adapter: its place counts as taken until a report shows it free.
		s.sequenceUnknown, s.reportAt = true, now.Add(reportLag)
		return
	}
	if known := s.holds[o.need.Model]; known != nil {
		known.arriving[o.need.Adapter] = now.Add(adapterRecordTime) // counted from now: the order may be much older
	}
	time.AfterFunc(adapterTime, func() {
		h.post(func() { h.noteEffect(h.Time.Now(), s, o) })
	})
}

// noteEffect records that an order has taken effect, and notifies the nodes.
func (h *Holder) noteEffect(now time.Time, s *serverState, o order) {
	known := s.holds[o.need.Model]
	switch {
	case o.need.Adapter == "":
	case known == nil:
		return
	case o.load:
		known.adapters[o.need.Adapter] = now
		known.arriving[o.need.Adapter] = now.Add(adapterRecordTime)
	default:
		delete(known.adapters, o.need.Adapter)
		delete(known.arriving, o.need.Adapter)
	}
	h.sendNotice(Notice{Server: s.id, Need: o.need.String(), Holds: o.load})
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

// loadTime returns how long a load is expected to take, and whether the weights come from the weight store.
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
