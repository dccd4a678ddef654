package coordinator

import (
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// Bounds of loads under which servers ended. Weights that end whoever loads them took 19
// servers in 25 s of TestALoadThatEndsServersIsPutOff, with all models that these held; now
// three in that time, and one more with each pause.
const (
	// fatalLosses is how many servers may end while they load a model, none having loaded it
	// in between, until its loads pause. Servers that end by themselves do so at any moment:
	// loads take few seconds, and that three in a row end in one of the same model is rare.
	fatalLosses = 3
	// fatalPause is the first pause; each further loss doubles it, up to quarantine.Lifetime.
	fatalPause = 30 * time.Second
)

// fatalLoad is what is known of a model during whose loads servers ended.
type fatalLoad struct {
	servers   int       // in a row
	notBefore time.Time // of its next load
}

// loseLoad notes that a server is gone which was loading a model, or had an order to.
func (h *Holder) loseLoad(now time.Time, s *serverState) {
	if s.busy == nil || !s.busy.load || s.member == nil || s.member.Declared() {
		return
	}
	key := demandKey{s.member.Service, s.busy.need.Model}
	f := h.fatal[key]
	if f == nil {
		f = &fatalLoad{}
		h.fatal[key] = f
	}
	f.servers++
	if f.servers >= fatalLosses {
		pause := min(fatalPause<<min(f.servers-fatalLosses, 8), quarantine.Lifetime)
		f.notBefore = now.Add(pause)
		h.Logger.Warn("loads of a model pause", "service", key.service, "model", key.need, "servers_ended", f.servers,
			"last", s.id, "for_ms", pause.Milliseconds())
	}
}

// loaded notes that a server has loaded a model: it does not end servers.
func (h *Holder) loaded(service, model string) { delete(h.fatal, demandKey{service, model}) }

// loadsPause returns for how long a model is not loaded since it may end servers; zero: it may
// be. After a pause one server at a time is given it.
func (h *Holder) loadsPause(now time.Time, service, model string) time.Duration {
	f := h.fatal[demandKey{service, model}]
	if f == nil || f.servers < fatalLosses {
		return 0
	}
	if left, loading := h.loadingLeft(now, service, model); loading {
		return left
	}
	return max(f.notBefore.Sub(now), 0)
}

// dropPaused takes the wishes for models out whose loads pause: no room is made for them.
func (h *Holder) dropPaused(now time.Time, service string, w *wanted) {
	for model := range w.wishes {
		if f := h.fatal[demandKey{service, model}]; f != nil && now.Before(f.notBefore) {
			delete(w.wishes, model)
		}
	}
}
