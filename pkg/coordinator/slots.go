package coordinator

import (
	"context"
	"sync"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/peer"
)

// AskSlot asks the holder for a slot at one of several servers that limit their request rate.
type AskSlot struct {
	Servers []backpressure.Ask
	Within  time.Duration
}

// SlotAnswer answers AskSlot.
type SlotAnswer struct {
	Term uint64 // zero: not the holder
	Slot backpressure.Slot
}

// ReturnPlace tells the holder that a request for which a place was lent has ended.
type ReturnPlace struct {
	Term   uint64
	Server string
	Loan   uint64
}

func init() {
	peer.Register(AskSlot{}, SlotAnswer{})
	peer.RegisterRecent(ReturnPlace{})
}

// borrows reports whether the question is for a place at a brittle server.
func (a AskSlot) borrows() bool { return len(a.Servers) > 0 && a.Servers[0].Places > 0 }

const (
	// maxBorrowWait is how long the holder keeps a question until a place is returned.
	maxBorrowWait = 100 * time.Millisecond
	// borrowTimeout bounds the wait for the holder's answer, in which it may wait for a place.
	borrowTimeout = 300 * time.Millisecond
)

// maxSlotServers bounds how many servers of one question the holder considers.
const maxSlotServers = 64

// slotBackoff is how long a node that was refused a slot refuses requests by itself. Slots are granted up to a second
// ahead, so that none is lost by it, and a flood of requests asks the holder ten times per second.
const slotBackoff = 100 * time.Millisecond

// slotBackoffs are the servers that recently had no free slot. The zero value is ready to use. Safe for concurrent use.
type slotBackoffs struct {
	mu       sync.Mutex
	refusals map[string]slotRefusal // by ID of the first server of the question
}

// slotRefusal is the last refusal for a server, and how many requests were refused by it locally.
type slotRefusal struct {
	at       time.Time
	slot     backpressure.Slot
	answered int
}

// lookup returns a refusal for a request without asking the holder, if there was one recently. The retry time of
// each request is a little later than that of the one before.
func (r *slotBackoffs) lookup(now time.Time, a backpressure.Ask) (backpressure.Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, recent := r.refusals[a.Server]
	if !recent || now.Sub(last.at) >= slotBackoff {
		return backpressure.Slot{}, false
	}
	last.answered++
	r.refusals[a.Server] = last
	return backpressure.Slot{Wait: last.slot.Wait + time.Duration(last.answered)*a.Interval()}, true
}

// refused records that there was no free slot.
func (r *slotBackoffs) refused(now time.Time, server string, s backpressure.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusals == nil {
		r.refusals = make(map[string]slotRefusal)
	}
	for id, last := range r.refusals {
		if now.Sub(last.at) >= slotBackoff {
			delete(r.refusals, id)
		}
	}
	r.refusals[server] = slotRefusal{at: now, slot: s}
}

// RequestSlot implements relay.Slots.
func (m *Member) RequestSlot(ctx context.Context, asks []backpressure.Ask, within time.Duration) (backpressure.Slot, error) {
	question := AskSlot{Servers: asks, Within: within}
	if question.borrows() {
		return m.borrowPlace(ctx, question)
	}
	if s, refused := m.slotBackoffs.lookup(m.Time.Now(), asks[0]); refused {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	slot, err := m.askSlot(ctx, question)
	if err == nil && !slot.Granted {
		m.slotBackoffs.refused(m.Time.Now(), asks[0].Server, slot)
	}
	return slot, err
}

// askSlot asks the holder.
func (m *Member) askSlot(ctx context.Context, question AskSlot) (backpressure.Slot, error) {
	answer, err := callHolder[SlotAnswer](ctx, m, question)
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		return backpressure.Slot{}, err
	}
	if answer.Slot.Loan != 0 {
		answer.Slot.Term = answer.Term
	}
	return answer.Slot, nil
}

// borrowPlace asks the holder for a place at a brittle server. A place that is lent after ctx ended is returned, as
// nobody uses it.
func (m *Member) borrowPlace(ctx context.Context, question AskSlot) (backpressure.Slot, error) {
	type result struct {
		slot backpressure.Slot
		err  error
	}
	answered := make(chan result)
	go func() {
		asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), borrowTimeout)
		defer cancel()
		slot, err := m.askSlot(asking, question)
		select {
		case answered <- result{slot, err}:
		case <-ctx.Done():
			if slot.Loan != 0 {
				m.ReturnPlace(slot)
			}
		}
	}()
	select {
	case r := <-answered:
		return r.slot, r.err
	case <-ctx.Done():
		return backpressure.Slot{}, ctx.Err()
	}
}

// ReturnPlace implements relay.Slots.
func (m *Member) ReturnPlace(s backpressure.Slot) {
	record, _ := m.Lease.Current()
	message := ReturnPlace{Term: s.Term, Server: s.Server, Loan: s.Loan}
	if record.Address == m.Self.Peers {
		m.Holder.returnPlace(m.Time.Now(), message)
		return
	}
	m.Transport.Send(record.Address, message)
}

// returnPlace ends the loan of a place.
func (h *Holder) returnPlace(now time.Time, r ReturnPlace) {
	h.slots.Return(now, r.Term, r.Server, r.Loan)
}

// grantSlot grants a slot if there is one, or waits for a place at a brittle server. It does not wait for the goroutine
// of Run, which may be planning.
func (h *Holder) grantSlot(ctx context.Context, now time.Time, a AskSlot) SlotAnswer {
	term, held := h.Lease.Held()
	if !held || !h.hasMajority(now) {
		return SlotAnswer{}
	}
	h.slots.Begin(now, term)
	servers := a.Servers[:min(len(a.Servers), maxSlotServers)]
	if !a.borrows() {
		return SlotAnswer{Term: term, Slot: h.slots.Take(now, servers, a.Within)}
	}
	ctx, cancel := context.WithTimeout(ctx, maxBorrowWait)
	defer cancel()
	slot := h.slots.Borrow(ctx, now, servers)
	if lastTerm, held := h.Lease.Held(); !held || lastTerm != term {
		return SlotAnswer{} // the next term waits for the requests of this one, not for later ones
	}
	return SlotAnswer{Term: term, Slot: slot}
}

// markOverloadedServers marks the servers as overloaded whose limit had requests rejected.
func (h *Holder) markOverloadedServers(now time.Time) {
	for _, id := range h.slots.Overloaded(now) {
		h.markOverloaded(now, id, minOverload)
	}
}

// Limits of how long a server counts as overloaded by one report: until the next plans have considered it, and no
// longer than a load takes, after which the nodes report again.
const (
	minOverload = time.Second
	maxOverload = 5 * time.Second
)

// markOverloaded records that a server rejects requests for some time.
func (h *Holder) markOverloaded(now time.Time, id string, d time.Duration) {
	s := h.servers[id]
	if s == nil {
		return
	}
	if !s.overloaded(now) {
		h.Logger.Info("server is overloaded", "server", id, "models", len(s.holds), "for_ms", d.Milliseconds())
	}
	s.overloadedUntil = latest(s.overloadedUntil, now.Add(min(max(d, minOverload), maxOverload)))
}

// overloaded tells whether the server rejects requests, by its limit or as it backs off, so that another server must
// hold what it holds.
func (s *serverState) overloaded(now time.Time) bool { return now.Before(s.overloadedUntil) }

// excluded tells whether the server must get no loads, and other servers must hold what it holds.
func (s *serverState) excluded(now time.Time) bool { return s.member.Withdrawn() || s.overloaded(now) }
