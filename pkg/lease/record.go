package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/revision"
)

// Intent is an order that the holder is about to give.
type Intent struct {
	Server string
	Load   bool // or unload
	Need   string
	Fetch  bool   // a load from the weight store
	After  uint64 // orders that the server has taken once it took this one
	Term   uint64 // in which it was written
	At     int64  // by the store's clock, in milliseconds
}

// Record is what the store keeps. Times are by the store's clock, in
// milliseconds.
type Record struct {
	Term    uint64
	Holder  string // empty: released
	Address string // of the holder, for other nodes
	Renewed int64
	// Epoch is that of the store as the term was taken.
	Epoch uint64 `json:",omitempty"`
	// EpochAt is when a holder first knew of that epoch, by the store's clock in milliseconds; zero: the
	// store never came back from a copy.
	EpochAt int64 `json:",omitempty"`
	// Mark names this write among all. Versions are given out again by a store that comes back from a
	// copy: a write is done only over the record that it expects by both.
	Mark    string `json:",omitempty"`
	Fleet   int    // nodes of the site, the most that holders lately knew of; zero: not known
	Intents []Intent
	// Quarantine is of requests that end servers, so that it outlives all nodes.
	Quarantine []Quarantined `json:",omitempty"`
	// Quotas is what scarce tenants' quotas held, so that it outlives the holder.
	Quotas []QuotaBalance `json:",omitempty"`
}

// QuotaBalance is what a scarce tenant's bucket held.
type QuotaBalance struct {
	quota.Balance
	At int64 // in milliseconds by the store's clock
}

// Inherited returns what the record tells of quotas, with its age by the store's clock.
func (r Record) Inherited(now int64) []quota.Inherited {
	list := make([]quota.Inherited, len(r.Quotas))
	for i, q := range r.Quotas {
		list[i] = quota.Inherited{Balance: q.Balance, Age: time.Duration(max(now-q.At, 0)) * time.Millisecond}
	}
	return list
}

// quotaBalances is the inverse of Inherited for what is left now.
func quotaBalances(left []quota.Balance, now int64) []QuotaBalance {
	var list []QuotaBalance
	for _, one := range left {
		list = append(list, QuotaBalance{one, now})
	}
	return list
}

// Quarantined is the evidence against a request.
type Quarantined struct {
	quarantine.Evidence
	At int64 // when its last news came, in milliseconds by the store's clock
}

// Aged returns the evidence of the record with its age by the store's clock.
func (r Record) Aged(now int64) []quarantine.Aged {
	aged := make([]quarantine.Aged, len(r.Quarantine))
	for i, q := range r.Quarantine {
		aged[i] = quarantine.Aged{Evidence: q.Evidence, Age: time.Duration(max(now-q.At, 0)) * time.Millisecond}
	}
	return aged
}

// quarantined is the inverse of Aged.
func quarantined(aged []quarantine.Aged, now int64) []Quarantined {
	var list []Quarantined
	for _, a := range aged {
		list = append(list, Quarantined{a.Evidence, now - a.Age.Milliseconds()})
	}
	return list
}

// Stored is a record as it was read.
type Stored struct {
	Record  Record
	Version revision.Revision // its number is zero: there is none yet
	Now     int64             // the store's clock
}

// ErrConflict means that the record has changed; the one that is there comes
// with it.
var ErrConflict = errors.New("lease: the record has changed")

// ErrNotHeld means that this node does not hold the lease.
var ErrNotHeld = errors.New("lease: not held")

// Store keeps the record. It writes one over the record that is expected there, with its version and
// its mark. Any other error than ErrConflict leaves open whether a write was done, or will be.
type Store interface {
	Read(ctx context.Context) (Stored, error)
	Write(ctx context.Context, r Record, over Stored) (Stored, error)
}

// free tells whether another node may take the lease.
func (s Stored) free() bool {
	return s.Version.Number() == 0 || s.Record.Holder == "" || s.age() > Expiry
}

// age is the time since the last renewal.
func (s Stored) age() time.Duration {
	return time.Duration(s.Now-s.Record.Renewed) * time.Millisecond
}

// fresh returns the intents that still count, in a new slice.
func fresh(intents []Intent, now int64) []Intent {
	return slices.DeleteFunc(slices.Clone(intents), func(i Intent) bool {
		return now-i.At > IntentTime.Milliseconds()
	})
}
