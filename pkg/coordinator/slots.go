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
	lent := asks[0].Places > 0 // places become free at any time
	if s, refused := m.slotBackoffs.lookup(m.Time.Now(), asks[0]); refused && !lent {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := callHolder[SlotAnswer](ctx, m, AskSlot{Servers: asks, Within: within})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		return backpressure.Slot{}, err
	}
	if answer.Slot.Loan != 0 {
		answer.Slot.Term = answer.Term
	}
	if !answer.Slot.Granted && !lent {
		m.slotBackoffs.refused(m.Time.Now(), asks[0].Server, answer.Slot)
	}
	return answer.Slot, nil
}

// ReturnPlace implements relay.Slots.
func (m *Member) ReturnPlace(s backpressure.Slot) {
	record, _ := m.Lease.Current()
	message := ReturnPlace{Term: s.Term, Server: s.Server, Loan: s.Loan}
	if record.Address == m.Self.Peers {
		m.Holder.returnPlace(message)
		return
	}
	m.Transport.Send(record.Address, message)
}

// returnPlace ends the loan of a place.
func (h *Holder) returnPlace(r ReturnPlace) { h.slots.Return(r.Term, r.Server, r.Loan) }

// grantSlot grants a slot if there is one. It does not wait for the goroutine of Run, which may be planning.
func (h *Holder) grantSlot(now time.Time, a AskSlot) SlotAnswer {
	term, held := h.Lease.Held()
	if !held || !h.hasMajority(now) {
		return SlotAnswer{}
	}
	h.slots.Begin(now, term)
	return SlotAnswer{Term: term, Slot: h.slots.Take(now, a.Servers[:min(len(a.Servers), maxSlotServers)], a.Within)}
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
