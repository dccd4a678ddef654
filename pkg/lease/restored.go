package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// A store that was restored from a backup may hold the record of an earlier term. The same term could then be
// given to two incarnations, and a holder that was cut off could find its own old record and go on. Therefore
// each record has the epoch of the store in which its term was taken; the store begins a new epoch with each
// restore, and a term of an earlier epoch is held by nobody. A holder within its hold time takes the next term
// at once, as nobody else can have taken one since its last renewal. All other nodes wait for Expiry after
// they first saw the epoch. The terms of an epoch are higher than all terms of earlier epochs.

// epochTerms is the number of terms reserved for an epoch, enough for one term per Expiry for a month. The
// terms of the next epoch start above it, whichever backup the store was restored from.
const epochTerms = 1_000_000

// fromEarlierEpoch reports whether the record's term was taken in an earlier epoch of the store. It also
// returns true if there is no record in a restored store, as a record may have been lost.
func (s Stored) fromEarlierEpoch() bool { return s.Record.Epoch < s.Version.Epoch() }

// nextTerm returns the term that follows the record's.
func (s Stored) nextTerm() uint64 { return max(s.Record.Term, s.Version.Epoch()*epochTerms) + 1 }

// newMark returns a random mark that identifies one write of the record.
func newMark() string { return strconv.FormatUint(rand.Uint64(), 36) }

// mergeRecords returns the newer of the known record and the restored one, with the intents of both. The
// epoch and the mark are those of the restored record, which is the one that the store has.
func mergeRecords(known, restored Record) Record {
	next := restored
	if known.Term > restored.Term || known.Term == restored.Term && known.Renewed >= restored.Renewed {
		next = known
	}
	next.Epoch, next.Mark = restored.Epoch, restored.Mark
	next.Intents = slices.Clone(restored.Intents)
	for _, i := range known.Intents {
		if !slices.Contains(next.Intents, i) {
			next.Intents = append(next.Intents, i)
		}
	}
	return next
}

// noteEpoch sets epochSince if the record that was read is of a new epoch of the store. The caller holds mu.
func (l *Lease) noteEpoch(s Stored) {
	if !l.known || s.Version.Epoch() > l.seen.Version.Epoch() {
		l.epochSince = l.Time.Now()
	}
}

// free reports whether this node may take the lease over the given record.
func (l *Lease) free(s Stored) bool {
	if !s.fromEarlierEpoch() {
		return s.free()
	}
	// A renewal in the future means that the store's clock went back with the restore.
	return l.epochWaitLeft(s) <= 0 && (s.free() || s.age() < -Expiry)
}

// epochWaitLeft returns how much longer only the previous holder may take the lease over a record of an
// earlier epoch.
func (l *Lease) epochWaitLeft(s Stored) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.FirstStart && s.Record.Term == 0 && l.announced.Term == 0 {
		return 0 // no node has ever held the lease
	}
	return Expiry - l.Time.Since(l.epochSince)
}

// errEpochWait means that the store was restored a moment ago and that another node may still hold the lease.
var errEpochWait = errors.New("lease: the store was restored from a backup a moment ago")

// withinHold reports whether this node's hold time lasts, so that nobody else can have taken the lease since
// the last renewal. The caller holds mu.
func (l *Lease) withinHold() bool { return l.term > 0 && l.Time.Now().Before(l.holdUntil) }

// writeBack has the node that was the holder write what the restored record lacks: evidence against requests,
// quotas and intents. The record keeps its earlier epoch, so that nobody holds the lease by it. After a
// successful write it returns errEpochWait.
func (l *Lease) writeBack(ctx context.Context, s Stored) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, unwritten := l.nextRecord(s, nil)
	written, err := l.Store.Write(ctx, next, s)
	switch {
	case errors.Is(err, ErrConflict):
		l.observe(written)
	case err == nil:
		written.Record = next
		l.noteWrittenBack(written)
		l.dropWrittenIntents(unwritten)
		err = errEpochWait
	}
	return err
}

// noteWrittenBack stores a record of an earlier epoch that this node wrote.
func (l *Lease) noteWrittenBack(s Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteEpoch(s)
	l.seen, l.known = s, true
	l.clockOffset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
}

// renew writes the record with further intents. If the store was restored since, the term has ended: this
// node takes the next term, and returns ErrNotHeld if there were intents, which are not valid in the new
// term.
func (l *Lease) renew(ctx context.Context, intents []Intent) error {
	s := l.lastSeen()
	if !s.fromEarlierEpoch() {
		return l.writeRenewal(ctx, intents)
	}
	l.mu.Lock()
	within := l.withinHold()
	l.mu.Unlock()
	if !within && l.epochWaitLeft(s) > 0 {
		return l.writeBack(ctx, s)
	}
	if err := l.acquire(ctx, s); err != nil {
		return err
	}
	if len(intents) > 0 {
		return ErrNotHeld
	}
	return nil
}
