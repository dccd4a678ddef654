package standin

import (
	"math"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// idleStep is how far the state advances at once while nothing changes.
const idleStep = time.Hour

// tokenTolerance makes up for rounding in the sums of tokens.
const tokenTolerance = 1e-6

// batch is the continuous batch with its queue, and the generations that can
// still be resumed.
type batch struct {
	generations map[string]*generation // by request ID
	active      []*generation          // queued or running
	retired     []retirement           // oldest first
	arrivals    uint64
}

// retirement is the end of a generation, which may have been resumed since.
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

// end takes the generation out of the batch; compact must follow.
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

// compact forgets the active generations that have ended.
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

// runs tells whether a generation of the model has started and not ended.
func (b *batch) runs(model api.ModelName) bool {
	for _, g := range b.active {
		if g.model == model && g.started {
			return true
		}
	}
	return false
}

// first returns the queued generation that is next, or nil.
func (b *batch) first() *generation {
	var first *generation
	for _, g := range b.active {
		if g.phase == phaseQueued && (first == nil || g.before(first)) {
			first = g
		}
	}
	return first
}

// preemptLeastUrgent puts the running generation that came last back into the
// queue; its KV cache is computed again. It returns false if none is running.
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

// decodeRate returns the tokens a second of each decoding request.
func (b *batch) decodeRate(config EngineConfig) float64 {
	size := b.count(phasePrefill) + b.count(phaseDecoding)
	return config.TokensPerSecond / (1 + config.BatchSlowdown*float64(max(size-1, 0)))
}

func (b *batch) prefillRate(config EngineConfig) float64 {
	return config.PrefillTokensPerSecond / float64(max(b.count(phasePrefill), 1))
}

// nextChange returns how long the rates stay as they are.
func (b *batch) nextChange(config EngineConfig) time.Duration {
	limit := idleStep
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

// nextToken returns how long it takes to the next token or the end of a
// prefill, and false if nothing runs.
func (b *batch) nextToken(config EngineConfig) (time.Duration, bool) {
	limit, busy := idleStep, false
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
	if busy && limit == idleStep {
		limit = time.Millisecond // all wait for memory
	}
	return limit, busy
}

// duration rounds up, so that a step of it reaches what it was computed for.
func duration(seconds float64) time.Duration {
	return max(time.Duration(math.Ceil(seconds*float64(time.Second))), 1)
}

// run lets the batch work for step, which is no longer than nextChange.
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
// ones that can't be resumed any more.
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

// forget drops a generation that was not resumed nor replaced since it ended.
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
