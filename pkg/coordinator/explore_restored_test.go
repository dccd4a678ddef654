package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/revision"
)

// restore replaces the lease's record by a snapshot, in the next epoch of the store.
func (r *memoryStore) restore(snapshot lease.Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot.Version, _ = revision.New(r.stored.Version.Epoch()+1, snapshot.Version.Number())
	r.stored = snapshot
}

// snapshot returns the current record.
func (r *memoryStore) snapshot() lease.Stored {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored
}

// storeRestores repeatedly takes the store down and restores it from a backup, until the faults end.
type storeRestores struct {
	sim       *simulation
	random    *rand.Rand
	snapshots []lease.Stored // one per second
}

func newStoreRestores(sim *simulation, seed uint64) *storeRestores {
	return &storeRestores{sim: sim, random: rand.New(rand.NewPCG(seed, 52))}
}

func (c *storeRestores) run() {
	for time.Since(c.sim.leaseStore.started) < faultTime {
		c.snapshots = append(c.snapshots, c.sim.leaseStore.snapshot())
		time.Sleep(time.Second)
		if c.random.IntN(4) == 0 {
			c.restore()
		}
	}
}

// restore takes the store down and restores it from a backup, sometimes several times in a row.
func (c *storeRestores) restore() {
	for again := true; again && time.Since(c.sim.leaseStore.started) < faultTime; again = c.random.IntN(4) == 0 {
		age := c.random.IntN(min(len(c.snapshots), 8))
		outage := time.Duration(c.random.Int64N(int64(3 * time.Second)))
		c.sim.logEvent("the store is down for %v and is restored from a backup %d s old", outage, age)
		c.sim.storeDown(outage)
		c.sim.leaseStore.restore(c.snapshots[len(c.snapshots)-1-age])
		time.Sleep(outage)
	}
}

// TestONEInSchedulesWithARestoredStore restores the store from backups beside all other faults. No
// two incarnations may give orders under one fence, and orders of different holders must keep their
// distance, as without restores.
func TestONEInSchedulesWithARestoredStore(t *testing.T) {
	explore(t, func(sim *simulation, seed uint64) {
		go newStoreRestores(sim, seed).run()
		sim.runFaults()
		sim.checkOrders()
	})
}
