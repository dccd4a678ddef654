package lab

import (
	"cmp"
	"slices"
	"time"
)

// bounds computes reference values from the whole trace that no policy is expected to beat.
//
// Cold start: the 99th percentile over the wakes if each of them took exactly the time of a load
// from an idle weight store, with an adapter's base already loaded. This leaves out caches and
// keep-alive, which can make a policy faster, and waiting for the store, for memory or for the
// base, which makes it slower.
//
// Idle hours: a policy that knows all arrivals either holds a model between two uses, or unloads it
// and loads it again just in time, whichever holds its memory for less time: min(gap, load time).
// No request then waits for a load. Requests run at the speed of a single stream on one replica.
// This leaves out the limits of memory and of the weight store, and faster loads from caches. A
// policy that makes requests wait instead of loading ahead of time may hold less.
func (sim *simulation) bounds() Bounds {
	loads := make([]time.Duration, 0, len(sim.trace.wakes))
	for _, wake := range sim.trace.wakes {
		if wake.at > sim.endedAt {
			break
		}
		loads = append(loads, sim.models[wake.model].settings.LoadTime)
	}
	idle := 0.0
	for i, spans := range sim.busySpans() {
		m := sim.models[i]
		share := float64(m.holdBytes) / sim.meter.acceleratorBytes[m.service]
		idle += share * minHoldTime(spans, m.settings.LoadTime).Hours()
	}
	return Bounds{
		ColdStartP99LoadOnly: secondsAt(newHistogram(loads), 99),
		IdleHoursClairvoyant: round(idle),
	}
}

// span is a period in which a model serves requests.
type span struct{ from, to time.Duration }

// busySpans returns, for each model, when it would serve requests if it were always loaded. A base
// also serves while its adapters do.
func (sim *simulation) busySpans() [][]span {
	spans := make([][]span, len(sim.models))
	for _, a := range sim.trace.arrivals {
		if a.at > sim.endedAt {
			break
		}
		soloSeconds := float64(a.prompt)/promptTokensPerSecond + float64(a.output)/tokensPerSecond
		busy := span{a.at, a.at + time.Duration(soloSeconds*float64(time.Second))}
		spans[a.model] = append(spans[a.model], busy)
		if base := sim.models[a.model].base; base >= 0 {
			spans[base] = append(spans[base], busy)
		}
	}
	for _, list := range spans {
		slices.SortStableFunc(list, func(a, b span) int { return cmp.Compare(a.from, b.from) })
	}
	return spans
}

// minHoldTime returns the minimum time for which a model must be held without serving, so that it
// is always loaded when a request arrives.
func minHoldTime(spans []span, load time.Duration) time.Duration {
	total, busyUntil := time.Duration(0), -load
	for _, s := range spans {
		if s.from > busyUntil {
			total += min(s.from-busyUntil, load)
		}
		busyUntil = max(busyUntil, s.to)
	}
	return total
}
