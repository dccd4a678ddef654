package coordinator

import (
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
)

// Limits of loads that crash servers. Without them, weights that crash every server that loads them take down 19 servers
// in 25 s of TestALoadThatCrashesServersIsPaused, with all models that these held; with them it is three in that time, and
// one more after each pause.
const (
	// crashesBeforePause is how many servers may crash in a row while they load a model or an adapter before its loads pause. A
	// successful load resets the count. Servers may crash independently at any moment, but loads take few
	// seconds, so three such crashes in a row during loads of the same model are rare.
	crashesBeforePause = 3
	// firstLoadPause is the first pause; each further crash doubles it, up to quarantine.Lifetime.
	firstLoadPause = 30 * time.Second
)

// crashingLoad is what is known of a model or an adapter during whose loads servers crashed.
type crashingLoad struct {
	crashes   int       // crashes in a row
	notBefore time.Time // earliest time of its next load
}

// noteLoadCrashes records that a server is gone that was loading a model or adapters, or had orders to.
func (h *Holder) noteLoadCrashes(now time.Time, s *serverState) {
	if s.member == nil || s.member.AnnouncedLeaving() {
		return
	}
	if s.busy != nil && s.busy.load {
		h.noteLoadCrash(now, s, s.busy.need.Model)
	}
	for model, known := range s.holds {
		for adapter, until := range known.arriving {
			if now.Before(until.Add(quarantine.SuspicionTime)) { // its record goes that much later than the server at most
				h.noteLoadCrash(now, s, backend.Need{Model: model, Adapter: adapter}.String())
			}
		}
	}
}

// noteLoadCrash records that a server is gone that was loading a model or an adapter.
func (h *Holder) noteLoadCrash(now time.Time, s *serverState, need string) {
	key := demandKey{s.member.Service, need}
	f := h.crashingLoads[key]
	if f == nil {
		f = &crashingLoad{}
		h.crashingLoads[key] = f
	}
	f.crashes++
	if f.crashes >= crashesBeforePause {
		pause := min(firstLoadPause<<min(f.crashes-crashesBeforePause, 8), quarantine.Lifetime)
		f.notBefore = now.Add(pause)
		h.Logger.Warn("loads of a model paused after server crashes", "service", key.service, "model", key.need, "servers_ended", f.crashes,
			"last", s.id, "for_ms", pause.Milliseconds())
	}
}

// noteLoaded records that a server has loaded a model or an adapter, which clears its crashes.
func (h *Holder) noteLoaded(service, need string) {
	delete(h.crashingLoads, demandKey{service, need})
}

// loadPause returns how long a model or an adapter must not be loaded because its loads may crash servers; zero: it may
// be loaded. After a pause, one server at a time loads it.
func (h *Holder) loadPause(now time.Time, service, need string) time.Duration {
	f := h.crashingLoads[demandKey{service, need}]
	if f == nil || f.crashes < crashesBeforePause {
		return 0
	}
	if left, loading := h.remainingLoadTime(now, service, need); loading {
		return left
	}
	return max(f.notBefore.Sub(now), 0)
}

// dropPaused removes demand for models whose loads pause, so that no memory is freed for them.
func (h *Holder) dropPaused(now time.Time, service string, w *serviceDemand) {
	for model := range w.waiting {
		if f := h.crashingLoads[demandKey{service, model}]; f != nil && now.Before(f.notBefore) {
			delete(w.waiting, model)
		}
	}
}
