// Package lease keeps one record in the platform's store that tells which node
// coordinates, and what it is about to do. A lease only says when another node
// may try; whether an order takes effect is judged by the servers, by the
// record's term as the fence.
//
// Each order is preceded by a conditional write of its intent: a holder that was
// deposed while it was paused fails to write and gives no order, and the next
// holder reads what may still be on its way.
//
// lease.go takes, renews and releases the lease; look.go tells when to look at the record
// of another holder; commit.go has the intents of orders written; offline.go has a holder
// go on while the store does not answer; write.go and insist.go write the record and find
// out what became of a write whose answer was lost; record.go is what the store keeps.
package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
)

// Times of a lease.
const (
	// Renewal is the time between two renewals.
	Renewal = 700 * time.Millisecond
	// Hold is how long a holder counts itself as such after the start of its
	// last renewal. It is shorter than Expiry, so that the holder stops first.
	Hold = 2 * time.Second
	// Expiry is the age of a renewal at which another node may take over.
	Expiry = 2500 * time.Millisecond
	// PermitTime bounds the time from the start of the write of an intent to
	// its order.
	PermitTime = 800 * time.Millisecond
	// IntentTime is how long intents stay in the record.
	IntentTime = 12 * time.Second

	callTimeout = 800 * time.Millisecond
	lookPause   = 400 * time.Millisecond
	lookRest    = time.Minute
	// mostDoublings bounds the pause after looks that fail: 1.6 s, so that many nodes
	// before a store that is down don't all ask it several times a second.
	mostDoublings = 2
	// promptLooks is how many looks in a row for suspicions are taken at once: a holder
	// that stops as planned releases the lease about when it stops to answer.
	promptLooks = 1
	// episode is the time after which a suspicion counts as a new one.
	episode    = 2 * Expiry
	maxIntents = 200
)

// Lease is this node's part in holding the lease. Set the fields before Run.
type Lease struct {
	Store   Store
	Self    string // name of this life of the node; unique
	Lives   string // what the names of all lives of the node begin with; empty: not told
	Address string
	// Eager tells whether this node is among the few on which the others rely to take
	// the lease: those ask a store that fails without growing pauses. It may be nil.
	Eager func() bool
	// First tells that the whole site starts for the first time: nodes then look one after
	// the other, so that the first one takes the lease and the others find it held.
	First bool
	// Patience tells how long this node leaves a free lease to better ones; none if nil.
	// It may be called with the lease locked and is not to call it.
	Patience func() time.Duration
	// Fleet tells how many nodes the site has, for the record; zero keeps what the
	// record says. It may be nil.
	Fleet func() int
	// GoOn tells whether this node, as the holder, may give orders while the store does not
	// answer: servers refuse those of lower terms, and most nodes follow it. Nil: it may
	// not. It is called with the lease locked and is not to call it.
	GoOn func() bool
	// Quarantine takes in the evidence that the record has and returns what it is to have; the
	// record keeps its own if nil. It is called with the lease locked and is not to call it.
	Quarantine func(recorded []quarantine.Aged) []quarantine.Aged
	// Quotas returns what scarce tenants' quotas hold, as the record is to have it; false if it
	// keeps its own, as it does if this is nil. It is called with the lease locked and is not to
	// call it.
	Quotas func(term uint64) ([]quota.Balance, bool)
	Time   clock.Clock
	Log    func(message string, fields ...any)

	mu         sync.Mutex
	seen       Stored
	epochSince time.Time // since when the store has been in the epoch of seen, as far as is known
	known      bool
	told       Record        // by its holder, maybe newer than seen
	offset     time.Duration // the store's clock less the steady one
	term       uint64        // held; zero: none
	until      time.Time     // end of the hold
	start      time.Time     // zero of the steady clock
	suspects   chan struct{}
	waited     bool      // the free lease was left to better nodes
	failed     int       // looks that failed in a row
	vain       int       // looks for suspicions that found the record held, in a row
	asked      bool      // the next look is for a suspicion
	looks      time.Time // when the record was last looked at
	commits    chan *commit
	pace       pace

	failing   time.Time // start of the first write of the holder that failed; zero: the last one was done
	unwritten []Intent  // of orders given since
	lastTerm  uint64    // that this life held
	before    Record    // that this life's last term took the place of
	afterCopy bool      // that record was of a copy of the store, and may not have been the last one
}

func (l *Lease) init() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.suspects == nil {
		l.start = l.Time.Now()
		l.suspects = make(chan struct{}, 1)
		l.commits = make(chan *commit)
	}
}

// Current returns the newest record that was seen or told.
func (l *Lease) Current() (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told.Term > l.seen.Record.Term {
		return l.told, true
	}
	return l.seen.Record, l.known
}

// Announced takes in what a holder tells of itself. It is a hint: only the
// stored record counts for taking the lease.
func (l *Lease) Announced(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Term > l.told.Term {
		l.told = r
	}
}

// Held returns the term in which this node holds the lease now, or goes on without the
// store; false if it does neither.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.term > 0 && (l.Time.Now().Before(l.until) || l.offline())
}

// Suspect makes the lease look at the record, as soon as it may be free by what is known
// of it: its holder does not answer.
func (l *Lease) Suspect() {
	l.init()
	select {
	case l.suspects <- struct{}{}:
	default:
	}
}

// Resign gives up the term, as when a server refused its fence.
func (l *Lease) Resign(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term {
		l.term = 0
		l.log("lease resigned", "term", term)
	}
}

// Now returns the store's clock as far as it is known.
func (l *Lease) Now() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeNow()
}

func (l *Lease) storeNow() int64 {
	return (l.Time.Since(l.start) + l.offset).Milliseconds()
}

// Run looks for a free lease, takes it and renews it until ctx ends; then it
// releases the lease.
func (l *Lease) Run(ctx context.Context) {
	l.init()
	first := time.Duration(0)
	if l.First {
		first = l.patience() + rand.N(lookPause)
		l.setWaited(true)
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
		case <-l.suspects:
			// A look that is due sooner stays: suspicions may come at any rate.
			if pause, may := l.freeIn(); may && time.Until(due) > pause {
				next(pause)
			}
		case c := <-l.commits:
			l.serveCommits(ctx, c)
			next(Renewal)
		case <-timer.C:
			next(l.turn(ctx))
		}
	}
}

// jitter spreads a pause over half to one and a half of it.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)+1))
}

// turn renews the lease or looks whether it is free, and returns when to do it
// again.
func (l *Lease) turn(ctx context.Context) time.Duration {
	if _, held := l.heldTerm(); held {
		switch err := l.renew(ctx, nil); {
		case errors.Is(err, errEpochWait):
			return min(Renewal, max(l.epochWait(l.lastSeen()), 0)+time.Millisecond)
		case err != nil:
			return jitter(lookPause / 2)
		}
		return Renewal
	}
	s, err := l.read(ctx)
	doublings := l.looked(err)
	if err != nil && l.Eager != nil && l.Eager() {
		return jitter(lookPause)
	}
	if err != nil {
		return jitter(lookPause << doublings)
	}
	if s.copied() {
		s = l.lastSeen() // with what this node knows and the copy lacks
	}
	own := l.ownLife(s) && !s.copied()
	if !l.free(s) && !own {
		l.setWaited(false)
		return l.rest(s)
	}
	if pause := l.patience(); pause > 0 && !own && !l.setWaited(true) {
		return pause + rand.N(lookPause/4)
	}
	l.setWaited(false)
	err = l.take(ctx, s)
	switch {
	case err == nil:
		return Renewal
	case errors.Is(err, ErrConflict):
		return l.rest(l.lastSeen())
	default:
		return jitter(lookPause)
	}
}

// lastSeen returns the newest record that was seen.
func (l *Lease) lastSeen() Stored {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// heldTerm returns the term that was not lost, though its hold may be over.
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
		l.see(s)
	}
	return s, err
}

// see takes in a record that was read.
func (l *Lease) see(s Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.offset = time.Duration(s.Now)*time.Millisecond - l.Time.Since(l.start)
	if l.known && s.Version < l.seen.Version {
		return
	}
	l.sawEpoch(s)
	if l.known && s.copied() {
		s.Record = merged(l.seen.Record, s.Record)
	}
	if l.Quarantine != nil {
		l.Quarantine(s.Record.Aged(s.Now)) // a node that no holder tells learns of it here
	}
	changed := s.Record.Holder != l.seen.Record.Holder || s.Record.Term != l.seen.Record.Term
	l.seen, l.known = s, true
	if l.term > 0 && (s.Record.Term != l.term || s.Record.Holder != l.Self) {
		l.log("lease lost", "term", l.term, "holder", s.Record.Holder, "new_term", s.Record.Term)
		l.term, l.failing = 0, time.Time{}
	}
	if changed {
		l.log("lease holder", "holder", s.Record.Holder, "address", s.Record.Address, "term", s.Record.Term,
			"version", s.Version, "age_ms", s.age().Milliseconds())
	}
}

// take writes the record of a new term.
func (l *Lease) take(ctx context.Context, s Stored) error {
	l.mu.Lock()
	l.before, l.afterCopy = s.Record, s.copied() && !l.surelyHeld()
	intents := slices.Clone(s.Record.Intents)
	if l.term > 0 {
		intents = append(intents, l.unwritten...)
	}
	next := Record{
		Term: s.nextTerm(), Holder: l.Self, Address: l.Address, Renewed: max(s.Now, l.storeNow()), Epoch: s.Version.Epoch(), Mark: newMark(),
		Fleet: s.Record.Fleet, Intents: fresh(intents, s.Now), Quarantine: s.Record.Quarantine, Quotas: s.Record.Quotas,
	}
	next.EpochAt = s.Record.EpochAt
	if s.copied() {
		next.EpochAt = l.storeNow() - l.Time.Since(l.epochSince).Milliseconds()
	}
	l.mu.Unlock()
	return l.put(ctx, next, s)
}

// release lets another node take over at once.
func (l *Lease) release() {
	if _, held := l.heldTerm(); !held {
		return
	}
	l.mu.Lock()
	s := l.seen
	next := s.Record
	next.Holder, next.Address, next.Mark = "", "", newMark()
	next.Intents = fresh(append(slices.Clone(next.Intents), l.unwritten...), l.storeNow())
	l.tellQuotas(&next, l.storeNow())
	term := l.term
	l.term = 0
	l.mu.Unlock()
	err := l.giveBack(next, s)
	l.log("lease released", "term", term, "error", err)
}

// giveBack writes a record without a holder, also if a write of this node whose
// answer is unknown came between.
func (l *Lease) giveBack(next Record, over Stored) error {
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
