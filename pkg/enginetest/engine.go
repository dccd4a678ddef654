// Package enginetest has a small stand-in for an engine in virtual time, by which tests of
// decisions see what callers get. It has a batch that reads prompts in pieces between the tokens
// of other requests, bounded memory with kept parts of prompts, and a speed of its own.
package enginetest

import (
	"cmp"
	"slices"
	"time"

	"martenwheel.dev/pkg/prompt"
)

// Engine is one server. Set the exported fields before the first Add; those that are zero
// take the values of Default.
type Engine struct {
	Slots       int           // requests that run at once
	CacheTokens int           // that running requests and kept parts take together
	Piece       int           // tokens of prompts that one step reads at most
	Step        time.Duration // in which each running request gets a token, without reading
	StepPerSlot time.Duration // by which each running request makes a step longer
	ReadsPerMS  float64       // tokens of prompts
	Speed       float64       // by which all of that is faster
	EventTokens int           // in one event

	now          time.Duration
	waiting      []*Run
	running      []*Run
	kept         []keptPart // the one used last at the end
	tokensRead   int
	tokensReused int
}

// Default is an engine like those that serve long prompts. It is not to be changed.
var Default = Engine{Slots: 48, CacheTokens: 250_000, Piece: 1024, Step: 4430 * time.Microsecond,
	StepPerSlot: 19 * time.Microsecond, ReadsPerMS: 38, Speed: 1, EventTokens: 6}

// Run is a request at an engine and what its caller got.
type Run struct {
	Prompt  prompt.Prompt
	Rank    int // 0 is let in first
	Out     int // tokens that it generates
	Arrives time.Duration

	First time.Duration // when its first event came; zero: not yet
	End   time.Duration // zero: it runs on
	Pause time.Duration // longest between two events

	toRead, made int           // tokens
	eventAt      time.Duration // when its last event came
}

// keptPart is a part of a prompt in the engine's memory.
type keptPart struct {
	id     string
	tokens int
}

// Made returns the tokens that were generated so far.
func (r *Run) Made() int { return r.made }

// Add sends a request to the engine. It is let in once the engine gets to its arrival.
func (e *Engine) Add(r *Run) {
	e.setDefaults()
	r.toRead = max(r.Prompt.Tokens(), 1)
	e.waiting = append(e.waiting, r)
}

// Leave ends a request whose caller is gone, whether it runs or waits.
func (e *Engine) Leave(r *Run) {
	same := func(other *Run) bool { return other == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Running returns how many requests run.
func (e *Engine) Running() int { return len(e.running) }

// Waiting returns how many requests wait to be let in.
func (e *Engine) Waiting() int { return len(e.waiting) }

// Read returns the tokens of prompts that were read.
func (e *Engine) Read() int { return e.tokensRead }

// Reused returns the tokens of prompts that were found kept.
func (e *Engine) Reused() int { return e.tokensReused }

// Unread returns the tokens of prompts that are still to be read.
func (e *Engine) Unread() int {
	sum := 0
	for _, r := range slices.Concat(e.waiting, e.running) {
		sum += r.toRead
	}
	return sum
}

// Advance has the engine work until a time; the last step may end later.
func (e *Engine) Advance(until time.Duration) {
	e.setDefaults()
	for e.now < until {
		e.letIn()
		if len(e.running) == 0 {
			e.now = e.nextArrival(until)
			continue
		}
		e.step()
	}
}

// setDefaults sets the fields that are zero.
func (e *Engine) setDefaults() {
	e.Slots = cmp.Or(e.Slots, Default.Slots)
	e.CacheTokens = cmp.Or(e.CacheTokens, Default.CacheTokens)
	e.Piece = cmp.Or(e.Piece, Default.Piece)
	e.Step = cmp.Or(e.Step, Default.Step)
	e.StepPerSlot = cmp.Or(e.StepPerSlot, Default.StepPerSlot)
	e.ReadsPerMS = cmp.Or(e.ReadsPerMS, Default.ReadsPerMS)
	e.Speed = cmp.Or(e.Speed, Default.Speed)
	e.EventTokens = cmp.Or(e.EventTokens, Default.EventTokens)
}

// nextArrival returns when the next request comes, at the latest until.
func (e *Engine) nextArrival(until time.Duration) time.Duration {
	next := until
	for _, r := range e.waiting {
		next = min(next, max(r.Arrives, e.now+time.Microsecond))
	}
	return next
}

// letIn moves requests that came from the queue to the batch, the most urgent first.
func (e *Engine) letIn() {
	slices.SortStableFunc(e.waiting, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Arrives, b.Arrives))
	})
	var left []*Run
	for _, r := range e.waiting {
		if r.Arrives > e.now || len(e.running) >= e.Slots || e.used()+r.Prompt.Tokens()+r.Out > e.CacheTokens {
			left = append(left, r)
			continue
		}
		e.reuse(r)
		e.running = append(e.running, r)
	}
	e.waiting = left
}

// used returns the memory of running requests; kept parts give way.
func (e *Engine) used() int {
	sum := 0
	for _, r := range e.running {
		sum += r.Prompt.Tokens() + r.Out
	}
	return sum
}

// reuse takes what the engine keeps of the prompt's first parts, and keeps all shared ones.
func (e *Engine) reuse(r *Run) {
	whole := true
	parts := r.Prompt.Parts()
	for _, part := range parts[:max(len(parts)-1, 0)] {
		i := slices.IndexFunc(e.kept, func(k keptPart) bool { return k.id == part.ID })
		if i >= 0 {
			e.kept = slices.Delete(e.kept, i, i+1)
			if whole {
				r.toRead -= part.Tokens
				e.tokensReused += part.Tokens
			}
		}
		whole = whole && i >= 0
		e.kept = append(e.kept, keptPart{part.ID, part.Tokens})
	}
	e.tokensRead += r.toRead
	e.evict()
}

// evict drops the parts that were unused for longest until all fits.
func (e *Engine) evict() {
	sum := e.used()
	for _, k := range e.kept {
		sum += k.tokens
	}
	for sum > e.CacheTokens && len(e.kept) > 0 {
		sum -= e.kept[0].tokens
		e.kept = e.kept[1:]
	}
}

// step reads one piece of prompts, oldest first, and makes one token of each other request.
func (e *Engine) step() {
	left, slots := e.Piece, len(e.running)
	var makes []*Run
	for _, r := range e.running {
		n := min(r.toRead, left)
		if r.toRead == 0 {
			makes = append(makes, r)
		}
		r.toRead -= n
		left -= n
	}
	took := e.Step + time.Duration(slots)*e.StepPerSlot +
		time.Duration(float64(e.Piece-left)/e.ReadsPerMS*float64(time.Millisecond))
	e.now += time.Duration(float64(took) / e.Speed)
	for _, r := range makes {
		e.makeToken(r)
	}
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool { return r.End > 0 })
}

// makeToken makes the next token of a request.
func (e *Engine) makeToken(r *Run) {
	r.made++
	if r.made%e.EventTokens == 0 || r.made >= r.Out {
		if r.First == 0 {
			r.First = e.now
		} else {
			r.Pause = max(r.Pause, e.now-r.eventAt)
		}
		r.eventAt = e.now
	}
	if r.made >= r.Out {
		r.End = e.now
	}
}
