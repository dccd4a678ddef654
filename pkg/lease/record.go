package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/revision"
)

// Intent is an order that the holder is about to give to a server.
type Intent struct {
	Server string
	Load   bool   // load a model; false: unload it
	Need   string // "model" or "model/adapter" that is loaded or unloaded
	Fetch  bool   // load it from the weight store
	After  uint64 // number of orders that the server has taken including this one
	Term   uint64 // term in which the intent was written
	At     int64  // time of the write by the store's clock, in milliseconds
}

// Record is the stored record of the lease. Times are by the store's clock, in milliseconds.
type Record struct {
	Term    uint64
	Holder  string // name of the holder's incarnation; empty: released
	Address string // of the holder, for other nodes
	Renewed int64  // time of the last renewal
	// Epoch is the epoch of the store in which the term was taken.
	Epoch uint64 `json:",omitempty"`
	// EpochAt is when a holder first saw that epoch, by the store's clock in milliseconds; zero if the store
	// was never restored.
	EpochAt int64 `json:",omitempty"`
	// Mark identifies one write of the record. A restored store gives out the same versions again, so that a
	// write is done only if both version and mark are the expected ones.
	Mark    string `json:",omitempty"`
	Fleet   int    // number of nodes of the site, the most that holders lately knew of; zero: unknown
	Intents []Intent
	// Quarantine is the evidence against requests that crash servers. It is stored so that it outlives all
	// nodes.
	Quarantine []Quarantined `json:",omitempty"`
	// Quotas is the balances of scarce tenants' quotas. They are stored so that they outlive the holder.
	Quotas []QuotaBalance `json:",omitempty"`
	// Sole are the software versions that serve a service alone. They are stored so that they outlive all nodes.
	Sole []lineage.SoleVersion `json:",omitempty"`
	// Sizes tells of the memory that models take at servers. It is stored so that it outlives all nodes.
	Sizes *ModelSizes `json:",omitempty"`
}

// ModelSizes is what a holder knows of the memory that models take at servers. It does not change once made.
type ModelSizes struct {
	// Held are the sizes of models that servers hold otherwise than as the configuration tells.
	Held []ModelSize `json:",omitempty"`
	// Listed are the fingerprints of the models that the configuration lists, of four bytes each, with their sizes: what
	// servers held of them then takes no more, unless Held tells so.
	Listed []byte `json:",omitempty"`
}

// ModelSize is the memory that a model takes at the servers that hold it, at most.
type ModelSize struct {
	Service, Model string
	Bytes          uint64 `json:",omitempty"`
	AdapterBytes   uint64 `json:",omitempty"` // of each adapter
}

// QuotaBalance is the balance of a scarce tenant's token bucket.
type QuotaBalance struct {
	quota.Balance
	At int64 // when it was reported, by the store's clock in milliseconds
}

// Inherited returns the quota balances of the record with their ages by the store's clock.
func (r Record) Inherited(now int64) []quota.Inherited {
	list := make([]quota.Inherited, len(r.Quotas))
	for i, q := range r.Quotas {
		list[i] = quota.Inherited{Balance: q.Balance, Age: time.Duration(max(now-q.At, 0)) * time.Millisecond}
	}
	return list
}

// toQuotaBalances is the inverse of Inherited, for balances reported now.
func toQuotaBalances(left []quota.Balance, now int64) []QuotaBalance {
	var list []QuotaBalance
	for _, one := range left {
		list = append(list, QuotaBalance{one, now})
	}
	return list
}

// Quarantined is the evidence against a request.
type Quarantined struct {
	quarantine.Evidence
	At int64 // when the evidence last changed, by the store's clock in milliseconds
}

// Aged returns the evidence of the record with its age by the store's clock.
func (r Record) Aged(now int64) []quarantine.Aged {
	aged := make([]quarantine.Aged, len(r.Quarantine))
	for i, q := range r.Quarantine {
		aged[i] = quarantine.Aged{Evidence: q.Evidence, Age: time.Duration(max(now-q.At, 0)) * time.Millisecond}
	}
	return aged
}

// toQuarantined is the inverse of Aged.
func toQuarantined(aged []quarantine.Aged, now int64) []Quarantined {
	var list []Quarantined
	for _, a := range aged {
		list = append(list, Quarantined{a.Evidence, now - a.Age.Milliseconds()})
	}
	return list
}

// Stored is a record as it was read from the store.
type Stored struct {
	Record  Record
	Version revision.Revision // number zero: there is no record yet
	Now     int64             // time of the read by the store's clock, in milliseconds
}

// ErrConflict means that the record has changed. Store.Write returns the current record with it.
var ErrConflict = errors.New("lease: the record has changed")

// ErrNotHeld means that this node does not hold the lease.
var ErrNotHeld = errors.New("lease: not held")

// Store keeps the record. Write replaces the record only if the stored one has the version and the mark of
// over. After any error other than ErrConflict, the write may have been done or may still be done later.
type Store interface {
	Read(ctx context.Context) (Stored, error)
	Write(ctx context.Context, r Record, over Stored) (Stored, error)
}

// free reports whether another node may take the lease.
func (s Stored) free() bool {
	return s.Version.Number() == 0 || s.Record.Holder == "" || s.age() > Expiry
}

// age returns the time since the last renewal.
func (s Stored) age() time.Duration {
	return time.Duration(s.Now-s.Record.Renewed) * time.Millisecond
}

// unexpired returns the intents that are younger than IntentTime, in a new slice.
func unexpired(intents []Intent, now int64) []Intent {
	return slices.DeleteFunc(slices.Clone(intents), func(i Intent) bool {
		return now-i.At > IntentTime.Milliseconds()
	})
}
