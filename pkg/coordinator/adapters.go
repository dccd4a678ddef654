package coordinator

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// adapterIdle is how long an adapter is unused before it may make way.
const adapterIdle = 1500 * time.Millisecond

// planAdapters has the adapters loaded that requests wait for.
func (h *Holder) planAdapters(now time.Time, service string, e *route.Engine) {
	for key, d := range h.demands {
		need := backend.ParseNeed(key.need)
		if key.service != service || need.Adapter == "" || e.Models[need.Model] == nil {
			continue
		}
		h.touch(now, service, need, d)
		if !d.waits(now) || h.heldBy(now, service, need) != "" || h.adapterUnderWay(now, service, need) {
			continue
		}
		if s := h.adapterServer(now, service, need, e); s != nil && h.prepare(now, s) {
			h.giveAdapter(now, s, need, e)
		}
	}
}

// touch notes the last use of an adapter where it is held.
func (h *Holder) touch(now time.Time, service string, need backend.Need, d *demand) {
	for _, s := range h.holdersOf(service, need.Model) {
		if known := s.holds[need.Model]; known != nil {
			if used, has := known.adapters[need.Adapter]; has && d.last.After(used) {
				known.adapters[need.Adapter] = d.last
			}
		}
	}
}

// adapterUnderWay tells whether the adapter is held or on its way somewhere.
func (h *Holder) adapterUnderWay(now time.Time, service string, need backend.Need) bool {
	for _, s := range h.holdersOf(service, need.Model) {
		if s.removed || s.member.Withdrawn() {
			continue
		}
		if s.doubt != nil && s.doubt.need == need {
			return true
		}
		if known := s.holds[need.Model]; known != nil && now.Before(known.arriving[need.Adapter]) {
			return true
		}
	}
	return false
}

// adapterServer picks the server that gets an adapter: one that holds its model,
// with the fewest adapters.
func (h *Holder) adapterServer(now time.Time, service string, need backend.Need, e *route.Engine) *serverState {
	var able []*serverState
	for _, s := range h.holdersOf(service, need.Model) {
		if s.removed || !s.usable(now) || s.asking || s.doubt != nil || s.holds[need.Model] == nil {
			continue
		}
		if s.busy != nil {
			continue // it would refuse the order
		}
		if s.adapters(now) >= e.AdapterPlaces && s.idleAdapter(now).Adapter == "" {
			continue
		}
		able = append(able, s)
	}
	if len(able) == 0 {
		return nil
	}
	return slices.MinFunc(able, func(a, b *serverState) int {
		return cmp.Or(cmp.Compare(a.adapters(now), b.adapters(now)), cmp.Compare(a.id, b.id))
	})
}

// adapters returns how many adapters the server holds or is getting.
func (s *serverState) adapters(now time.Time) int {
	count := 0
	for _, known := range s.holds {
		count += len(known.adapters)
		for name, until := range known.arriving {
			if _, has := known.adapters[name]; !has && now.Before(until) {
				count++
			}
		}
	}
	return count
}

// idleAdapter returns the adapter that was unused for longest, none if all were
// used lately.
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

// giveAdapter orders an adapter, or the unload of one that makes way.
func (h *Holder) giveAdapter(now time.Time, s *serverState, need backend.Need, e *route.Engine) {
	if s.adapters(now) >= e.AdapterPlaces {
		idle := s.idleAdapter(now)
		h.tell(Notice{Server: s.id, Need: idle.String(), Holds: false})
		h.give(s, order{need: idle}, false, 0, "room for "+need.String())
		return
	}
	s.holds[need.Model].arriving[need.Adapter] = now.Add(arriveTime)
	h.give(s, order{load: true, need: need}, false, adapterTime, "wished")
}
