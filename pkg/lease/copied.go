package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// A store that comes back from a copy may have the record of a term before the last one: the same term
// would be given to two lives, and a holder that was cut off would find its own record again. So a record
// tells in which epoch of the store its term was taken, and in a later epoch nobody holds that term any
// more. A holder whose hold is not over takes the next term at once: nobody can have taken one since its
// last renewal. All others wait as long as a lease lasts, counted from when they first saw the epoch.
// Terms of a later epoch are higher than all of those before.

// epochTerms is how many terms an epoch has room for: those of a month with one each Expiry. The terms of
// the next epoch begin above it, whatever copy the store came back from.
const epochTerms = 1_000_000

// copied tells whether the record's term was taken in an earlier epoch of the store, or that may be so: there is none,
// and the store came back from a copy.
func (s Stored) copied() bool { return s.Record.Epoch < s.Version.Epoch() }

// nextTerm returns the term that follows a record.
func (s Stored) nextTerm() uint64 { return max(s.Record.Term, s.Version.Epoch()*epochTerms) + 1 }

// newMark returns what names one write of the record among all.
func newMark() string { return strconv.FormatUint(rand.Uint64(), 36) }

// merged returns the newer of the record that is known and of one of a copy, with the intents of both. What names the
// write that the store has is that of the copy.
func merged(known, copied Record) Record {
	next := copied
	if known.Term > copied.Term || known.Term == copied.Term && known.Renewed >= copied.Renewed {
		next = known
	}
	next.Epoch, next.Mark = copied.Epoch, copied.Mark
	next.Intents = slices.Clone(copied.Intents)
	for _, i := range known.Intents {
		if !slices.Contains(next.Intents, i) {
			next.Intents = append(next.Intents, i)
		}
	}
	return next
}

// sawEpoch notes since when the store has been in the epoch of a record that was read. The caller holds mu.
func (l *Lease) sawEpoch(s Stored) {
	if !l.known || s.Version.Epoch() > l.seen.Version.Epoch() {
		l.epochSince = l.Time.Now()
	}
}

// free tells whether this node may take the lease from a record.
func (l *Lease) free(s Stored) bool {
	if !s.copied() {
		return s.free()
	}
	// A renewal that lies ahead is of a clock that went back with the store.
	return l.epochWait(s) <= 0 && (s.free() || s.age() < -Expiry)
}

// epochWait returns for how much longer nobody but its holder may take the lease of a record of an earlier epoch.
func (l *Lease) epochWait(s Stored) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.First && s.Record.Term == 0 && l.told.Term == 0 {
		return 0 // there never was a holder
	}
	return Expiry - l.Time.Since(l.epochSince)
}

// errEpochWait means that the store came back from a copy a moment ago and others may have held the lease.
var errEpochWait = errors.New("lease: the store came back from a copy a moment ago")

// surelyHeld tells whether nobody else can have taken the lease since the last renewal. The caller holds mu.
func (l *Lease) surelyHeld() bool { return l.term > 0 && l.Time.Now().Before(l.until) }

// writeBack writes what this node, the holder as far as it knows, knows of the record that a copy lacks: evidence against
// requests, quotas, orders. The record stays one of the epoch before, by which nobody holds the lease. It returns
// errEpochWait if it is done.
func (l *Lease) writeBack(ctx context.Context, s Stored) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, unwritten := l.nextRecord(s, nil)
	written, err := l.Store.Write(ctx, next, s)
	switch {
	case errors.Is(err, ErrConflict):
		l.see(written)
	case err == nil:
		written.Record = next
		l.keep(written)
		l.wroteIntents(unwritten)
		err = errEpochWait
	}
	return err
}

// keep notes a record of an earlier epoch that this node wrote.
func (l *Lease) keep(s Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sawEpoch(s)
	l.seen, l.known = s, true
	l.offset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
}

// renew has the record written with further intents. The term is over if the store came back from a copy; this node
// then takes the next one, in which the intents don't count.
func (l *Lease) renew(ctx context.Context, intents []Intent) error {
	s := l.lastSeen()
	if !s.copied() {
		return l.write(ctx, intents)
	}
	l.mu.Lock()
	sure := l.surelyHeld()
	l.mu.Unlock()
	if !sure && l.epochWait(s) > 0 {
		return l.writeBack(ctx, s)
	}
	if err := l.take(ctx, s); err != nil {
		return err
	}
	if len(intents) > 0 {
		return ErrNotHeld
	}
	return nil
}
