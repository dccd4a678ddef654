package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// write renews the record with further intents.
func (l *Lease) write(ctx context.Context, intents []Intent) error {
	s := l.lastSeen()
	next, unwritten := l.nextRecord(s, intents)
	if err := l.put(ctx, next, s); err != nil {
		return err
	}
	l.wroteIntents(unwritten)
	return nil
}

// nextRecord returns what follows a record of this node's term: with further intents and what the node knows by now. It
// has all of the unwritten intents, which are so many.
func (l *Lease) nextRecord(s Stored, intents []Intent) (next Record, unwritten int) {
	fleet := 0
	if l.Fleet != nil {
		fleet = l.Fleet()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.storeNow()
	next = s.Record
	next.Mark = newMark()
	next.Renewed = max(now, next.Renewed)
	if s.copied() {
		next.Renewed = now // the store's clock may have gone back
	}
	if fleet > 0 {
		next.Fleet = fleet
	}
	if l.Quarantine != nil {
		next.Quarantine = quarantined(l.Quarantine(next.Aged(now)), now)
	}
	l.tellQuotas(&next, now)
	l.unwritten = fresh(l.unwritten, now)
	next.Intents = fresh(append(slices.Clone(next.Intents), l.unwritten...), now)
	for _, i := range intents {
		i.At, i.Term = now, next.Term
		next.Intents = append(next.Intents, i)
	}
	if extra := len(next.Intents) - maxIntents; extra > 0 {
		next.Intents = next.Intents[extra:]
	}
	return next, len(l.unwritten)
}

// tellQuotas has a record of this node's term tell what is left of quotas. The caller holds mu.
func (l *Lease) tellQuotas(r *Record, now int64) {
	if l.Quotas == nil {
		return
	}
	if left, known := l.Quotas(r.Term); known {
		r.Quotas = quotaBalances(left, now)
	}
}

// put writes a record of this node. After a lost answer it reads back whether
// the write was done.
func (l *Lease) put(ctx context.Context, r Record, over Stored) error {
	started := l.Time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := l.Store.Write
	if term, _ := l.heldTerm(); term == r.Term && !l.fails() {
		write = l.insist // orders wait for it, and no other node writes
	}
	s, err := write(call, r, over)
	switch {
	case err == nil:
		s.Record = r
		return l.wrote(s, started)
	case errors.Is(err, ErrConflict):
		return l.conflict(s, r, started)
	}
	l.noteFailure(started)
	s, readErr := l.read(ctx)
	if readErr != nil {
		return err
	}
	return l.conflict(s, r, started)
}

// conflict judges a record that is not the one expected: it may be the one that
// this node wrote, by a call whose answer was lost.
func (l *Lease) conflict(s Stored, r Record, started time.Time) error {
	if s.Record.Holder == l.Self && s.Record.Mark == r.Mark {
		return l.wrote(s, started)
	}
	l.see(s)
	return ErrConflict
}

// wrote notes a write of this node that was done. By one that the store did only after it came back from a copy, over
// what the copy has, nobody holds the lease.
func (l *Lease) wrote(s Stored, started time.Time) error {
	if s.copied() {
		l.keep(s)
		return errEpochWait
	}
	l.hold(s, started)
	return nil
}

// hold notes a write of this node that was done.
func (l *Lease) hold(s Stored, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != s.Record.Term {
		l.log("lease held", "term", s.Record.Term, "version", s.Version, "before", l.seen.Record.Holder)
		l.unwritten = nil
	}
	if !l.failing.IsZero() {
		l.log("lease writes resumed", "term", s.Record.Term, "failed_ms", l.Time.Since(l.failing).Milliseconds(),
			"intents", len(l.unwritten))
		l.failing = time.Time{}
	}
	l.lastTerm = s.Record.Term
	l.seen, l.known = s, true
	l.offset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
	l.term = s.Record.Term
	l.until = started.Add(Hold)
}
