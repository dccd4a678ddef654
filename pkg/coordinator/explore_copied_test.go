package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/revision"
)

// comeBack has the lease's record be what it was when a copy was made, in the next epoch of the store.
func (r *row) comeBack(copied lease.Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied.Version, _ = revision.New(r.stored.Version.Epoch()+1, copied.Version.Number())
	r.stored = copied
}

// copied returns the record.
func (r *row) copied() lease.Stored {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored
}

// copies plays a store that is away for a moment and comes back from a copy, now and then, until faults end.
type copies struct {
	world  *world
	random *rand.Rand
	made   []lease.Stored // one each second
}

func newCopies(w *world, seed uint64) *copies {
	return &copies{world: w, random: rand.New(rand.NewPCG(seed, 52))}
}

func (c *copies) play() {
	for time.Since(c.world.row.started) < faultTime {
		c.made = append(c.made, c.world.row.copied())
		time.Sleep(time.Second)
		if c.random.IntN(4) == 0 {
			c.lose()
		}
	}
}

// lose has the store be away and come back, and again at once at times.
func (c *copies) lose() {
	for again := true; again && time.Since(c.world.row.started) < faultTime; again = c.random.IntN(4) == 0 {
		age := c.random.IntN(min(len(c.made), 8))
		away := time.Duration(c.random.Int64N(int64(3 * time.Second)))
		c.world.note("the store is away for %v and comes back from a copy %d s old", away, age)
		c.world.storeDown(away)
		c.world.row.comeBack(c.made[len(c.made)-1-age])
		time.Sleep(away)
	}
}

// TestONEInSchedulesWithACopiedStore: beside all other faults the store comes back from copies. No two lives give orders
// under one fence, and orders of two holders keep apart, as without it.
func TestONEInSchedulesWithACopiedStore(t *testing.T) {
	explore(t, func(w *world, seed uint64) {
		go newCopies(w, seed).play()
		w.play()
		w.judge()
	})
}
