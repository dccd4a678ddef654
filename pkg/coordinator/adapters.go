package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// adapterIdle is how long an adapter must be unused before it may be replaced.
const adapterIdle = 1500 * time.Millisecond

// planAdapters orders the adapters that requests wait for.
func (h *Holder) planAdapters(now time.Time, service string, e *route.Engine) {
	for key, d := range h.demands {
		need := backend.ParseNeed(key.need)
		if key.service != service || need.Adapter == "" || e.Models[need.Model] == nil {
			continue
		}
		h.recordAdapterUse(now, service, need, d)
		if h.loadPause(now, service, key.need) > 0 {
			continue
		}
		h.planBoundAdapters(now, service, need, d, e)
		if !d.waits(now) || h.heldBy(now, service, need) != "" || h.adapterUnderWay(now, service, need, anyServer) {
			continue
		}
		if s := h.adapterServer(now, service, need, e, anyServer); s != nil && h.prepare(now, s) {
			h.orderAdapter(now, s, need, e)
		}
	}
}

// recordAdapterUse sets the last use of an adapter at the servers that hold it.
func (h *Holder) recordAdapterUse(now time.Time, service string, need backend.Need, d *demand) {
	for _, s := range h.serversWith(service, need.Model) {
		if known := s.holds[need.Model]; known != nil {
			if used, has := known.adapters[need.Adapter]; has && d.lastArrival.After(used) {
				known.adapters[need.Adapter] = d.lastArrival
			}
		}
	}
}

// anyServer is a filter that all servers pass.
func anyServer(*serverState) bool { return true }

// adapterUnderWay tells whether a server that passes a filter is loading the adapter, or may be.
func (h *Holder) adapterUnderWay(now time.Time, service string, need backend.Need, fits func(*serverState) bool) bool {
	for _, s := range h.serversWith(service, need.Model) {
		if s.removed || s.member.Withdrawn() || !fits(s) {
			continue
		}
		if s.unresolved != nil && s.unresolved.need == need {
			return true
		}
		if known := s.holds[need.Model]; known != nil && now.Before(known.arriving[need.Adapter]) {
			return true
		}
	}
	return false
}

// adapterServer picks the server to load an adapter: of those that pass a filter one that holds its model, with the
// fewest adapters.
func (h *Holder) adapterServer(now time.Time, service string, need backend.Need, e *route.Engine, fits func(*serverState) bool) *serverState {
	var able []*serverState
	for _, s := range h.serversWith(service, need.Model) {
		if s.removed || !s.usable(now) || s.awaitingAnswer || s.unresolved != nil || s.holds[need.Model] == nil || !fits(s) {
			continue
		}
		if s.busy != nil {
			continue // it would refuse the order
		}
		if !s.takesAdapter(now, e, need.Model) && (s.doubtful(now) || s.idleAdapter(now).Adapter == "") {
			continue
		}
		able = append(able, s)
	}
	if len(able) == 0 {
		return nil
	}
	return slices.MinFunc(able, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(a.adapterCount(now), b.adapterCount(now)), cmp.Compare(a.id, b.id))
	})
}

// adapterCount returns how many adapters the server holds or is loading.
func (s *serverState) adapterCount(now time.Time) int {
	count := 0
	for _, known := range s.holds {
		count += known.adapterCount(now)
	}
	return count
}

// adapterCount returns how many adapters of the model the server holds or is loading.
func (k *holding) adapterCount(now time.Time) int {
	count := len(k.adapters)
	for name, until := range k.arriving {
		if _, has := k.adapters[name]; !has && now.Before(until) {
			count++
		}
	}
	return count
}

// takesAdapter tells whether a server has a place and memory for one more adapter of a model that it holds.
func (s *serverState) takesAdapter(now time.Time, e *route.Engine, model string) bool {
	weights, adapters, known := s.usedBytes(now)
	return known && s.adapterCount(now) < e.AdapterPlaces && weights+adapters+s.holds[model].size.adapter <= e.WeightBytes
}

// idleAdapter returns the least recently used adapter, none if all were used recently.
func (s *serverState) idleAdapter(now time.Time) backend.Need {
	var idle backend.Need
	oldest := now.Add(-adapterIdle)
	for model, known := range s.holds {
		for name, used := range known.adapters {
			if used.Before(oldest) && now.After(known.arriving[name]) {
				oldest, idle = used, backend.Need{Model: model, Adapter: name}
			}
		}
	}
	return idle
}

// orderAdapter orders the load of an adapter, or first the unload of one to free its place.
func (h *Holder) orderAdapter(now time.Time, s *serverState, need backend.Need, e *route.Engine) {
	if !s.takesAdapter(now, e, need.Model) {
		idle := s.idleAdapter(now)
		h.sendNotice(Notice{Server: s.id, Need: idle.String(), Holds: false})
		h.sendOrder(s, order{need: idle}, false, 0, "room for "+need.String())
		return
	}
	s.holds[need.Model].arriving[need.Adapter] = now.Add(adapterRecordTime)
	h.sendOrder(s, order{load: true, need: need}, false, adapterTime, "wished")
}
