package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// look asks the servers for reports whose operations should be done or are in
// doubt.
func (h *Holder) look(now time.Time) {
	for _, s := range h.servers {
		if s.member == nil || s.asking || s.reportAt.IsZero() || now.Before(s.reportAt) || s.member.Rest(now) > 0 || !h.lists(s.member.Service) {
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
					h.reported(h.Time.Now(), s, report, err)
				}
			})
		}()
	}
}

// reported takes in a report. It lies a little behind.
func (h *Holder) reported(now time.Time, s *serverState, r Report, err error) {
	s.asking = false
	s.reportAt = now.Add(reportPause)
	if s.due(now) {
		s.reportAt = now.Add(duePause)
		h.planAt(s.reportAt)
	}
	if err != nil {
		if errors.Is(err, ErrOtherLife) && !s.unsure {
			h.Logger.Info("another life answers", "server", s.id, "record", s.version, "error", err)
		}
		s.unsure = s.unsure || errors.Is(err, ErrOtherLife)
		s.failures++
		s.reportAt = now.Add(s.rest())
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
		h.guardOrdersToCome(s, r)
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

// guardOrdersToCome has a server refuse orders of earlier holders that it did not take
// though it was left alone for as long as they should need: an order that was not answered
// may be carried out many seconds later. What the server is to hold by then, it and the
// orders given meanwhile, may be beyond its memory.
func (h *Holder) guardOrdersToCome(s *serverState, r Report) {
	if h.Fenced && r.Sequence < s.mayCome && !s.guarded {
		s.guarded = true
		h.Logger.Info("server is guarded", "server", s.id, "sequence", r.Sequence, "orders", s.mayCome)
	}
	s.mayCome = 0
}

// due tells whether the server is asked often: what it carries out should be done by
// now, and requests may wait for it.
func (s *serverState) due(now time.Time) bool {
	return s.busy != nil && now.Sub(s.busy.readyAt) < dueTime
}

// inherit takes over an operation that an order of an earlier holder began. The
// record of the lease tells which; until it is done, what the server holds is
// not known.
func (h *Holder) inherit(now time.Time, s *serverState, r Report) {
	s.unsure = true
	intent := s.inherited
	need := backend.ParseNeed(intent.Need)
	if need.Model == "" || need.Adapter != "" || intent.After != r.Sequence {
		return // it carries out an order that no intent tells of
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
	h.about(s, need.Model)
	h.Logger.Info("order inherited", "server", s.id, "load", intent.Load, "model", intent.Need, "sequence", r.Sequence)
}
