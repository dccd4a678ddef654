// Package enginetest simulates an engine in virtual time, so that tests of scheduling decisions can
// measure what callers receive. The engine runs a batch that prefills prompts in chunks between the
// tokens of other requests, and has bounded memory with a prefix cache and a configurable speed.
package enginetest

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/prompt"
)

// Engine is a simulated server. Set the exported fields before the first Add; zero fields take the
// values of Default.
type Engine struct {
	Slots              int           // requests that run at once
	CacheTokens        int           // capacity for running requests and cached parts together
	ChunkTokens        int           // most prompt tokens that one step prefills
	StepTime           time.Duration // duration of a step without prefill; each running request gets a token
	StepPerSlot        time.Duration // added to a step for each running request
	PrefillTokensPerMS float64       // prompt tokens prefilled per millisecond
	Speed              float64       // factor by which the engine is faster than these times
	EventTokens        int           // tokens in one event

	now          time.Duration
	waiting      []*Run
	running      []*Run
	cached       []cachedPart // most recently used last
	tokensRead   int
	tokensReused int
}

// Default describes an engine that serves long prompts. It must not be changed.
var Default = Engine{Slots: 48, CacheTokens: 250_000, ChunkTokens: 1024, StepTime: 4430 * time.Microsecond,
	StepPerSlot: 19 * time.Microsecond, PrefillTokensPerMS: 38, Speed: 1, EventTokens: 6}

// Run is a request at an engine and what its caller received.
type Run struct {
	Prompt       prompt.Prompt
	Rank         int // 0 is admitted first
	OutputTokens int // tokens that the request generates
	ArrivesAt    time.Duration

	FirstEvent   time.Duration // time of the first event; zero: none yet
	End          time.Duration // time of the last event; zero: not finished
	LongestPause time.Duration // longest time between two events

	unprefilled, generated int           // prompt tokens to prefill, tokens generated
	eventAt                time.Duration // time of the latest event
}

// cachedPart is a part of a prompt in the engine's prefix cache.
type cachedPart struct {
	id     string
	tokens int
}

// Generated returns the number of tokens generated so far.
func (r *Run) Generated() int { return r.generated }

// Add sends a request to the engine, which can admit it from its arrival time on.
func (e *Engine) Add(r *Run) {
	e.setDefaults()
	r.unprefilled = max(r.Prompt.Tokens(), 1)
	e.waiting = append(e.waiting, r)
}

// Cancel removes a request whose caller disconnected, whether it is running or waiting.
func (e *Engine) Cancel(r *Run) {
	same := func(other *Run) bool { return other == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Running returns the number of running requests.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns the number of requests that are not admitted yet.
func (e *Engine) Waiting() int { return len(e.waiting) }

// TokensRead returns the number of prompt tokens that admitted requests have to prefill or have
// prefilled.
func (e *Engine) TokensRead() int { return e.tokensRead }

// TokensReused returns the number of prompt tokens that were found in the cache.
func (e *Engine) TokensReused() int { return e.tokensReused }

// TokensUnread returns the number of prompt tokens that are still to be prefilled.
func (e *Engine) TokensUnread() int {
	sum := 0
	for _, r := range slices.Concat(e.waiting, e.running) {
		sum += r.unprefilled
	}
	return sum
}

// Advance simulates the engine until the given time. The last step may end later.
func (e *Engine) Advance(until time.Duration) {
	e.setDefaults()
	for e.now < until {
		e.admit()
		if len(e.running) == 0 {
			e.now = e.nextArrival(until)
			continue
		}
		e.step()
	}
}

// setDefaults sets zero fields to the values of Default.
func (e *Engine) setDefaults() {
	e.Slots = cmp.Or(e.Slots, Default.Slots)
	e.CacheTokens = cmp.Or(e.CacheTokens, Default.CacheTokens)
	e.ChunkTokens = cmp.Or(e.ChunkTokens, Default.ChunkTokens)
	e.StepTime = cmp.Or(e.StepTime, Default.StepTime)
	e.StepPerSlot = cmp.Or(e.StepPerSlot, Default.StepPerSlot)
	e.PrefillTokensPerMS = cmp.Or(e.PrefillTokensPerMS, Default.PrefillTokensPerMS)
	e.Speed = cmp.Or(e.Speed, Default.Speed)
	e.EventTokens = cmp.Or(e.EventTokens, Default.EventTokens)
}

// nextArrival returns the time when the next request arrives, at most until.
func (e *Engine) nextArrival(until time.Duration) time.Duration {
	next := until
	for _, r := range e.waiting {
		next = min(next, max(r.ArrivesAt, e.now+time.Microsecond))
	}
	return next
}

// admit moves requests that have arrived from the queue to the batch, the most urgent first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.ArrivesAt, b.ArrivesAt))
	})
	var left []*Run
	for _, r := range e.waiting {
		if r.ArrivesAt > e.now || len(e.running) >= e.Slots || e.used()+r.Prompt.Tokens()+r.OutputTokens > e.CacheTokens {
			left = append(left, r)
			continue
		}
		e.reuseCached(r)
		e.running = append(e.running, r)
	}
	e.waiting = left
}

// used returns the tokens held by running requests. Cached parts don't count, as they are evicted
// when memory is needed.
func (e *Engine) used() int {
	sum := 0
	for _, r := range e.running {
		sum += r.Prompt.Tokens() + r.OutputTokens
	}
	return sum
}

// reuseCached skips the prefill of the prompt's leading parts that are cached, and caches all of its
// shared parts.
func (e *Engine) reuseCached(r *Run) {
	whole := true
	parts := r.Prompt.Parts()
	for _, part := range parts[:max(len(parts)-1, 0)] {
		i := slices.IndexFunc(e.cached, func(k cachedPart) bool { return k.id == part.ID })
		if i >= 0 {
			e.cached = slices.Delete(e.cached, i, i+1)
			if whole {
				r.unprefilled -= part.Tokens
				e.tokensReused += part.Tokens
			}
		}
		whole = whole && i >= 0
		e.cached = append(e.cached, cachedPart{part.ID, part.Tokens})
	}
	e.tokensRead += r.unprefilled
	e.evict()
}

// evict drops the least recently used parts until the rest fits into memory.
func (e *Engine) evict() {
	sum := e.used()
	for _, k := range e.cached {
		sum += k.tokens
	}
	for sum > e.CacheTokens && len(e.cached) > 0 {
		sum -= e.cached[0].tokens
		e.cached = e.cached[1:]
	}
}

// step prefills up to ChunkTokens of prompts, the requests admitted first going first, and
// generates one token for each request whose prefill is complete.
func (e *Engine) step() {
	left, slots := e.ChunkTokens, len(e.running)
	var decoding []*Run
	for _, r := range e.running {
		n := min(r.unprefilled, left)
		if r.unprefilled == 0 {
			decoding = append(decoding, r)
		}
		r.unprefilled -= n
		left -= n
	}
	took := e.StepTime + time.Duration(slots)*e.StepPerSlot +
		time.Duration(float64(e.ChunkTokens-left)/e.PrefillTokensPerMS*float64(time.Millisecond))
	e.now += time.Duration(float64(took) / e.Speed)
	for _, r := range decoding {
		e.generateToken(r)
	}
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool { return r.End > 0 })
}

// generateToken adds the next token of a request.
func (e *Engine) generateToken(r *Run) {
	r.generated++
	if r.generated%e.EventTokens == 0 || r.generated >= r.OutputTokens {
		if r.FirstEvent == 0 {
			r.FirstEvent = e.now
		} else {
			r.LongestPause = max(r.LongestPause, e.now-r.eventAt)
		}
		r.eventAt = e.now
	}
	if r.generated >= r.OutputTokens {
		r.End = e.now
	}
}
