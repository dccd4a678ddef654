package coordinator

import (
	"context"
	"strings"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/route"
)

// Times of a change of holder.
const (
	// handoverTimeout bounds the wait for the last holder's word. One that is cut off or
	// gone does not answer.
	handoverTimeout = 400 * time.Millisecond
	// followTime is how old the holder's count of its followers may be, besides the time of a plan.
	followTime = 500 * time.Millisecond
	// followerTime is within which nodes count that beat, each second.
	followerTime = beatInterval + 300*time.Millisecond
	// askersJoin is within which the nodes that reach a new holder beat to it, as it announces itself.
	askersJoin = 300 * time.Millisecond
	// latestOrder is how late an order may still be carried out.
	latestOrder = 5 * time.Second
)

// everyServer stands in intents of orders that have servers see the holder's fence.
const everyServer = ""

// adapterMark stands in the names of adapters.
const adapterMark = "/"

// countFollowers notes whether most nodes of the fleet beat to this holder a moment ago. Another one may have
// the lease while the store does not answer this one. Servers refuse its orders by their fence, but nothing
// refuses what it lets in by quotas and limits of servers: there is to be one at a time that most nodes ask.
func (h *Holder) countFollowers(now time.Time) {
	if now.Sub(h.counted) < tickInterval {
		return
	}
	h.counted = now
	beating := 0
	for _, n := range h.nodes {
		if now.Sub(n.seen) <= followerTime {
			beating++
		}
	}
	if now.Sub(h.begunAt) > askersJoin {
		asking := float64(max(beating, 1)) / float64(max(h.fleet.known(), 1))
		h.asking.Store(&asking)
	}
	last := h.followers(now)
	if h.fleet.most(beating) {
		next := following{since: now, until: now.Add(followTime + min(h.planTook, mostTickPause))}
		if last != nil {
			next.since = last.since
		}
		h.followed.Store(&next)
	}
	if is := h.isFollowed(now); is != h.toldFollowed {
		h.toldFollowed = is
		h.Logger.Info("most nodes ask this holder", "is", is, "asked", beating, "fleet", h.fleet.known(), "term", h.term)
	}
}

// askedPart returns which part of the nodes beat to this holder when they were counted last, all if they were not yet in
// this term. Safe for concurrent use.
func (h *Holder) askedPart() float64 {
	if part := h.asking.Load(); part != nil {
		return *part
	}
	return 1
}

// following is since when most nodes ask the holder, without a gap, and until when that counts.
type following struct {
	since, until time.Time
}

// MayGoOn tells whether this holder may give orders while the store does not answer:
// servers judge by the fence, so that a later holder ends it, and most nodes ask this one.
// Safe for concurrent use.
func (h *Holder) MayGoOn() bool {
	return h.Fenced && h.isFollowed(h.Time.Now())
}

// isFollowed tells whether most nodes asked this holder a moment ago. Safe for concurrent use.
func (h *Holder) isFollowed(now time.Time) bool {
	return h.followers(now) != nil
}

// followedFor returns for how long most nodes have asked this holder; zero: they don't. Safe for concurrent use.
func (h *Holder) followedFor(now time.Time) time.Duration {
	if f := h.followers(now); f != nil {
		return now.Sub(f.since)
	}
	return 0
}

// followers returns since when most nodes have asked this holder, nil if they don't. Safe for concurrent use.
func (h *Holder) followers(now time.Time) *following {
	if f := h.followed.Load(); f != nil && now.Before(f.until) {
		return f
	}
	return nil
}

// inheritIntents takes in orders of an earlier holder. Servers rest after them: two holders
// are not to take turns, and they may still be carried out. Those of an earlier life of this
// node, which is no other holder, are waited for only where servers check no fences.
func (h *Holder) inheritIntents(now time.Time, storeNow int64, intents []lease.Intent) {
	for _, i := range intents {
		at := now.Add(-time.Duration(storeNow-i.At) * time.Millisecond)
		quiet := at.Add(h.Turns + lease.PermitTime)
		if h.Fenced && i.Term == h.Lease.OwnPreviousTerm() {
			quiet = at
		}
		if i.Server == everyServer {
			h.quietUntil = latest(h.quietUntil, quiet)
			for _, s := range h.servers {
				s.quietUntil = latest(s.quietUntil, quiet)
			}
			continue
		}
		h.instance(i.Server).inherit(i, at, quiet)
		s := h.server(i.Server)
		s.quietUntil, s.recheck = latest(s.quietUntil, quiet), true
		s.mayCome = max(s.mayCome, i.After)
		if s.untouched {
			s.ask(now)
		}
		if !strings.Contains(i.Need, adapterMark) {
			s.inherited = i
		}
		if i.Fetch {
			h.fetches = append(h.fetches, at)
		}
	}
}

// takeOver asks the last holder for its orders that the record does not tell of, which it
// gave while it could not write to the store. If it does not answer, each server is made
// to refuse what may still come from it before it gets orders.
func (h *Holder) takeOver(term uint64) {
	record, _ := h.Lease.Current()
	before := h.Lease.Previous()
	h.taking, h.guarding = false, false
	if since, is := h.Lease.TookOverAfterRestore(); is {
		h.takeOverCopy(since, before)
		return
	}
	switch {
	case before.Holder == h.Lease.Self && before.Epoch < record.Epoch:
		return // this life went on in a new term after the store came back: the record tells of all its orders
	case !h.Fenced || before.Holder == "":
		return // it never goes on without the store, or it released the lease
	case h.Lease.OwnPreviousTerm() > 0:
		h.guard("an earlier life of this node") // which can't be asked any more
		return
	}
	h.taking = true
	go func() {
		ctx, cancel := context.WithTimeout(h.life, handoverTimeout)
		defer cancel()
		reply, err := h.Transport.Call(ctx, before.Address, Yield{Term: term, Holder: record.Holder, Address: record.Address})
		h.post(func() {
			if h.term != term {
				return
			}
			h.taking = false
			answer, ok := reply.(Handover)
			if err != nil || !ok || answer.Holder != before.Holder || answer.Term != before.Term {
				h.guard("the last holder does not answer")
				return
			}
			h.Logger.Info("handed over", "holder", before.Holder, "term", before.Term, "intents", len(answer.Intents))
			h.inheritIntents(h.Time.Now(), h.Lease.Now(), answer.Intents)
			h.planSoon = true
		})
	}()
}

// takeOverCopy begins a term whose record the store has from a copy: it tells neither of all orders of the last holder
// nor who that was. It gave none later than PermitTime after the store was away, and servers rest after them; where
// they check fences, each is made to refuse what may still come.
func (h *Holder) takeOverCopy(since time.Time, before lease.Record) {
	h.quietUntil = latest(h.quietUntil, since.Add(lease.PermitTime+h.Turns))
	for _, s := range h.servers {
		s.quietUntil, s.recheck = latest(s.quietUntil, h.quietUntil), true
	}
	h.Logger.Info("store lost what was written last", "before", before.Holder, "term", before.Term,
		"rest_ms", max(h.Time.Until(h.quietUntil), 0).Milliseconds())
	if h.Fenced {
		h.guard("the store lost what was written last")
	}
}

// guard has no server get orders before it refuses those of the last holder.
func (h *Holder) guard(reason string) {
	h.Logger.Info("servers are guarded", "reason", reason, "servers", len(h.servers))
	h.guarding = true
	for _, s := range h.servers {
		s.guarded = true
	}
}

// raiseFences gives the servers that are guarded an order without effect, by which they
// see this holder's fence. What they report after it can't be changed by late orders.
func (h *Holder) raiseFences(now time.Time) {
	var orders []fenceOrder
	for _, s := range h.servers {
		if !s.guarded || s.untouched || s.asking || s.unsure || s.busy != nil || s.member == nil || now.Before(latest(s.quietUntil, s.avoidUntil)) {
			continue
		}
		e := h.engineOf(s)
		if e == nil {
			continue
		}
		need, found := s.lacks(e)
		if !found { // it holds all there are: late orders are waited for
			s.guarded, s.quietUntil = false, latest(s.quietUntil, now.Add(latestOrder))
			continue
		}
		s.asking = true
		orders = append(orders, fenceOrder{s, s.member, Order{Need: need, Holder: h.Lease.Self, Fence: h.term, Expected: s.sequence}})
	}
	if len(orders) > 0 {
		go h.sendFences(h.term, orders)
	}
}

// fenceOrder is an order without effect.
type fenceOrder struct {
	server *serverState // for the holder's goroutine
	member *backend.Member
	order  Order
}

// sendFences writes one intent for all and gives the orders.
func (h *Holder) sendFences(term uint64, orders []fenceOrder) {
	writing, done := context.WithTimeout(h.life, commitTimeout)
	defer done()
	permit, err := h.Lease.Commit(writing, []lease.Intent{{Server: everyServer}})
	if err == nil && (permit.Term != term || !permit.Valid()) {
		err = errNotWritten
	}
	for _, o := range orders {
		go func() {
			result, err := Result(0), err
			if err == nil {
				o.order.Offline, o.order.May = permit.Offline, mayBy(permit, o.member)
				ctx, cancel := context.WithTimeout(h.life, h.Time.Until(permit.Until))
				defer cancel()
				result, err = h.Orders.Give(ctx, o.member, o.order)
			}
			h.post(func() {
				if h.term == term {
					h.fenceRaised(h.Time.Now(), o.server, result, err)
				}
			})
		}()
	}
}

// lacks returns a model that the server does not hold by its last word.
func (s *serverState) lacks(e *route.Engine) (backend.Need, bool) {
	for name := range e.Models {
		if s.holds[name] == nil {
			return backend.Need{Model: name}, true
		}
	}
	return backend.Need{}, false
}

// fenceRaised takes in what became of an order that has a server see the fence.
func (h *Holder) fenceRaised(now time.Time, s *serverState, result Result, err error) {
	h.Logger.Info("fence raised", "server", s.id, "fence", h.term, "sequence", s.sequence, "result", result, "error", err)
	s.asking = false
	s.unsure, s.reportAt = true, now.Add(reportLag)
	switch {
	case err != nil:
		s.failures++
		s.avoidUntil = now.Add(s.rest())
		s.reportAt = s.avoidUntil
	case result == Fenced:
		h.Lease.Resign(h.term)
	case result == Conflict: // another order came, or is under way: once more after a report
	default:
		s.guarded, s.failures = false, 0
		s.acceptedAt = now // reports lag behind it
	}
}
