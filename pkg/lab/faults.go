package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/tree"
)

// Faults names a timetable of failures.
type Faults string

// The timetables.
const (
	FaultsNone        Faults = "none"
	FaultsKill        Faults = "kill"         // engines and nodes die, machines are reclaimed
	FaultsCut         Faults = "cut"          // a zone is cut from the others
	FaultsFreeze      Faults = "freeze"       // processes pause and go on
	FaultsStoreDown   Faults = "store-down"   // the table service and object store are down
	FaultsWeightsSlow Faults = "weights-slow" // the weight store is slow
	FaultsMixed       Faults = "mixed"        // all of these
	FaultsStoreCopy   Faults = "store-copy"   // the table service comes back from a copy, which it promises not to do
)

// AllFaults returns the names of the timetables.
func AllFaults() []Faults {
	return []Faults{FaultsNone, FaultsKill, FaultsCut, FaultsFreeze, FaultsStoreDown, FaultsWeightsSlow, FaultsMixed, FaultsStoreCopy}
}

// How often failures come and how long they last.
const (
	killInterval     = 40 * time.Minute
	nodeRestart      = 5 * time.Second
	machineReplaced  = 3 * time.Minute
	reclaimNotice    = 30 * time.Second
	cutInterval      = 2 * time.Hour
	cutLasts         = 90 * time.Second
	freezeInterval   = 30 * time.Minute
	freezeLasts      = 20 * time.Second
	storeInterval    = 3 * time.Hour
	storeDownLasts   = time.Hour
	storeLosesFor    = 10 * time.Minute // before and after it is down
	storeLoses       = 0.2
	copyInterval     = time.Hour
	copyAge          = 5 * time.Second
	copyAway         = 2 * time.Second
	editInterval     = 10 * time.Minute
	weightsInterval  = 6 * time.Hour
	weightsSlowLasts = time.Hour
	weightsSlowdown  = 5.0
)

// scheduleFaults adds the failures of a timetable to the run. Moments are
// drawn around the intervals, so that failures meet any state.
func (w *world) scheduleFaults(faults Faults, random *rand.Rand) error {
	if !slices.Contains(AllFaults(), faults) {
		return errors.Errorf("unknown faults %q; known are %v", faults, AllFaults())
	}
	has := func(one Faults) bool { return faults == one || faults == FaultsMixed && one != FaultsStoreCopy }
	if has(FaultsKill) {
		w.repeat(random, killInterval, func() { w.killEngine(random) })
		w.repeat(random, killInterval, func() { w.killNode(random) })
		w.repeat(random, 2*killInterval, func() { w.reclaim(random) })
	}
	if has(FaultsCut) {
		w.repeat(random, cutInterval, func() { w.cutZone(random) })
	}
	if has(FaultsFreeze) {
		w.repeat(random, freezeInterval, func() { w.freezeNode(random) })
		w.repeat(random, freezeInterval, func() { w.freezeEngine(random) })
	}
	if has(FaultsStoreDown) {
		w.repeat(random, storeInterval, w.storeDown)
	}
	if has(FaultsWeightsSlow) {
		w.repeat(random, weightsInterval, w.slowWeights)
	}
	if has(FaultsStoreCopy) {
		w.repeat(random, copyInterval, w.loseStore)
	}
	if distributed, ok := w.plane.(*distributedPlane); ok {
		w.repeat(random, editInterval, func() { distributed.edit(random) })
	}
	return nil
}

// count notes that a failure happened.
func (w *world) count(kind Faults) { w.failures[kind]++ }

// hastened shortens a long failure as much as failures come more often.
func (w *world) hastened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / w.scenario.FaultRate)
}

// repeat does something again and again, after 0.5 to 1.5 intervals.
func (w *world) repeat(random *rand.Rand, interval time.Duration, do func()) {
	wait := time.Duration((0.5 + random.Float64()) * float64(interval) / w.scenario.FaultRate)
	w.clock.after(wait, func() {
		if !w.ended {
			do()
			w.repeat(random, interval, do)
		}
	})
}

// pickLive returns a random live engine, one in the middle of a load if there
// is any; nil if all are dead.
func (w *world) pickLive(random *rand.Rand) *emulatedEngine {
	var live, loading []*emulatedEngine
	for _, e := range w.engines {
		if !e.alive || e.frozen {
			continue
		}
		live = append(live, e)
		if slices.ContainsFunc(e.items, func(it *item) bool { return it != nil && it.timer != nil }) {
			loading = append(loading, e)
		}
	}
	if len(loading) > 0 {
		live = loading
	}
	if len(live) == 0 {
		return nil
	}
	return live[random.IntN(len(live))]
}

// killEngine lets an engine process die; it starts again a little later.
func (w *world) killEngine(random *rand.Rand) {
	if e := w.pickLive(random); e != nil {
		w.endEngine(e, nodeRestart, false)
	}
}

// endEngine lets an engine die and come back.
func (w *world) endEngine(e *emulatedEngine, back time.Duration, replaced bool) {
	w.count(FaultsKill)
	e.crash()
	e.gone = replaced
	w.plane.engineChanged(e)
	w.clock.after(back, func() {
		e.restart(replaced)
		w.plane.engineChanged(e)
	})
}

// reclaim takes a machine away with a short notice; another replaces it.
func (w *world) reclaim(random *rand.Rand) {
	e := w.pickLive(random)
	if e == nil {
		return
	}
	e.leavingAt = w.clock.elapsed
	instance := e.instance
	w.plane.engineChanged(e)
	w.clock.after(reclaimNotice, func() {
		if e.alive && e.instance == instance {
			w.endEngine(e, machineReplaced, true)
		}
	})
}

// killNode lets a node die; it starts again a little later.
func (w *world) killNode(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	if !n.alive {
		return
	}
	n.die()
	w.clock.after(nodeRestart, n.restart)
}

// cutZone cuts a zone from the others for a while.
func (w *world) cutZone(random *rand.Rand) {
	zone := random.IntN(len(w.network.cut))
	w.network.cut[zone] = true
	w.count(FaultsCut)
	w.clock.after(cutLasts, func() {
		w.network.cut[zone] = false
		w.plane.healed()
	})
}

// freezeNode pauses a node for a while.
func (w *world) freezeNode(random *rand.Rand) {
	n := w.nodes[random.IntN(len(w.nodes))]
	if !n.alive || n.frozen {
		return
	}
	n.frozen = true
	w.count(FaultsFreeze)
	life := n.lives
	w.clock.after(freezeLasts, func() {
		if n.lives == life {
			n.thaw()
		}
	})
}

// freezeEngine pauses an engine's answers for a while; what runs goes on.
func (w *world) freezeEngine(random *rand.Rand) {
	e := w.pickLive(random)
	if e == nil {
		return
	}
	e.frozen = true
	instance := e.instance
	w.clock.after(freezeLasts, func() {
		if e.instance == instance && e.alive {
			e.thaw()
		}
	})
}

// storeDown lets the platform's store lose answers, be down for long, and lose
// answers again.
func (w *world) storeDown() {
	distributed, ok := w.plane.(*distributedPlane)
	if !ok {
		return
	}
	store := distributed.platform
	store.loses = storeLoses
	loses, down := w.hastened(storeLosesFor), w.hastened(storeDownLasts)
	w.clock.after(loses, func() {
		store.down = true
		w.count(FaultsStoreDown)
	})
	w.clock.after(loses+down, func() { store.down = false })
	w.clock.after(2*loses+down, func() { store.loses = 0 })
}

// loseStore lets the table service be away and come back as it was a while before.
func (w *world) loseStore() {
	distributed, ok := w.plane.(*distributedPlane)
	if !ok {
		return
	}
	store := distributed.platform
	records, applied := maps.Clone(store.records), maps.Clone(store.applied)
	w.clock.after(copyAge, func() {
		store.down = true
		w.count(FaultsStoreCopy)
	})
	w.clock.after(copyAge+copyAway, func() { store.records, store.applied, store.down = records, applied, false })
}

// edit lets an operator change a setting at a random node.
func (d *distributedPlane) edit(random *rand.Rand) {
	w := d.world
	author := d.processes[random.IntN(len(d.processes))]
	if d.platform.down || !author.node.alive || author.node.frozen {
		return
	}
	service := w.scenario.Services[random.IntN(len(w.scenario.Services))].Name
	value := fmt.Sprint(float64(10+random.IntN(80)) / 100)
	settings, err := d.platform.accept(tree.Change{
		Author: string(author.node.id), At: w.clock.now(),
		Edits: []tree.Edit{{Path: tree.RootPath.Child(service), Key: "fair_share", Value: value}},
	})
	if err != nil {
		panic(err) // the change is valid
	}
	author.later(d.platform.delay(), func() { author.useTree(settings) })
}

// slowWeights slows the weight store down for a while.
func (w *world) slowWeights() {
	w.count(FaultsWeightsSlow)
	w.store.setSlowdown(weightsSlowdown)
	w.clock.after(w.hastened(weightsSlowLasts), func() { w.store.setSlowdown(1) })
}
