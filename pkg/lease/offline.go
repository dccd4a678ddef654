package lease

import (
	"strings"
	"time"
)

// offlineAfter is how long writes of the record must have failed before its holder continues offline. It is
// shorter than Hold less Renewal, so that the nodes have a holder throughout; a store that throttles for a
// moment is waited for.
const offlineAfter = time.Second

// offline reports whether this node continues as the holder although it can't write the record. If the store
// fails for all nodes, nobody else can take the lease. If it fails for this node alone, the next holder has
// the servers refuse this node's orders and asks it to yield (see Yield). The caller holds mu.
func (l *Lease) offline() bool {
	return !l.failingSince.IsZero() && l.Time.Since(l.failingSince) > offlineAfter &&
		l.announced.Term <= l.term && l.AllowOffline != nil && l.AllowOffline()
}

// noteFailure records that a write of the holder, which started at began, got no answer.
func (l *Lease) noteFailure(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term > 0 && l.failingSince.IsZero() {
		l.failingSince = began
		l.log("lease can't be written", "term", l.term)
	}
}

// WritesFail reports whether the last write of this node as the holder got no answer.
func (l *Lease) WritesFail() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failingSince.IsZero()
}

// commitOffline keeps intents for the next write and returns the permit for their orders. It returns false if
// the node is not offline and the intents have to be written first.
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

// dropWrittenIntents removes the first n unwritten intents, which are in the stored record now.
func (l *Lease) dropWrittenIntents(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unwritten = l.unwritten[min(n, len(l.unwritten)):]
}

// Handover is what an earlier holder reports to the next one.
type Handover struct {
	Holder  string   // name of the incarnation that was asked
	Term    uint64   // last term that it held; zero: none
	Intents []Intent // of its orders that are not in the record
}

// Yield ends this node's term if the record of a later term is given, and returns the intents that are not in
// the stored record.
func (l *Lease) Yield(next Record) Handover {
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Term > l.announced.Term {
		l.announced = next
	}
	if l.term > 0 && l.term < next.Term {
		l.log("lease yielded", "term", l.term, "holder", next.Holder, "new_term", next.Term, "unwritten", len(l.unwritten))
		l.term, l.failingSince = 0, time.Time{}
	}
	return Handover{Holder: l.Self, Term: l.lastTerm, Intents: unexpired(l.unwritten, l.storeNow())}
}

// OwnPreviousTerm returns the term of an earlier incarnation of this node if the last term of this
// incarnation replaced that one's record, and zero otherwise.
func (l *Lease) OwnPreviousTerm() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.IncarnationPrefix == "" || !strings.HasPrefix(l.previous.Holder, l.IncarnationPrefix) {
		return 0
	}
	return l.previous.Term
}

// TookOverAfterRestore reports whether the record that this node's last term replaced came from a restored
// store, which may lack later records with their terms and intents. since is when this node first saw that
// the store was restored.
func (l *Lease) TookOverAfterRestore() (since time.Time, restored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochSince, l.previousFromBackup
}

// Previous returns the record that this node's last term replaced.
func (l *Lease) Previous() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.previous
}
