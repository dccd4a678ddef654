package lab

import (
	"cmp"
	"slices"
	"time"
)

// bounds works out from the whole trace what no policy is expected to beat.
//
// Cold start: the 99th percentile over the wakes if each of them paid exactly
// the time of its load from an empty weight store, an adapter's base being
// loaded. It leaves out the caches and keep-alive, by which a policy can be
// faster, and waiting for the store, memory or the base, by which it is slower.
//
// Idle hours: a policy that knows all arrivals holds a model over a gap or
// unloads it and loads it again just in time, whichever holds its memory for
// less: min(gap, load time). No request then waits for a load. Requests run at
// the speed of a lone stream on one replica. It leaves out the limits of
// memory and of the weight store, and faster loads from caches; a policy that
// lets requests wait rather than load ahead may hold less.
func (w *world) bounds() Bounds {
	loads := make([]time.Duration, 0, len(w.trace.wakes))
	for _, wake := range w.trace.wakes {
		if wake.at > w.endedAt {
			break
		}
		loads = append(loads, w.models[wake.model].settings.LoadTime)
	}
	idle := 0.0
	for i, spans := range w.busySpans() {
		m := w.models[i]
		share := float64(m.holdBytes) / w.meter.acceleratorBytes[m.service]
		idle += share * leastHolding(spans, m.settings.LoadTime).Hours()
	}
	return Bounds{
		ColdStartP99LoadOnly: secondsAt(newHistogram(loads), 99),
		IdleHoursClairvoyant: round(idle),
	}
}

// span is a time during which a model serves.
type span struct{ from, to time.Duration }

// busySpans returns for each model when it would serve if it were always
// loaded. A base serves while its adapters do.
func (w *world) busySpans() [][]span {
	spans := make([][]span, len(w.models))
	for _, a := range w.trace.arrivals {
		if a.at > w.endedAt {
			break
		}
		alone := float64(a.prompt)/promptTokensPerSecond + float64(a.output)/tokensPerSecond
		busy := span{a.at, a.at + time.Duration(alone*float64(time.Second))}
		spans[a.model] = append(spans[a.model], busy)
		if base := w.models[a.model].base; base >= 0 {
			spans[base] = append(spans[base], busy)
		}
	}
	for _, list := range spans {
		slices.SortStableFunc(list, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	}
	return spans
}

// leastHolding returns the least time for which a model must be held without
// serving, so that it is loaded when wanted.
func leastHolding(spans []span, load time.Duration) time.Duration {
	total, busyUntil := time.Duration(0), -load
	for _, s := range spans {
		if s.from > busyUntil {
			total += min(s.from-busyUntil, load)
		}
		busyUntil = max(busyUntil, s.to)
	}
	return total
}
