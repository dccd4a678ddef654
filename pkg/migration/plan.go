// Package migration decides what to do with running streams whose server is leaving or may crash:
// which of them move, in which order, when and where (plan.go); how to continue a stream that the
// server broke off, so that no request runs twice and no event is lost (handover.go); and which
// streams to copy to another server in advance (backup.go). It does no network I/O.
package migration

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a stream running at a server, as seen by the node that relays it.
type Stream struct {
	ID          string
	Rank        int           // 0 is the most urgent
	Tokens      int           // tokens of the prompt and of the answer so far, which the server holds in memory
	Events      int           // events received so far
	Remaining   time.Duration // longest time until the stream ends; UnknownRemaining if not known
	Restartable bool          // may run again elsewhere: a crash loses only the prefill, not the answer
}

// UnknownRemaining is the remaining time of a stream whose answer has no known bound.
const UnknownRemaining = time.Duration(1<<63 - 1)

// RemainingTime estimates how long a stream still takes at its speed so far. took is the time from
// its first event to its last one, events the number of events, eventTokens the tokens per event
// and maxTokens the largest number of tokens of the answer. The result is UnknownRemaining if
// maxTokens is not given or there are too few events to tell the speed.
func RemainingTime(took time.Duration, events, eventTokens, maxTokens int) time.Duration {
	if maxTokens <= 0 || events < minEventsForRate || eventTokens <= 0 {
		return UnknownRemaining
	}
	left := (maxTokens+eventTokens-1)/eventTokens - events
	return time.Duration(float64(took) / float64(events-1) * float64(max(left, 0)) * remainingMargin)
}

const (
	minEventsForRate = 3   // events needed to estimate the speed
	remainingMargin  = 1.5 // safety factor: a leaving server runs slower while it copies, and its link is shared
)

// Link describes the connection over which a server sends copies.
type Link struct {
	BytesPerToken float64 // memory of a run per token; zero: unknown
	BytesPerS     float64 // zero: unknown
}

// copySetup is the fixed time of a copy besides sending its bytes: the call, its answer and the
// set-up at both ends, some milliseconds each.
const copySetup = 25 * time.Millisecond

// CopyTime returns how long copying that many tokens takes on an idle link. For an unknown link
// it returns copySetup.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.BytesPerS <= 0 || l.BytesPerToken <= 0 {
		return copySetup
	}
	return copySetup + time.Duration(float64(tokens)*l.BytesPerToken/l.BytesPerS*float64(time.Second))
}

// Departure describes a server that is leaving.
type Departure struct {
	TimeLeft time.Duration // time until the server may be gone
	Running  int           // upper bound of the requests of all nodes at the server
	Link     Link
}

// moveReserve is how long before the server is gone the last move must be complete. It leaves time
// for a target that does not answer and then a return to the source or another target. Callers
// disconnect after two seconds without an event, and consider an answer late after a pause of a
// few tenths of a second.
const moveReserve = 1500 * time.Millisecond

// Plan returns the streams of a leaving server that would not end in time, the greatest loss
// first, and the delay until the first of them must move. The delay is as long as it can be for
// all of them to complete, because a stream that ends earlier need not be copied. Streams of other
// nodes move over the same link: Plan assumes as many as the server may run, each as large as the
// mean of the known ones.
func Plan(l Departure, streams []Stream) (moves []Stream, begin time.Duration) {
	var copies time.Duration
	for _, s := range streams {
		if s.Remaining+l.Link.CopyTime(s.Tokens) > l.TimeLeft-stayMargin || s.Remaining == UnknownRemaining {
			moves = append(moves, s)
			copies += l.Link.CopyTime(s.Tokens)
		}
	}
	if len(moves) == 0 {
		return nil, 0
	}
	slices.SortFunc(moves, compareLoss)
	if others := l.Running - len(streams); others > 0 {
		copies += copies / time.Duration(len(moves)) * time.Duration(others)
	}
	return moves, max(l.TimeLeft-moveReserve-copies, 0)
}

// stayMargin is how long before the server is gone a stream must end for it to stay there. The
// announcement of that time is some tenths of a second old when a node receives it.
const stayMargin = 300 * time.Millisecond

// compareLoss orders streams by what is lost if they do not move, the greatest loss first: the
// more urgent; among these the ones that can't run again; then by the tokens prefilled and
// generated so far, which is the work the server spent on them.
func compareLoss(a, b Stream) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(a.Restartable, b.Restartable),
		cmp.Compare(b.Tokens, a.Tokens),
		cmp.Compare(b.Events, a.Events),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Target is a server that serves the stream's model, so that the stream may move to it.
type Target struct {
	Busy           int  // known requests at the server
	Slots          int  // requests that it runs at once; zero: unknown
	SameZone       bool // the target is in the source's zone
	RecentlyFailed bool // the target failed a short time ago
}

// assumedSlots is used for a server that does not report its slots.
const assumedSlots = 16

// otherZonePenalty is added to the load, as a fraction of its slots, of a server in another zone.
// A copy there takes twice as long and bandwidth between zones is scarce, but a full server would
// delay the stream.
const otherZonePenalty = 0.4

// recentFailurePenalty is added to the load of a target that failed recently. It ranks such a target
// behind all others.
const recentFailurePenalty = 2

// BestTarget returns the index of the target with the lowest load, where targets in other zones
// count as more loaded, or -1 if none has free capacity. A target that failed recently is chosen
// only if there is no other.
func BestTarget(targets []Target) int {
	best, bestCost := -1, 0.0
	for i, t := range targets {
		slots := cmp.Or(max(t.Slots, 0), assumedSlots)
		if t.Busy >= slots {
			continue
		}
		cost := float64(t.Busy) / float64(slots)
		if !t.SameZone {
			cost += otherZonePenalty
		}
		if t.RecentlyFailed {
			cost += recentFailurePenalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
