package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// pollServers requests reports from servers whose operations should be done, or whose state or sequence is
// uncertain.
func (h *Holder) pollServers(now time.Time) {
	for _, s := range h.servers {
		asleep := s.reportAt.IsZero() && !s.recheck // a server to recheck gets no orders before its next report
		if s.member == nil || s.awaitingAnswer || asleep || now.Before(s.reportAt) || s.member.BackOff(now) > 0 || !h.configured(s.member.Service) {
			continue
		}
		if s.busy == nil && s.unresolved == nil && !s.sequenceUnknown && !s.recheck {
			s.reportAt = time.Time{}
			continue
		}
		s.awaitingAnswer = true
		server, term := s.member, h.term
		go func() {
			ctx, cancel := context.WithTimeout(h.runCtx, reportTimeout)
			defer cancel()
			report, err := h.Orders.FetchReport(ctx, server)
			h.post(func() {
				if h.term == term {
					h.handleReport(h.Time.Now(), s, report, err)
				}
			})
		}()
	}
}

// handleReport handles a server's report, which may lag a little behind its state.
func (h *Holder) handleReport(now time.Time, s *serverState, r Report, err error) {
	s.awaitingAnswer = false
	s.reportAt = now.Add(reportPause)
	if s.reportDue(now) {
		s.reportAt = now.Add(duePollInterval)
		h.planAt(s.reportAt)
	}
	if err != nil {
		if errors.Is(err, ErrOtherIncarnation) && !s.sequenceUnknown {
			h.Logger.Info("another life answers", "server", s.id, "record", s.version, "error", err)
		} else if s.failures == 0 {
			h.Logger.Warn("no report", "server", s.id, "record", s.version, "error", err)
		}
		s.sequenceUnknown = s.sequenceUnknown || errors.Is(err, ErrOtherIncarnation)
		s.failures++
		s.reportAt = now.Add(s.backoff())
		s.avoidUntil = s.reportAt
		return
	}
	s.failures = 0
	s.setCached(r.InMemory, r.OnDisk)
	if r.Sequence < s.sequence {
		if now.Sub(s.acceptedAt) < reportSettleTime {
			return // the report predates the last order
		}
		h.Logger.Warn("server accepted fewer orders than assumed", "server", s.id, "sequence", r.Sequence, "believed", s.sequence)
	}
	if r.Busy && s.busy == nil {
		h.inheritOperation(now, s, r)
		return
	}
	if s.recheck && now.Before(s.quietUntil) {
		s.reportAt = s.quietUntil
	} else {
		s.recheck = false
		h.fenceLateOrders(s, r)
	}
	if s.sequenceUnknown {
		h.Logger.Info("server report received", "server", s.id, "sequence", r.Sequence, "believed", s.sequence, "busy", r.Busy)
		s.sequenceUnknown = false
	}
	if s.unresolved != nil && r.Sequence >= s.unresolved.after {
		h.Logger.Info("server accepted the unanswered order", "server", s.id, "model", s.unresolved.need.String(), "sequence", r.Sequence)
		s.unresolved = nil
	}
	s.resend = s.unresolved != nil
	h.applyReport(now, s, r)
	if s.busy != nil && !r.Busy && s.unresolved == nil && now.Sub(s.busy.since) > reportLag+reportPause && now.After(s.busy.readyAt) {
		h.Logger.Warn("order had no effect", "server", s.id, "model", s.busy.need.String(), "load", s.busy.load)
		s.busy = nil
	}
}

// fenceLateOrders makes a server refuse orders of earlier holders that it has not accepted within the
// usual time. An order without an answer may be carried out many seconds later, and what it loads, together
// with what is ordered meanwhile, may exceed the server's memory.
func (h *Holder) fenceLateOrders(s *serverState, r Report) {
	if h.Fenced && r.Sequence < s.maxLateSequence && !s.needsFence {
		s.needsFence = true
		h.Logger.Info("server must see the fence before its next order", "server", s.id, "sequence", r.Sequence, "orders", s.maxLateSequence)
	}
	s.maxLateSequence = 0
}

// reportDue tells whether the server is polled often: its operation should be done by now, and requests may
// wait for it.
func (s *serverState) reportDue(now time.Time) bool {
	return s.busy != nil && now.Sub(s.busy.readyAt) < overdueAfter
}

// inheritOperation takes over an operation that an earlier holder ordered. The lease's record tells which one
// it is; otherwise what the server holds is unknown until the operation is done.
func (h *Holder) inheritOperation(now time.Time, s *serverState, r Report) {
	s.sequenceUnknown = true
	intent := s.inherited
	need := backend.ParseNeed(intent.Need)
	if need.Model == "" || need.Adapter != "" || intent.After != r.Sequence {
		return // no recorded intent is about this order
	}
	s.sequenceUnknown, s.inherited = false, lease.Intent{}
	h.applyReport(now, s, r)
	expected := unloadTime
	if e := h.engineOf(s); intent.Load && e != nil && e.Models[need.Model] != nil {
		expected, _ = s.loadTime(e.Models[need.Model])
	}
	s.busy = &operation{
		order: order{load: intent.Load, need: need, after: r.Sequence},
		since: now, readyAt: now.Add(expected), fetch: intent.Fetch,
	}
	if intent.Load {
		h.updateOccupant(now, s, need.Model, &s.busy.occupant)
	}
	h.indexOrder(s, need.Model)
	h.Logger.Info("order inherited", "server", s.id, "load", intent.Load, "model", intent.Need, "sequence", r.Sequence)
}
