package lease

import (
	"strings"
	"time"
)

// offlineAfter is how long the record can't be written before its holder goes on without
// the store. It is shorter than Hold, less the time between renewals, so that the nodes
// are not without a holder in between; a store that throttles for a moment is waited for.
const offlineAfter = time.Second

// offline tells whether this node goes on as the holder though the record can't be
// written. Nobody else can take the lease from the store while it fails for all; if it
// fails for this node alone, the next holder has the servers refuse its orders, and tells
// it (Yield). The caller holds mu.
func (l *Lease) offline() bool {
	return !l.failing.IsZero() && l.Time.Since(l.failing) > offlineAfter &&
		l.told.Term <= l.term && l.GoOn != nil && l.GoOn()
}

// noteFailure notes a write of the record that began then and got no answer, if this node holds
// it.
func (l *Lease) noteFailure(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term > 0 && l.failing.IsZero() {
		l.failing = began
		l.log("lease can't be written", "term", l.term)
	}
}

// fails tells whether the last write of the holder failed.
func (l *Lease) fails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failing.IsZero()
}

// commitOffline notes intents for the next write and returns the permit for their orders;
// false if they are to be written first.
func (l *Lease) commitOffline(intents []Intent) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == 0 || !l.offline() {
		return Permit{}, false
	}
	now := l.storeNow()
	for _, i := range intents {
		i.At, i.Term = now, l.term
		l.unwritten = append(l.unwritten, i)
	}
	return Permit{Term: l.term, Until: l.Time.Now().Add(PermitTime), Offline: true, time: l.Time}, true
}

// wroteIntents notes that so many of the unwritten intents, the first ones, are in the
// record by now.
func (l *Lease) wroteIntents(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwritten = l.unwritten[min(n, len(l.unwritten)):]
}

// Handover is what an earlier holder tells the next one.
type Handover struct {
	Holder  string   // life that was asked
	Term    uint64   // the last one that it held; zero: none
	Intents []Intent // of its orders that are not in the record
}

// Yield ends this node's term, which is over by the record of a later one, and tells what
// the record does not.
func (l *Lease) Yield(next Record) Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Term > l.told.Term {
		l.told = next
	}
	if l.term > 0 && l.term < next.Term {
		l.log("lease yielded", "term", l.term, "holder", next.Holder, "new_term", next.Term, "unwritten", len(l.unwritten))
		l.term, l.failing = 0, time.Time{}
	}
	return Handover{Holder: l.Self, Term: l.lastTerm, Intents: fresh(l.unwritten, l.storeNow())}
}

// OwnTerm returns the term of an earlier life of this node, if its record was the one that
// this life's last term took the place of; zero otherwise.
func (l *Lease) OwnTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Lives == "" || !strings.HasPrefix(l.before.Holder, l.Lives) {
		return 0
	}
	return l.before.Term
}

// AfterCopy tells whether the record that this node's last term took the place of was of a copy of the store that may
// lack later ones with their terms and intents, and since when this node has known that the store came back.
func (l *Lease) AfterCopy() (since time.Time, is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochSince, l.afterCopy
}

// Before returns the record that this node's last term took the place of.
func (l *Lease) Before() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.before
}
