// Package lease keeps one record in the platform's store that names the node that coordinates the site and
// the orders that it is about to give. The lease only tells when another node may try to take over; whether
// an order takes effect is decided by the servers, which use the record's term as a fence.
//
// Each order is preceded by a conditional write of its intent. A holder that was replaced while it was paused
// fails to write and gives no order, and the next holder reads which orders may still arrive.
//
// lease.go takes, renews and releases the lease; poll.go decides when to read the record while another node
// holds it; commit.go writes the intents of orders; offline.go lets a holder continue while the store does
// not answer; write.go and retry.go write the record and find out the outcome of writes whose answer was
// lost; restored.go handles a store that was restored from a backup; record.go defines what is stored.
package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
)

// Times and limits of a lease.
const (
	// Renewal is the time between two renewals.
	Renewal = 700 * time.Millisecond
	// Hold is how long a holder regards itself as the holder after the start of its last renewal. It is
	// shorter than Expiry, so that the holder stops before another node takes over.
	Hold = 2 * time.Second
	// Expiry is the age of the last renewal at which another node may take over.
	Expiry = 2500 * time.Millisecond
	// PermitTime limits the time between the start of an intent's write and its order.
	PermitTime = 800 * time.Millisecond
	// IntentTime is how long intents stay in the record.
	IntentTime = 12 * time.Second

	callTimeout      = 800 * time.Millisecond // of one call of the store
	pollInterval     = 400 * time.Millisecond // between reads of a record that is free
	heldPollInterval = time.Minute            // between reads of a record that another node holds
	// UnfitDelay is how long a node that can't do a holder's work leaves a free lease to others. By then also
	// those have asked that leave it to the first candidates.
	UnfitDelay = 5 * time.Second
	// maxDoublings limits the interval after failed reads to 1.6 s. Without the growing interval, many nodes
	// would each ask a store that is down several times a second.
	maxDoublings = 2
	// promptPolls is how many suspicions in a row lead to a read at once: on a planned stop a holder releases
	// the lease at about the time when it stops answering.
	promptPolls = 1
	// suspicionWindow is the time since the last read after which a suspicion starts a new series.
	suspicionWindow = 2 * Expiry
	maxIntents      = 200 // kept in the record; the oldest are dropped
	// maxRecordBytes is the size of the record's JSON up to which evidence is added: a store refuses rows above its limit,
	// and the lease is lost then. In base64 that is 54 of the 64 KiB that stores allow.
	maxRecordBytes = 40 << 10
)

// Lease takes, holds and observes the lease for this node. Set the exported fields before Run.
type Lease struct {
	Store             Store
	Self              string // unique name of this incarnation of the node
	IncarnationPrefix string // common prefix of the names of all incarnations of this node; empty: unknown
	Address           string // of this node, for other nodes
	// Eager reports whether this node is one of the few that are expected to take the lease. Such nodes poll
	// a failing store without a growing interval. It may be nil.
	Eager func() bool
	// FirstStart reports whether the whole site starts for the first time. Nodes then read the record at
	// different times, so that the first one takes the lease and the others find it held.
	FirstStart bool
	// TakeoverDelay returns how long this node leaves a free lease to better suited nodes; nil means no
	// delay. It may be called with the lease locked and must not call the lease.
	TakeoverDelay func() time.Duration
	// Fit reports whether this node can do a holder's work. It is asked right before the node takes a free
	// lease; if it cannot, it leaves the lease to others for UnfitDelay. It may be nil.
	Fit func(ctx context.Context) bool
	// Fleet returns the number of nodes of the site, which is stored in the record; zero keeps the stored
	// number. It may be nil.
	Fleet func() int
	// AllowOffline reports whether this node, as the holder, may give orders while the store does not answer.
	// This is safe if servers refuse orders of lower terms and most nodes report to this holder. If it is
	// nil, the node may not. It is called with the lease locked and must not call the lease.
	AllowOffline func() bool
	// Quarantine takes in the evidence in the record and returns the evidence that the record is to have, the gravest first; if
	// nil, the record keeps its evidence. It is called with the lease locked and must not call the lease.
	Quarantine func(recorded []quarantine.Aged) []quarantine.Aged
	// Quotas returns the balances of scarce tenants' quotas that the record is to have. If it returns false
	// or is nil, the record keeps its balances. It is called with the lease locked and must not call the
	// lease.
	Quotas func(term uint64) ([]quota.Balance, bool)
	// Sole returns the versions that serve a service alone, for a record of the given term. If it returns false
	// or is nil, the record keeps its versions. It is called with the lease locked and must not call the lease.
	Sole func(term uint64) ([]lineage.SoleVersion, bool)
	// Sizes returns what is known of the memory of models, for a record of the given term. If it returns false or is nil,
	// the record keeps what it tells. It is called with the lease locked and must not call the lease.
	Sizes func(term uint64) (*ModelSizes, bool)
	Time  clock.Clock
	Log   func(message string, fields ...any)

	mu               sync.Mutex
	seen             Stored              // newest record that was read or written
	epochSince       time.Time           // when this node first saw the epoch of seen
	known            bool                // seen is set
	announced        Record              // last record that a holder announced; may be newer than seen
	clockOffset      time.Duration       // store's clock minus the local monotonic clock
	term             uint64              // term that this node holds; zero: none
	holdUntil        time.Time           // end of the hold time
	start            time.Time           // zero of the local monotonic clock
	suspicions       chan struct{}       // wakes Run after a Suspect
	unfitUntil       time.Time           // until when the free lease is left to others; zero: it is not; used by Run only
	deferred         bool                // the free lease was left to better suited nodes
	failedPolls      int                 // reads that failed in a row
	suspicionPolls   int                 // successful reads in a row that were due to suspicions
	pollForSuspicion bool                // the next read is due to a suspicion
	lastPoll         time.Time           // time of the last successful read
	commits          chan *commitRequest // requests to Run to write intents
	handOvers        chan struct{}       // makes Run release the lease
	writeLatency     latency             // of the store's answers to writes

	failingSince       time.Time // start of the first failed write of the holder; zero: the last one succeeded
	unwritten          []Intent  // intents of orders given offline
	lastTerm           uint64    // last term that this incarnation held
	previous           Record    // record that the last term of this incarnation replaced
	previousFromBackup bool      // previous came from a restored store and may not have been the last record
}

func (l *Lease) init() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspicions == nil {
		l.start = l.Time.Now()
		l.suspicions = make(chan struct{}, 1)
		l.commits = make(chan *commitRequest)
		l.handOvers = make(chan struct{}, 1)
	}
}

// Current returns the newest record that was read or announced.
func (l *Lease) Current() (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.announced.Term > l.seen.Record.Term {
		return l.announced, true
	}
	return l.seen.Record, l.known
}

// Announced takes in the record that a holder announces. It is only a hint: taking the lease depends on the
// stored record alone.
func (l *Lease) Announced(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Term > l.announced.Term {
		l.announced = r
	}
}

// Held returns the term in which this node holds the lease or continues offline, and false if it does
// neither.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && (l.Time.Now().Before(l.holdUntil) || l.offline())
}

// Suspect reports that the holder does not answer. The record is read as soon as it may be free.
func (l *Lease) Suspect() {
	l.init()
	select {
	case l.suspicions <- struct{}{}:
	default:
	}
}

// Resign gives up the term, for example after a server refused its fence.
func (l *Lease) Resign(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.term = 0
		l.log("lease resigned", "term", term)
	}
}

// HandOver releases the lease, if this node holds it and reaches the store, so that another node can take it
// at once. This node takes it again after TakeoverDelay if no other does.
func (l *Lease) HandOver() {
	l.init()
	select {
	case l.handOvers <- struct{}{}:
	default:
	}
}

// renewalFails reports whether the holder's last write to the store failed.
func (l *Lease) renewalFails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failingSince.IsZero()
}

// Now returns the estimated time of the store's clock in milliseconds.
func (l *Lease) Now() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeNow()
}

// storeNow is like Now. The caller holds mu.
func (l *Lease) storeNow() int64 {
	return (l.Time.Since(l.start) + l.clockOffset).Milliseconds()
}

// Run polls for a free lease, takes it and renews it until ctx ends; then it releases the lease.
func (l *Lease) Run(ctx context.Context) {
	l.init()
	first := time.Duration(0)
	if l.FirstStart {
		first = l.takeoverDelay() + rand.N(pollInterval)
		l.setDeferred(true)
	}
	timer := time.NewTimer(first)
	defer timer.Stop()
	due := time.Now().Add(first)
	next := func(pause time.Duration) {
		due = time.Now().Add(pause)
		timer.Reset(pause)
	}
	for {
		select {
		case <-ctx.Done():
			l.release()
			return
		case <-l.suspicions:
			// An earlier poll is not put off, as suspicions may come at any rate.
			if pause, may := l.pollAfterSuspicion(); may && time.Until(due) > pause {
				next(pause)
			}
		case <-l.handOvers:
			if !l.renewalFails() {
				l.release()
			}
		case c := <-l.commits:
			l.serveCommits(ctx, c)
			next(Renewal)
		case <-timer.C:
			next(l.renewOrPoll(ctx))
		}
	}
}

// jitter returns a random pause between half and one and a half times the given one.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)+1))
}

// renewOrPoll renews the lease, or reads the record and takes the lease if it is free. It returns when to
// call it again.
func (l *Lease) renewOrPoll(ctx context.Context) time.Duration {
	if _, held := l.heldTerm(); held {
		switch err := l.renew(ctx, nil); {
		case errors.Is(err, errEpochWait):
			return min(Renewal, max(l.epochWaitLeft(l.lastSeen()), 0)+time.Millisecond)
		case err != nil:
			return jitter(pollInterval / 2)
		}
		return Renewal
	}
	s, err := l.read(ctx)
	doublings := l.notePoll(err)
	if err != nil && l.Eager != nil && l.Eager() {
		return jitter(pollInterval)
	}
	if err != nil {
		return jitter(pollInterval << doublings)
	}
	if s.fromEarlierEpoch() {
		s = l.lastSeen() // includes what this node knows and the backup lacks
	}
	ownEarlier := l.heldByEarlierIncarnation(s) && !s.fromEarlierEpoch()
	if !l.free(s) && !ownEarlier {
		l.setDeferred(false)
		l.unfitUntil = time.Time{}
		return l.nextPoll(s)
	}
	if pause := l.takeoverDelay(); pause > 0 && !ownEarlier && !l.setDeferred(true) {
		return pause + rand.N(pollInterval/4)
	}
	if pause := l.unfitPause(ctx); pause > 0 {
		return pause
	}
	l.setDeferred(false)
	err = l.acquire(ctx, s)
	switch {
	case err == nil:
		return Renewal
	case errors.Is(err, ErrConflict):
		return l.nextPoll(l.lastSeen())
	default:
		return jitter(pollInterval)
	}
}

// lastSeen returns the newest record that was read or written.
func (l *Lease) lastSeen() Stored {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// heldTerm returns the term that this node took and has not lost, even if its hold time is over.
func (l *Lease) heldTerm() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0
}

func (l *Lease) read(ctx context.Context) (Stored, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := l.Store.Read(ctx)
	if err == nil {
		l.observe(s)
	}
	return s, err
}

// observe takes in a record that was read.
func (l *Lease) observe(s Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clockOffset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
	if l.known && s.Version < l.seen.Version {
		return
	}
	l.noteEpoch(s)
	if l.known && s.fromEarlierEpoch() {
		s.Record = mergeRecords(l.seen.Record, s.Record)
	}
	if l.Quarantine != nil {
		l.Quarantine(s.Record.Aged(s.Now)) // for nodes that get no reports from a holder
	}
	changed := s.Record.Holder != l.seen.Record.Holder || s.Record.Term != l.seen.Record.Term
	l.seen, l.known = s, true
	if l.term > 0 && (s.Record.Term != l.term || s.Record.Holder != l.Self) {
		l.log("lease lost", "term", l.term, "holder", s.Record.Holder, "new_term", s.Record.Term)
		l.term, l.failingSince = 0, time.Time{}
	}
	if changed {
		l.log("lease holder", "holder", s.Record.Holder, "address", s.Record.Address, "term", s.Record.Term,
			"version", s.Version, "age_ms", s.age().Milliseconds())
	}
}

// acquire writes the record of a new term.
func (l *Lease) acquire(ctx context.Context, s Stored) error {
	l.mu.Lock()
	l.previous, l.previousFromBackup = s.Record, s.fromEarlierEpoch() && !l.withinHold()
	intents := slices.Clone(s.Record.Intents)
	if l.term > 0 {
		intents = append(intents, l.unwritten...)
	}
	next := Record{
		Term: s.nextTerm(), Holder: l.Self, Address: l.Address, Renewed: max(s.Now, l.storeNow()), Epoch: s.Version.Epoch(), Mark: newMark(),
		Fleet: s.Record.Fleet, Intents: unexpired(intents, s.Now), Quarantine: s.Record.Quarantine, Quotas: s.Record.Quotas, Sole: s.Record.Sole,
		Sizes: s.Record.Sizes,
	}
	next.EpochAt = s.Record.EpochAt
	if s.fromEarlierEpoch() {
		next.EpochAt = l.storeNow() - l.Time.Since(l.epochSince).Milliseconds()
	}
	l.mu.Unlock()
	return l.put(ctx, next, s)
}

// release writes a record without a holder, so that another node can take over at once.
func (l *Lease) release() {
	if _, held := l.heldTerm(); !held {
		return
	}
	l.mu.Lock()
	s := l.seen
	next := s.Record
	next.Holder, next.Address, next.Mark = "", "", newMark()
	next.Intents = unexpired(append(slices.Clone(next.Intents), l.unwritten...), l.storeNow())
	l.updateQuotas(&next, l.storeNow())
	l.updateSole(&next)
	l.updateSizes(&next)
	term := l.term
	l.term = 0
	l.mu.Unlock()
	err := l.writeRelease(next, s)
	l.log("lease released", "term", term, "error", err)
}

// writeRelease writes a record without a holder. It tries again if a write of this node whose outcome was
// unknown has changed the record meanwhile.
func (l *Lease) writeRelease(next Record, over Stored) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s, err := l.Store.Write(ctx, next, over)
	if err == nil || s.Record.Term != next.Term || s.Record.Holder != l.Self {
		return err
	}
	_, err = l.Store.Write(ctx, next, s)
	return err
}

func (l *Lease) log(message string, fields ...any) {
	if l.Log != nil {
		l.Log(message, fields...)
	}
}
