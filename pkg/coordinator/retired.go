package coordinator

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tree"
)

// Times of models that the configuration does not list.
const (
	// retireDelay is how long a model must be unlisted until it is unloaded without need for its room. A holder that reads a
	// configuration late must not unload what the next one lists.
	retireDelay = 5 * time.Second
	// retireUseTime is how long an unlisted model stays while requests run on it. Its unload is ordered then: the server ends
	// those that run and begins no others.
	retireUseTime = 30 * time.Second
	// maxUnlistedModels bounds the unlisted models that the decider may choose from in one plan.
	maxUnlistedModels = 64
	// maxRetiredUnloads bounds the unloads of unlisted models in one plan, and the reports requested for them.
	maxRetiredUnloads = 8
)

// unlistedInput describes a model that the configuration does not list for the decider: it may be unloaded for others when
// it is idle, and is not loaded.
func (h *Holder) unlistedInput(now time.Time, service, name string, size modelSize, w *serviceDemand) policy.Model {
	model := policy.Model{Name: api.ModelName(name), Settings: tree.Settings{MemoryBytes: size.weights}, History: &policy.History{}}
	model.Demand.InFlight = w.inFlight[name]
	model.Replicas, _ = h.replicasOf(now, service, name, time.Time{}, w)
	return model
}

// planRetired orders the unload of models that the configuration has not listed for some time, and of those whose size is
// in doubt, so that their room can be used.
func (h *Holder) planRetired(now time.Time, service string, w *serviceDemand) {
	if h.learning(now) {
		return
	}
	chosen := 0
	for _, s := range h.indexOf(service).servers {
		if s.busy != nil || s.awaitingAnswer || s.unresolved != nil || !s.usable(now) {
			continue
		}
		model := s.retiredModel(now, w)
		if model == "" {
			continue
		}
		if h.prepare(now, s) {
			h.sendOrder(s, order{need: backend.Need{Model: model}}, false, unloadTime, "not listed")
			h.sendNotice(Notice{Server: s.id, Need: model, Holds: false})
		}
		if chosen++; chosen == maxRetiredUnloads {
			return
		}
	}
}

// retiredModel returns a model of the server that is to be unloaded as the configuration does not list it or its size is
// in doubt, the first by name; empty if there is none.
func (s *serverState) retiredModel(now time.Time, w *serviceDemand) string {
	first := ""
	for name, known := range s.holds {
		if (first == "" || name < first) && known.retired(now, w.running[replica{s.id, name}] > 0) {
			first = name
		}
	}
	return first
}

// retired tells whether a model is to be unloaded as the configuration does not list it or its size is in doubt.
func (k *holding) retired(now time.Time, inUse bool) bool {
	since := k.unlistedSince
	if since.IsZero() && !k.bounded() {
		since = k.since
	}
	if since.IsZero() {
		return false
	}
	if inUse {
		return now.Sub(since) >= retireUseTime
	}
	return now.Sub(since) >= retireDelay
}

// unlistedModels describes for the decider the models that servers hold and the configuration does not list, the first ones
// by name.
func (h *Holder) unlistedModels(now time.Time, service string, e *route.Engine, w *serviceDemand, present map[string]int) []policy.Model {
	var names []string
	for name := range present {
		if _, known := h.sizes.largest(service, name); known && e.Models[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var list []policy.Model
	for _, name := range names[:min(len(names), maxUnlistedModels)] {
		size, _ := h.sizes.largest(service, name)
		size.weights = min(size.weights, e.WeightBytes)
		list = append(list, h.unlistedInput(now, service, name, size, w))
	}
	return list
}
