package coordinator

import (
	"sync/atomic"
	"time"
)

// fleetMemory is how long a fleet counts as large as it was: nodes that were killed come back within seconds, and what
// they used of shared budgets counts for longer than they are away.
const fleetMemory = 30 * time.Second

// fleet is the number of nodes of the site, the maximum of recent times. Shared budgets are divided by it, so it may be
// too large for a while but never too small: a holder that has just begun knows few nodes and uses the number in the
// lease's record.
type fleet struct {
	size        atomic.Int64 // safe for concurrent use
	recentMax   int          // most nodes after recentSince
	recentSince time.Time    // since when there are fewer nodes than size
	begunAt     time.Time    // start of the term
	sizeUnknown bool         // no record told the size, and there may be more nodes
}

// begin starts a term with the number in the lease's record. A record without a number may have been lost: the fleet is
// then as large as this node lists it, and if the record comes from a restored backup, the size counts as unknown.
func (f *fleet) begin(now time.Time, recorded, listed int, restored bool) {
	f.begunAt, f.sizeUnknown = now, recorded == 0 && restored
	if recorded == 0 {
		recorded = listed
	}
	f.size.Store(int64(recorded))
	f.recentMax, f.recentSince = 0, now
}

// isMajority tells whether that many nodes are certainly most of the fleet.
func (f *fleet) isMajority(nodes int) bool { return !f.sizeUnknown && 2*nodes > f.known() }

// observe updates the size by the current number of nodes.
func (f *fleet) observe(now time.Time, nodes int) {
	f.recentMax = max(f.recentMax, nodes)
	f.sizeUnknown = f.sizeUnknown && now.Sub(f.begunAt) <= fleetMemory
	if int64(nodes) >= f.size.Load() {
		f.size.Store(int64(nodes))
		f.recentMax, f.recentSince = 0, now
		return
	}
	if now.Sub(f.recentSince) > fleetMemory {
		f.size.Store(int64(f.recentMax))
		f.recentMax, f.recentSince = 0, now
	}
}

// known returns the number of nodes, zero before a holder knew any.
func (f *fleet) known() int { return int(f.size.Load()) }
