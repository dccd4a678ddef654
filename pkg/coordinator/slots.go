package coordinator

import (
	"context"
	"sync"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/peer"
)

// AskSlot asks the holder for a slot at one of some servers that limit their requests.
type AskSlot struct {
	Servers []backpressure.Ask
	Within  time.Duration
}

// SlotAnswer answers AskSlot.
type SlotAnswer struct {
	Term uint64 // zero: not the holder
	Slot backpressure.Slot
}

func init() { peer.Register(AskSlot{}, SlotAnswer{}) }

// mostAskedSlots bounds the servers of one question that the holder looks at.
const mostAskedSlots = 64

// slotRest is how long a node that was told that there is no slot turns requests away by itself: slots are
// given out for a second ahead, so that none is lost by it, and a flood asks the holder ten times a second.
const slotRest = 100 * time.Millisecond

// slotRests are the servers at which there was no slot a moment ago. The zero value is ready to use. Safe for
// concurrent use.
type slotRests struct {
	mu   sync.Mutex
	told map[string]slotRefusal // by the life of the server that was asked for first
}

// slotRefusal is the last word on a server, and how many requests went by it since.
type slotRefusal struct {
	at   time.Time
	slot backpressure.Slot
	more int
}

// look returns what a request to a server is told without a question, each one to come back a little later.
func (r *slotRests) look(now time.Time, a backpressure.Ask) (backpressure.Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, told := r.told[a.Server]
	if !told || now.Sub(last.at) >= slotRest {
		return backpressure.Slot{}, false
	}
	last.more++
	r.told[a.Server] = last
	return backpressure.Slot{Wait: last.slot.Wait + time.Duration(last.more)*a.Interval()}, true
}

// refused notes that there was no slot.
func (r *slotRests) refused(now time.Time, server string, s backpressure.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.told == nil {
		r.told = make(map[string]slotRefusal)
	}
	for id, last := range r.told {
		if now.Sub(last.at) >= slotRest {
			delete(r.told, id)
		}
	}
	r.told[server] = slotRefusal{at: now, slot: s}
}

// TakeSlot implements relay.Slots.
func (m *Member) TakeSlot(ctx context.Context, asks []backpressure.Ask, within time.Duration) (backpressure.Slot, error) {
	if s, told := m.slotRests.look(m.Time.Now(), asks[0]); told {
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := ask[SlotAnswer](ctx, m, AskSlot{Servers: asks, Within: within})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		return backpressure.Slot{}, err
	}
	if !answer.Slot.Granted {
		m.slotRests.refused(m.Time.Now(), asks[0].Server, answer.Slot)
	}
	return answer.Slot, nil
}

// giveSlot gives out a slot. It does not wait for the holder's goroutine, which may be planning.
func (h *Holder) giveSlot(now time.Time, a AskSlot) SlotAnswer {
	term, held := h.Lease.Held()
	if !held || !h.isFollowed(now) {
		return SlotAnswer{}
	}
	h.slots.Begin(now, term)
	return SlotAnswer{Term: term, Slot: h.slots.Take(now, a.Servers[:min(len(a.Servers), mostAskedSlots)], a.Within)}
}

// noteShort notes which servers have too little room for what comes: their limit turned requests away.
func (h *Holder) noteShort(now time.Time) {
	for _, id := range h.slots.Short(now) {
		h.shorten(now, id, leastShort)
	}
}

// Bounds of how long a server counts as short of room by one word: until the next plans have seen it, and no
// longer than a load takes, after which the nodes say again what is so.
const (
	leastShort = time.Second
	mostShort  = 5 * time.Second
)

// shorten notes that a server turns requests away for some time.
func (h *Holder) shorten(now time.Time, id string, d time.Duration) {
	s := h.servers[id]
	if s == nil {
		return
	}
	if !s.short(now) {
		h.Logger.Info("server is short of room", "server", id, "models", len(s.holds), "for_ms", d.Milliseconds())
	}
	s.shortUntil = latest(s.shortUntil, now.Add(min(max(d, leastShort), mostShort)))
}

// short tells whether the server turns requests away, by its limit or for a rest, so that another one is to
// hold what it holds.
func (s *serverState) short(now time.Time) bool { return now.Before(s.shortUntil) }

// spared tells whether the server is to get no loads, and other servers are to hold what it holds.
func (s *serverState) spared(now time.Time) bool { return s.member.Withdrawn() || s.short(now) }
