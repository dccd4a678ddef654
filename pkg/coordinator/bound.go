package coordinator

import (
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// Streams that go on at one software version only need their model at a server of that version. An adapter is
// loaded there for them. A model is not: the stream's caller leaves long before it is ready.

// handleBoundRequest handles a load request for a stream that is bound to a software version.
func (h *Holder) handleBoundRequest(now time.Time, w WishMessage, d *demand) (WishAnswer, <-chan struct{}) {
	answer := WishAnswer{Term: h.term}
	need := backend.ParseNeed(w.Need)
	h.recheckHolding(now, w.Missing, need)
	if s := h.boundHolder(now, w.Service, need, w.Software); s != nil {
		answer.Server = s.id
		h.sendNotice(Notice{Server: s.id, Need: w.Need, Holds: true})
		return answer, nil
	}
	if need.Adapter == "" || h.boundHolder(now, w.Service, backend.Need{Model: need.Model}, w.Software) == nil {
		return answer, nil
	}
	if d.bound == nil {
		d.bound = make(map[string]time.Time)
	}
	d.bound[w.Software], d.lastArrival = now.Add(loadRequestTTL), now
	return answer, h.planNext()
}

// boundHolder returns a server of a software version that certainly holds what a request needs, nil if none does.
func (h *Holder) boundHolder(now time.Time, service string, need backend.Need, software string) *serverState {
	for _, s := range h.candidates(service, need) {
		if !s.removed && !s.member.Withdrawn() && s.member.Software == software && !s.unresponsive(now) && !s.gone(now) &&
			!s.sequenceUnknown && s.ready(now, need) {
			return s
		}
	}
	return nil
}

// planBoundAdapters orders an adapter at the software versions whose streams wait for it.
func (h *Holder) planBoundAdapters(now time.Time, service string, need backend.Need, d *demand, e *route.Engine) {
	for software, until := range d.bound {
		if !now.Before(until) {
			delete(d.bound, software)
			continue
		}
		fits := func(s *serverState) bool { return s.member.Software == software }
		if h.boundHolder(now, service, need, software) != nil || h.adapterUnderWay(now, service, need, fits) {
			continue
		}
		if s := h.adapterServer(now, service, need, e, fits); s != nil && h.prepare(now, s) {
			h.orderAdapter(now, s, need, e)
		}
	}
}

// boundReadyIn returns the time until an adapter is expected to be ready at a software version; zero if it is not
// being loaded there.
func (h *Holder) boundReadyIn(now time.Time, w WishMessage) time.Duration {
	fits := func(s *serverState) bool { return s.member.Software == w.Software }
	if !h.adapterUnderWay(now, w.Service, backend.ParseNeed(w.Need), fits) {
		return 0
	}
	return 2 * adapterTime
}
