package coordinator

import (
	"context"
	"strings"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/route"
)

// Times of a handover between holders.
const (
	// handoverTimeout bounds the wait for the last holder's answer. It does not answer if it is
	// disconnected or gone.
	handoverTimeout = 400 * time.Millisecond
	// majorityTTL is how long a count that found most nodes here is valid, in addition to the time of a plan.
	majorityTTL = 500 * time.Millisecond
	// heartbeatWindow is how recent a node's heartbeat must be for the node to count; nodes send one per second.
	heartbeatWindow = heartbeatInterval + 300*time.Millisecond
	// joinGrace is the time for reachable nodes to send heartbeats to a new holder after it announced itself.
	joinGrace = 300 * time.Millisecond
	// maxOrderDelay is how late an order may still be carried out.
	maxOrderDelay = 5 * time.Second
)

// allServers is the server name in intents of orders that only show the holder's fence to servers.
const allServers = ""

// adapterSeparator separates the model and the adapter in a need.
const adapterSeparator = "/"

// countHeartbeats records whether most nodes of the fleet sent a heartbeat to this holder recently. Another node may
// have taken the lease while this one does not reach the store. Servers then refuse this holder's orders by their fence,
// but nothing rejects what it admits by quotas and server limits: so at most one holder, the one that most nodes ask,
// may admit by them.
func (h *Holder) countHeartbeats(now time.Time) {
	if now.Sub(h.heartbeatsCountedAt) < tickInterval {
		return
	}
	h.heartbeatsCountedAt = now
	recent := 0
	for _, n := range h.nodes {
		if now.Sub(n.seen) <= heartbeatWindow {
			recent++
		}
	}
	if now.Sub(h.termBegan) > joinGrace {
		asking := float64(max(recent, 1)) / float64(max(h.fleet.known(), 1))
		h.heartbeatShare.Store(&asking)
	}
	last := h.currentMajority(now)
	if h.fleet.isMajority(recent) {
		next := majority{since: now, until: now.Add(majorityTTL + min(h.planTook, maxTickPause))}
		if last != nil {
			next.since = last.since
		}
		h.majority.Store(&next)
	}
	if is := h.hasMajority(now); is != h.majorityLogged {
		h.majorityLogged = is
		h.Logger.Info("most nodes ask this holder", "is", is, "asked", recent, "fleet", h.fleet.known(), "term", h.term)
	}
}

// recentHeartbeatShare returns the share of the nodes that sent heartbeats to this holder at the last count; 1
// before the first count of the term. Safe for concurrent use.
func (h *Holder) recentHeartbeatShare() float64 {
	if part := h.heartbeatShare.Load(); part != nil {
		return *part
	}
	return 1
}

// majority is the time since when most nodes have asked this holder without a gap, and until when that counts.
type majority struct {
	since, until time.Time
}

// MayContinueOffline tells whether this holder may give orders while the store does not answer. Servers must check
// fences, so that they refuse its orders after those of a later holder, and most nodes must ask this holder. Safe for
// concurrent use.
func (h *Holder) MayContinueOffline() bool {
	return h.Fenced && h.hasMajority(h.Time.Now())
}

// hasMajority tells whether most nodes asked this holder recently. Safe for concurrent use.
func (h *Holder) hasMajority(now time.Time) bool {
	return h.currentMajority(now) != nil
}

// majorityFor returns for how long most nodes have asked this holder; zero: they don't. Safe for concurrent use.
func (h *Holder) majorityFor(now time.Time) time.Duration {
	if f := h.currentMajority(now); f != nil {
		return now.Sub(f.since)
	}
	return 0
}

// currentMajority returns since when most nodes have asked this holder, nil if they don't. Safe for concurrent
// use.
func (h *Holder) currentMajority(now time.Time) *majority {
	if f := h.majority.Load(); f != nil && now.Before(f.until) {
		return f
	}
	return nil
}

// inheritIntents applies intents of an earlier holder. Their servers get no orders for a while: orders of two
// holders must not alternate, and these may still be carried out. Intents of an earlier incarnation of this node,
// which is not another holder, cause this wait only where servers check no fences.
func (h *Holder) inheritIntents(now time.Time, storeNow int64, intents []lease.Intent) {
	for _, i := range intents {
		at := now.Add(-time.Duration(storeNow-i.At) * time.Millisecond)
		quiet := at.Add(h.HandoverPause + lease.PermitTime)
		if h.Fenced && i.Term == h.Lease.OwnPreviousTerm() {
			quiet = at
		}
		if i.Server == allServers {
			h.quietUntil = latest(h.quietUntil, quiet)
			for _, s := range h.servers {
				s.quietUntil = latest(s.quietUntil, quiet)
			}
			continue
		}
		h.instance(i.Server).inherit(i, at, quiet)
		s := h.server(i.Server)
		s.quietUntil, s.recheck = latest(s.quietUntil, quiet), true
		s.maxLateSequence = max(s.maxLateSequence, i.After)
		if s.untouched {
			s.requestReport(now)
		}
		if !strings.Contains(i.Need, adapterSeparator) {
			s.inherited = i
		}
		if i.Fetch {
			h.fetchStarts = append(h.fetchStarts, at)
		}
	}
}

// takeOver asks the last holder for the orders that it gave while it could not write to the store, which the
// record lacks. If it does not answer, each server must refuse its late orders before it gets new ones.
func (h *Holder) takeOver(term uint64) {
	record, _ := h.Lease.Current()
	before := h.Lease.Previous()
	h.awaitingHandover, h.fenceAll = false, false
	if since, restored := h.Lease.TookOverAfterRestore(); restored {
		h.takeOverAfterRestore(since, before)
		return
	}
	switch {
	case before.Holder == h.Lease.Self && before.Epoch < record.Epoch:
		return // this incarnation goes on in a new term after the store came back: the record has all its orders
	case !h.Fenced || before.Holder == "":
		return // the last holder never continues without the store, or it released the lease
	case h.Lease.OwnPreviousTerm() > 0:
		h.requireFences("an earlier life of this node") // it ended, so it can't be asked for its orders
		return
	}
	h.awaitingHandover = true
	go func() {
		ctx, cancel := context.WithTimeout(h.runCtx, handoverTimeout)
		defer cancel()
		reply, err := h.Transport.Call(ctx, before.Address, Yield{Term: term, Holder: record.Holder, Address: record.Address})
		h.post(func() {
			if h.term != term {
				return
			}
			h.awaitingHandover = false
			answer, ok := reply.(Handover)
			if err != nil || !ok || answer.Holder != before.Holder || answer.Term != before.Term {
				h.requireFences("the last holder does not answer")
				return
			}
			h.Logger.Info("orders received from the last holder", "holder", before.Holder, "term", before.Term, "intents", len(answer.Intents))
			h.inheritIntents(h.Time.Now(), h.Lease.Now(), answer.Intents)
			h.planSoon = true
		})
	}()
}

// takeOverAfterRestore begins a term whose record comes from a restored backup of the store: it lacks recent orders of the
// last holder, and may lack that holder itself. That holder gave no order later than PermitTime after the store was
// gone, and servers get no orders until then; where they check fences, each must also refuse late orders.
func (h *Holder) takeOverAfterRestore(since time.Time, before lease.Record) {
	h.quietUntil = latest(h.quietUntil, since.Add(lease.PermitTime+h.HandoverPause))
	for _, s := range h.servers {
		s.quietUntil, s.recheck = latest(s.quietUntil, h.quietUntil), true
	}
	h.Logger.Info("store lost its latest writes", "before", before.Holder, "term", before.Term,
		"rest_ms", max(h.Time.Until(h.quietUntil), 0).Milliseconds())
	if h.Fenced {
		h.requireFences("the store lost what was written last")
	}
}

// requireFences withholds orders from all servers until they refuse those of the last holder.
func (h *Holder) requireFences(reason string) {
	h.Logger.Info("servers must see the fence before their next order", "reason", reason, "servers", len(h.servers))
	h.fenceAll = true
	for _, s := range h.servers {
		s.needsFence = true
	}
}

// raiseFences sends servers that need it an order without effect, by which they see this holder's fence. Late
// orders can't change what they report after it.
func (h *Holder) raiseFences(now time.Time) {
	var orders []fenceOrder
	for _, s := range h.servers {
		if !s.needsFence || s.untouched || s.awaitingAnswer || s.sequenceUnknown || s.busy != nil || s.member == nil || now.Before(latest(s.quietUntil, s.avoidUntil)) {
			continue
		}
		e := h.engineOf(s)
		if e == nil {
			continue
		}
		need, found := s.missingModel(e)
		if !found { // it holds all models, so no such order exists: wait until late orders are over
			s.needsFence, s.quietUntil = false, latest(s.quietUntil, now.Add(maxOrderDelay))
			continue
		}
		s.awaitingAnswer = true
		orders = append(orders, fenceOrder{s, s.member, Order{Need: need, Holder: h.Lease.Self, Fence: h.term, Expected: s.sequence}})
	}
	if len(orders) > 0 {
		go h.sendFences(h.term, orders)
	}
}

// fenceOrder is an order without effect.
type fenceOrder struct {
	server *serverState // used by the goroutine of Run only
	member *backend.Member
	order  Order
}

// sendFences writes one intent for all the orders and sends them.
func (h *Holder) sendFences(term uint64, orders []fenceOrder) {
	writing, done := context.WithTimeout(h.runCtx, commitTimeout)
	defer done()
	permit, err := h.Lease.Commit(writing, []lease.Intent{{Server: allServers}})
	if err == nil && (permit.Term != term || !permit.Valid()) {
		err = errNotWritten
	}
	for _, o := range orders {
		go func() {
			result, err := Result(0), err
			if err == nil {
				o.order.Offline, o.order.CheckSend = permit.Offline, sendCheck(permit, o.member)
				ctx, cancel := context.WithTimeout(h.runCtx, h.Time.Until(permit.Until))
				defer cancel()
				result, err = h.Orders.SendOrder(ctx, o.member, o.order)
			}
			h.post(func() {
				if h.term == term {
					h.fenceRaised(h.Time.Now(), o.server, result, err)
				}
			})
		}()
	}
}

// missingModel returns a model that the server does not hold by its last report.
func (s *serverState) missingModel(e *route.Engine) (backend.Need, bool) {
	for name := range e.Models {
		if s.holds[name] == nil {
			return backend.Need{Model: name}, true
		}
	}
	return backend.Need{}, false
}

// fenceRaised handles the outcome of an order that shows the fence.
func (h *Holder) fenceRaised(now time.Time, s *serverState, result Result, err error) {
	h.Logger.Info("fence raised", "server", s.id, "fence", h.term, "sequence", s.sequence, "result", result, "error", err)
	s.awaitingAnswer = false
	s.sequenceUnknown, s.reportAt = true, now.Add(reportLag)
	switch {
	case err != nil:
		s.failures++
		s.avoidUntil = now.Add(s.backoff())
		s.reportAt = s.avoidUntil
	case result == Fenced:
		h.Lease.Resign(h.term)
	case result == Conflict: // another order was accepted or is under way: try again after a report
	default:
		s.needsFence, s.failures = false, 0
		s.acceptedAt = now // reports lag behind it
	}
}
