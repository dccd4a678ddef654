// Package migration decides about running streams whose server leaves or may be lost: which of
// them move, in which order, when and where to (plan.go); what to do once the server broke one
// off, so that no request runs twice and no event is lost (handover.go); and which are worth a
// copy at another server beforehand (insurance.go). It knows no network.
package migration

import (
	"cmp"
	"slices"
	"time"
)

// Stream is a stream that runs at a server, as the node that carries it knows it.
type Stream struct {
	ID     string
	Rank   int           // 0 is the most urgent
	Tokens int           // of its prompt and of its answer so far, which the server has in memory
	Events int           // that came so far
	Rest   time.Duration // until its end, at most; Endless: not known
	Anew   bool          // it may be run anew elsewhere: only the reading is lost, not the answer
}

// Endless is the rest of a stream that tells no bound of its answer.
const Endless = time.Duration(1<<63 - 1)

// Rest returns how long a stream still takes at its pace so far: took is the time from its first
// event to its last one, events how many came, eventTokens how many tokens each has, and most how
// many the answer has at most. It is Endless if most is not told or the pace not known yet.
func Rest(took time.Duration, events, eventTokens, most int) time.Duration {
	if most <= 0 || events < leastPaced || eventTokens <= 0 {
		return Endless
	}
	left := (most+eventTokens-1)/eventTokens - events
	return time.Duration(float64(took) / float64(events-1) * float64(max(left, 0)) * restCaution)
}

const (
	leastPaced  = 3   // events from which on a pace is known
	restCaution = 1.5 // a server that leaves runs slower while it copies, and its link is shared
)

// Link is what copies go over.
type Link struct {
	BytesPerToken float64 // of a run's memory; zero: not told
	BytesPerS     float64 // zero: not told
}

// copySetup is what a copy takes besides sending its bytes: the call, its answer and the set-up at
// both ends, some milliseconds each.
const copySetup = 25 * time.Millisecond

// CopyTime returns how long a copy of so many tokens takes on a link that is free; if the link is
// not told, what a copy takes besides its bytes.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.BytesPerS <= 0 || l.BytesPerToken <= 0 {
		return copySetup
	}
	return copySetup + time.Duration(float64(tokens)*l.BytesPerToken/l.BytesPerS*float64(time.Second))
}

// Leave is a server that leaves.
type Leave struct {
	In      time.Duration // until it may be gone
	Running int           // a bound of the requests that all nodes have there
	Link    Link
}

// reserve is how long before a server is gone the last move is to be through, for what may go
// wrong: a target that does not answer, then the way back or another target. Callers leave after
// two seconds without an event, and count an answer late after a pause of a few tenths.
const reserve = 1500 * time.Millisecond

// Plan answers the load of a server that leaves with streams that would not end in time. It
// returns those, the greatest loss first, and in how long the first is to move: as late as all of
// them surely get through, since what ends before then need not be copied. Other nodes' streams
// move over the same link: it reckons with as many as the server may run, each as large as the
// mean of the known ones.
func Plan(l Leave, streams []Stream) (moves []Stream, begin time.Duration) {
	var copies time.Duration
	for _, s := range streams {
		if s.Rest+l.Link.CopyTime(s.Tokens) > l.In-settle || s.Rest == Endless {
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
	return moves, max(l.In-reserve-copies, 0)
}

// settle is how long before a server is gone a stream must end to stay there: when a node learns
// of the time at which it is gone, that word is some tenths of a second old.
const settle = 300 * time.Millisecond

// compareLoss orders streams by what is lost without a move, the greatest loss first: the more
// urgent; of these the ones that can't be run anew; then what was read and made so far, which is what
// the server spent on them.
func compareLoss(a, b Stream) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(a.Anew, b.Anew),
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

// Target is a server that a stream may move to: one that serves what the stream needs.
type Target struct {
	Busy  int  // requests there, as far as known
	Slots int  // requests that it runs at once; zero: not told
	Near  bool // in the zone of the source
	Shaky bool // it failed a moment ago
}

// assumedSlots stands for the slots of a server that does not tell.
const assumedSlots = 16

// farLoad is the part of its slots by which a server in another zone counts as fuller: a copy
// takes twice as long there, and the bytes between zones are scarce, but a full server would make
// the stream late.
const farLoad = 0.4

// shakyLoad is what a target that failed a moment ago counts as fuller: more than any other.
const shakyLoad = 2

// Best returns the index of the target with the least load, those of other zones counting as
// fuller, -1 if none has room. One that failed a moment ago is taken only if there is no other.
func Best(targets []Target) int {
	best, bestCost := -1, 0.0
	for i, t := range targets {
		slots := cmp.Or(max(t.Slots, 0), assumedSlots)
		if t.Busy >= slots {
			continue
		}
		cost := float64(t.Busy) / float64(slots)
		if !t.Near {
			cost += farLoad
		}
		if t.Shaky {
			cost += shakyLoad
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}
