package lease

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// writeRenewal renews the record with further intents.
func (l *Lease) writeRenewal(ctx context.Context, intents []Intent) error {
	s := l.lastSeen()
	next, unwritten := l.nextRecord(s, intents)
	if err := l.put(ctx, next, s); err != nil {
		return err
	}
	l.dropWrittenIntents(unwritten)
	return nil
}

// nextRecord returns the next record of this node's term, with further intents and the current evidence and
// quotas. It includes all unwritten intents and returns their number.
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
	if s.fromEarlierEpoch() {
		next.Renewed = now // the store's clock may have gone back with the restore
	}
	if fleet > 0 {
		next.Fleet = fleet
	}
	l.updateQuotas(&next, now)
	l.updateSole(&next)
	l.updateSizes(&next)
	l.unwritten = unexpired(l.unwritten, now)
	next.Intents = unexpired(append(slices.Clone(next.Intents), l.unwritten...), now)
	for _, i := range intents {
		i.At, i.Term = now, next.Term
		next.Intents = append(next.Intents, i)
	}
	if extra := len(next.Intents) - maxIntents; extra > 0 {
		next.Intents = next.Intents[extra:]
	}
	if l.Quarantine != nil {
		evidence := toQuarantined(l.Quarantine(next.Aged(now)), now)
		next.Quarantine = nil
		next.Quarantine = thatFit(evidence, maxRecordBytes-jsonSize(next))
	}
	return next, len(l.unwritten)
}

// thatFit returns as much of the evidence, the gravest first, as fits into some bytes of the record.
func thatFit(evidence []Quarantined, room int) []Quarantined {
	for i, q := range evidence {
		if room -= jsonSize(q) + len(","); room < 0 {
			return evidence[:i]
		}
	}
	return evidence
}

// jsonSize returns the size of a record, or a part of it, as stores keep it.
func jsonSize(value any) int {
	text, _ := json.Marshal(value) // can't fail: there are only texts, numbers, and lists of them
	return len(text)
}

// updateQuotas sets the quota balances of a record of this node's term. The caller holds mu.
func (l *Lease) updateQuotas(r *Record, now int64) {
	if l.Quotas == nil {
		return
	}
	if left, known := l.Quotas(r.Term); known {
		r.Quotas = toQuotaBalances(left, now)
	}
}

// updateSizes sets the models' sizes in a record of this node's term. The caller holds mu.
func (l *Lease) updateSizes(r *Record) {
	if l.Sizes == nil {
		return
	}
	if sizes, known := l.Sizes(r.Term); known {
		r.Sizes = sizes
	}
}

// updateSole sets the versions that serve alone in a record of this node's term. The caller holds mu.
func (l *Lease) updateSole(r *Record) {
	if l.Sole == nil {
		return
	}
	if sole, known := l.Sole(r.Term); known {
		r.Sole = sole
	}
}

// put writes a record of this node. After a lost answer it reads the record to find out whether the write was
// done.
func (l *Lease) put(ctx context.Context, r Record, over Stored) error {
	started := l.Time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	write := l.Store.Write
	if term, _ := l.heldTerm(); term == r.Term && !l.WritesFail() {
		write = l.writeRepeatedly // orders wait for this write, and no other node writes
	}
	s, err := write(call, r, over)
	switch {
	case err == nil:
		s.Record = r
		return l.noteWritten(s, started)
	case errors.Is(err, ErrConflict):
		return l.resolveConflict(s, r, started)
	}
	l.noteFailure(started)
	s, readErr := l.read(ctx)
	if readErr != nil {
		return err
	}
	return l.resolveConflict(s, r, started)
}

// resolveConflict handles a stored record that is not the expected one. It may be the one that this node
// wrote in a call whose answer was lost.
func (l *Lease) resolveConflict(s Stored, r Record, started time.Time) error {
	if s.Record.Holder == l.Self && s.Record.Mark == r.Mark {
		return l.noteWritten(s, started)
	}
	l.observe(s)
	return ErrConflict
}

// noteWritten updates the state after a write of this node. If the store was restored before it did the
// write, the record replaced one of a backup, and nobody holds the lease by it.
func (l *Lease) noteWritten(s Stored, started time.Time) error {
	if s.fromEarlierEpoch() {
		l.noteWrittenBack(s)
		return errEpochWait
	}
	l.noteHeld(s, started)
	return nil
}

// noteHeld updates the state after a write by which this node holds the lease.
func (l *Lease) noteHeld(s Stored, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != s.Record.Term {
		l.log("lease held", "term", s.Record.Term, "version", s.Version, "before", l.seen.Record.Holder)
		l.unwritten = nil
	}
	if !l.failingSince.IsZero() {
		l.log("lease writes resumed", "term", s.Record.Term, "failed_ms", l.Time.Since(l.failingSince).Milliseconds(),
			"intents", len(l.unwritten))
		l.failingSince = time.Time{}
	}
	l.lastTerm = s.Record.Term
	l.seen, l.known = s, true
	l.clockOffset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
	l.term = s.Record.Term
	l.holdUntil = started.Add(Hold)
}
