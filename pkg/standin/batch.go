package standin

import (
	"math"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// maxStep is the longest step of the simulation when nothing changes earlier.
const maxStep = time.Hour

// tokenTolerance absorbs rounding errors in sums of tokens.
const tokenTolerance = 1e-6

// batch holds the queue, the running requests of the continuous batch, and the
// ended generations that can still be resumed.
type batch struct {
	generations map[string]*generation // by request ID
	active      []*generation          // queued or running
	retired     []retirement           // oldest first
	arrivals    uint64
}

// retirement records the end of a generation, which may have been resumed later.
type retirement struct {
	generation *generation
	at         time.Time
}

func (b *batch) add(g *generation) {
	b.arrivals++
	g.arrival = b.arrivals
	g.phase = phaseQueued
	b.generations[g.id] = g
	b.active = append(b.active, g)
}

// end marks the generation as ended. The caller must call compact afterwards.
func (b *batch) end(g *generation, phase phase, now time.Time) {
	g.phase = phase
	g.kvBytes = 0
	g.endedAt = now
	b.retired = append(b.retired, retirement{generation: g, at: now})
	g.signal()
}

func (b *batch) refuse(g *generation, reason string, now time.Time) {
	g.refusal = reason
	b.end(g, phaseRefused, now)
}

// compact removes ended generations from the active ones.
func (b *batch) compact() {
	kept := b.active[:0]
	for _, g := range b.active {
		if !g.ended() {
			kept = append(kept, g)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
}

func (b *batch) kvBytes() uint64 {
	var total uint64
	for _, g := range b.active {
		total += g.kvBytes
	}
	return total
}

func (b *batch) count(phase phase) int {
	count := 0
	for _, g := range b.active {
		if g.phase == phase {
			count++
		}
	}
	return count
}

// runs reports whether a generation of the model has started and not ended.
func (b *batch) runs(model api.ModelName) bool {
	for _, g := range b.active {
		if g.model == model && g.started {
			return true
		}
	}
	return false
}

// first returns the queued generation that is admitted next, or nil.
func (b *batch) first() *generation {
	var first *generation
	for _, g := range b.active {
		if g.phase == phaseQueued && (first == nil || g.before(first)) {
			first = g
		}
	}
	return first
}

// preemptLeastUrgent moves the least urgent running generation back into the
// queue, among equals the one that arrived last. Its KV cache must be computed
// again. It returns false if none is running.
func (b *batch) preemptLeastUrgent() bool {
	var last *generation
	for _, g := range b.active {
		if g.running() && (last == nil || last.before(g)) {
			last = g
		}
	}
	if last == nil {
		return false
	}
	last.phase = phaseQueued
	last.kvBytes = 0
	last.prefillLeft = float64(last.promptTokens + last.tokens())
	return true
}

// refuseQueued refuses the requests for the model that have not started.
func (b *batch) refuseQueued(model api.ModelName, now time.Time) {
	for _, g := range b.active {
		if g.model == model && g.phase == phaseQueued && !g.started {
			b.refuse(g, "the model is being unloaded", now)
		}
	}
	b.compact()
}

// decodeRate returns the tokens per second of each decoding request.
func (b *batch) decodeRate(config EngineConfig) float64 {
	size := b.count(phasePrefill) + b.count(phaseDecoding)
	return config.TokensPerSecond / (1 + config.BatchSlowdown*float64(max(size-1, 0)))
}

func (b *batch) prefillRate(config EngineConfig) float64 {
	return config.PrefillTokensPerSecond / float64(max(b.count(phasePrefill), 1))
}

// nextChange returns for how long the rates stay constant.
func (b *batch) nextChange(config EngineConfig) time.Duration {
	limit := maxStep
	decode, prefill := b.decodeRate(config), b.prefillRate(config)
	for _, g := range b.active {
		switch g.phase {
		case phasePrefill:
			limit = min(limit, duration(g.prefillLeft/prefill))
		case phaseDecoding:
			limit = min(limit, duration((float64(g.target)-g.produced)/decode))
		}
	}
	return limit
}

// nextToken returns the time until the next token or the end of a prefill, and
// false if no request is queued or running.
func (b *batch) nextToken(config EngineConfig) (time.Duration, bool) {
	limit, busy := maxStep, false
	decode, prefill := b.decodeRate(config), b.prefillRate(config)
	for _, g := range b.active {
		switch g.phase {
		case phasePrefill:
			limit = min(limit, duration(g.prefillLeft/prefill))
		case phaseDecoding:
			limit = min(limit, duration((float64(g.tokens()+1)-g.produced)/decode))
		}
		busy = true
	}
	if busy && limit == maxStep {
		limit = time.Millisecond // all requests wait for memory
	}
	return limit, busy
}

// duration converts seconds, rounded up so that a step of that length reaches
// the event it was computed for.
func duration(seconds float64) time.Duration {
	return max(time.Duration(math.Ceil(seconds*float64(time.Second))), 1)
}

// run advances the batch by step, which must be no longer than nextChange.
func (b *batch) run(config EngineConfig, step time.Duration, now time.Time) {
	decode, prefill := b.decodeRate(config), b.prefillRate(config)
	ended := false
	for _, g := range b.active {
		switch g.phase {
		case phasePrefill:
			g.prefillLeft -= prefill * step.Seconds()
			if g.prefillLeft <= tokenTolerance {
				g.phase = phaseDecoding
			}
		case phaseDecoding:
			before := g.tokens()
			g.produced += decode * step.Seconds()
			if g.tokens() == g.target {
				b.end(g, phaseFinished, now)
				ended = true
			} else if g.tokens() > before {
				g.signal()
			}
		}
	}
	if ended {
		b.compact()
	}
}

// expire refuses queued requests whose deadline has passed and forgets ended
// requests that can no longer be resumed.
func (b *batch) expire(now time.Time, resumeWindow time.Duration) {
	for _, g := range b.active {
		if g.phase == phaseQueued && !g.started && !g.deadline.IsZero() && now.After(g.deadline) {
			b.refuse(g, "the deadline passed in the queue", now)
		}
	}
	b.compact()
	for len(b.retired) > 0 && now.Sub(b.retired[0].at) > resumeWindow {
		b.forget(b.retired[0])
		b.retired = b.retired[1:]
	}
}

// forget drops a generation unless it was resumed or replaced after it ended.
func (b *batch) forget(old retirement) {
	g := old.generation
	if g.ended() && g.endedAt.Equal(old.at) && b.generations[g.id] == g {
		delete(b.generations, g.id)
	}
}

// load returns the load of one model.
func (b *batch) load(model api.ModelName, config EngineConfig) engine.ModelLoad {
	load := engine.ModelLoad{Model: model}
	decoding := 0
	for _, g := range b.active {
		if g.model != model {
			continue
		}
		if g.phase == phaseQueued {
			load.Queued++
			continue
		}
		load.Running++
		if g.phase == phaseDecoding {
			decoding++
		}
	}
	load.TokensPerSecond = float64(decoding) * b.decodeRate(config)
	return load
}
