package coordinator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of schedules in which the list of models changes.
const (
	changingModels     = 8 // m0 and those after it are retired, come back and shrink
	maxListPause       = 1500 * time.Millisecond
	maxTableDelay      = 2 * time.Second // until a node that reaches the store has read a change, at most twice that
	resizeAfter        = 8 * time.Second // time unlisted after which a model may come back larger: later than any order for it arrives
	unlistedUnloadTime = 30 * time.Second
)

// drawnSizes are the sizes that models come back with.
var drawnSizes = []int{20, 40, 60, modelBytes, 118, 120, 150}

// modelLists changes the list of models of a simulation.
type modelLists struct {
	sim     *simulation
	random  *rand.Rand
	sizes   map[string]int       // of the listed models
	retired map[string]time.Time // of the others
	version uint64
	shrinks bool // models that stay listed may shrink
}

func newModelLists(sim *simulation, seed uint64) *modelLists {
	l := &modelLists{sim: sim, random: rand.New(rand.NewPCG(seed, 11)), sizes: make(map[string]int), retired: make(map[string]time.Time), version: 1}
	for name := range sim.table.Service("s").Engine.Models {
		l.sizes[name] = modelBytes
	}
	return l
}

// change retires a model, lists it again, maybe with another size, or shrinks it.
func (l *modelLists) change() {
	name := fmt.Sprintf("m%d", l.random.IntN(changingModels))
	size, listed := l.sizes[name]
	switch {
	case listed && l.random.IntN(4) > 0:
		delete(l.sizes, name)
		l.retired[name] = time.Now()
		l.publish("%s is retired", name)
	case listed && l.shrinks:
		l.list(name, max(size-l.random.IntN(40), 10))
	case !listed && time.Since(l.retired[name]) > resizeAfter:
		l.list(name, drawnSizes[l.random.IntN(len(drawnSizes))])
	case !listed && l.random.IntN(4) == 0:
		l.list(name, l.sim.sizeNow(name))
	}
}

// list lists a model with a size.
func (l *modelLists) list(name string, size int) {
	l.sizes[name] = size
	l.sim.engines.mu.Lock()
	l.sim.engines.sizes[name] = size
	l.sim.engines.mu.Unlock()
	l.publish("%s is listed with %d", name, size)
}

// sizeNow returns the memory that a model takes if it is loaded now.
func (sim *simulation) sizeNow(name string) int {
	sim.engines.mu.Lock()
	defer sim.engines.mu.Unlock()
	return sizeIn(sim.engines.sizes, name)
}

// publish puts the list in force, which each node reads after a delay.
func (l *modelLists) publish(format string, args ...any) {
	l.version++
	l.sim.logEvent("configuration %d: %s", l.version, fmt.Sprintf(format, args...))
	l.sim.laterTable.Store(l.sim.listing(l.version, l.sizes).WithTenants(l.sim.table.Tenants()))
}

// run changes the list for as long as there are faults.
func (l *modelLists) run() {
	for time.Since(l.sim.leaseStore.started) < faultTime {
		time.Sleep(time.Duration(l.random.Int64N(int64(maxListPause))))
		l.change()
	}
}

// checkUnloaded checks that servers hold no model that is not listed.
func (l *modelLists) checkUnloaded() {
	l.sim.engines.mu.Lock()
	defer l.sim.engines.mu.Unlock()
	for id, e := range l.sim.engines.servers {
		e.completeDue()
		for name := range e.models {
			if _, listed := l.sizes[name]; !listed {
				l.sim.t.Errorf("%s still holds %s, which is not listed", id, name)
			}
		}
	}
}

// Guards against orders beyond a server's memory as models are retired, come back with other sizes or shrink while they are
// held, loaded or unloaded, under the explorer's faults, and against servers that keep what nobody lists.
func TestLIMITInSchedulesOfModelLists(t *testing.T) {
	explore(t, func(sim *simulation, seed uint64) {
		sim.keepNodeAddresses = seed%2 == 0
		sim.engines.sizes = make(map[string]int)
		l := newModelLists(sim, seed)
		l.shrinks = seed%3 > 0
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.run()
		}()
		if !l.shrinks {
			sim.runFaultsAndCrashes()
		} else {
			sim.injectFaults()
		}
		<-done
		time.Sleep(settleTime)
		sim.checkRecovery()
		time.Sleep(unlistedUnloadTime)
		l.checkUnloaded()
		sim.checkOrders()
		sim.stopNodes()
	})
}
