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

// Faults names a schedule of faults.
type Faults string

// The schedules of faults.
const (
	FaultsNone          Faults = "none"
	FaultsKill          Faults = "kill"         // engines and nodes die, machines are reclaimed
	FaultsCut           Faults = "cut"          // a zone is cut off from the others
	FaultsFreeze        Faults = "freeze"       // processes freeze and resume
	FaultsStoreDown     Faults = "store-down"   // the table service and object store are unavailable
	FaultsWeightsSlow   Faults = "weights-slow" // the weight store is slow
	FaultsMixed         Faults = "mixed"        // all of the above
	FaultsRelease       Faults = "release"      // servers are replaced by a next version of their software
	FaultsBadPart       Faults = "bad-part"     // a part of prompts crashes the engines that begin to answer it
	FaultsSilent        Faults = "silent"       // sound engines generate nothing for a second or so and go on
	FaultsEndless       Faults = "endless"      // engines answer without end for a while
	FaultsModelList     Faults = "model-list"   // models are retired, come back and change their sizes
	FaultsLostAnswers   Faults = "lost-answers" // engines lose answers that they work on, and reset new connections
	FaultsBroken        Faults = "broken"       // engines reset answers under their uploads
	FaultsStoreRestored Faults = "store-copy"   // the table service is restored from a backup, which the platform guarantees not to do
)

// AllFaults returns the names of the schedules.
func AllFaults() []Faults {
	return []Faults{FaultsNone, FaultsKill, FaultsCut, FaultsFreeze, FaultsStoreDown, FaultsWeightsSlow, FaultsMixed, FaultsRelease, FaultsBadPart, FaultsSilent, FaultsEndless, FaultsModelList, FaultsLostAnswers, FaultsBroken, FaultsStoreRestored}
}

// Intervals, durations and rates of the faults.
const (
	killInterval           = 40 * time.Minute
	restartTime            = 5 * time.Second
	machineReplacementTime = 3 * time.Minute
	reclaimNotice          = 30 * time.Second
	cutInterval            = 2 * time.Hour
	cutDuration            = 90 * time.Second
	freezeInterval         = 30 * time.Minute
	freezeDuration         = 20 * time.Second
	storeDownInterval      = 3 * time.Hour
	storeDownDuration      = time.Hour
	storeLossDuration      = 10 * time.Minute // answers get lost for this long before and after the outage
	storeLossRate          = 0.2              // share of answers that get lost
	releaseInterval        = 30 * time.Minute
	releaseGap             = 20 * time.Second // between the servers of a release
	releaseNodeKills       = 10               // nodes killed in the time from one release to the next
	restoreInterval        = time.Hour
	backupAge              = 5 * time.Second // age of the backup when the table service goes down
	restoreDowntime        = 2 * time.Second // downtime of the table service
	badPartInterval        = time.Hour
	badPartDuration        = 30 * time.Minute
	badPartShare           = 0.05 // of the requests
	silentInterval         = 2 * time.Minute
	endlessInterval        = 2 * time.Minute
	modelListInterval      = 2 * time.Minute
	lostAnswersInterval    = 2 * time.Minute
	brokenInterval         = 2 * time.Minute
	editInterval           = 10 * time.Minute
	weightsSlowInterval    = 6 * time.Hour
	weightsSlowDuration    = time.Hour
	weightsSlowdown        = 5.0
)

// scheduleFaults schedules the faults of a run. Times vary randomly around the intervals, so that
// faults hit the system in any state.
func (sim *simulation) scheduleFaults(faults Faults, random *rand.Rand) error {
	if !slices.Contains(AllFaults(), faults) {
		return errors.Errorf("unknown faults %q; known are %v", faults, AllFaults())
	}
	includes := func(kind Faults) bool { return faults == kind || faults == FaultsMixed && !apart(kind) }
	if includes(FaultsKill) {
		sim.repeat(random, killInterval, func() { sim.killEngine(random) })
		sim.repeat(random, killInterval, func() { sim.killNode(random) })
		sim.repeat(random, 2*killInterval, func() { sim.reclaim(random) })
	}
	if includes(FaultsCut) {
		sim.repeat(random, cutInterval, func() { sim.cutZone(random) })
	}
	if includes(FaultsFreeze) {
		sim.repeat(random, freezeInterval, func() { sim.freezeNode(random) })
		sim.repeat(random, freezeInterval, func() { sim.freezeEngine(random) })
	}
	if includes(FaultsStoreDown) {
		sim.repeat(random, storeDownInterval, sim.interruptStore)
	}
	if includes(FaultsWeightsSlow) {
		sim.repeat(random, weightsSlowInterval, sim.slowWeights)
	}
	if includes(FaultsRelease) {
		sim.repeat(random, releaseInterval, func() { sim.release(random) })
		sim.repeat(random, releaseInterval/releaseNodeKills, func() { sim.killNode(random) }) // whose callers go on elsewhere
	}
	if includes(FaultsBadPart) {
		sim.repeat(random, badPartInterval, func() { sim.sendBadPart(random) })
	}
	if includes(FaultsSilent) {
		sim.repeat(random, silentInterval, func() { sim.silenceEngines(random) })
	}
	if includes(FaultsEndless) {
		sim.repeat(random, endlessInterval, func() { sim.answerEndlessly(random) })
	}
	if includes(FaultsLostAnswers) {
		sim.repeat(random, lostAnswersInterval, func() { sim.loseAnswers(random) })
	}
	if includes(FaultsBroken) {
		sim.repeat(random, brokenInterval, func() { sim.breakAnswers(random) })
	}
	if includes(FaultsStoreRestored) {
		sim.repeat(random, restoreInterval, sim.restoreStore)
	}
	if distributed, ok := sim.plane.(*distributedPlane); ok {
		if includes(FaultsModelList) {
			sim.repeat(random, modelListInterval, func() { distributed.changeModels(random) })
		}
		sim.repeat(random, editInterval, func() { distributed.edit(random) })
	}
	return nil
}

// apart reports whether a kind of faults is no part of mixed ones: a restored store, which the platform guarantees not to
// happen, changes of the list of models, since requests for retired ones are refused and hide what else delays them, and
// lost answers, whose streams have copies, which other kinds of faults do without, and broken ones, so that mixed faults stay
// comparable.
func apart(kind Faults) bool {
	return kind == FaultsStoreRestored || kind == FaultsModelList || kind == FaultsLostAnswers || kind == FaultsBroken
}

// countFault counts a fault that was injected.
func (sim *simulation) countFault(kind Faults) { sim.faultCounts[kind]++ }

// scaledDuration shortens a long fault by the factor by which faults are more frequent.
func (sim *simulation) scaledDuration(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) / sim.scenario.FaultRate)
}

// repeat calls do repeatedly, after 0.5 to 1.5 intervals each.
func (sim *simulation) repeat(random *rand.Rand, interval time.Duration, do func()) {
	wait := time.Duration((0.5 + random.Float64()) * float64(interval) / sim.scenario.FaultRate)
	sim.clock.after(wait, func() {
		if !sim.ended {
			do()
			sim.repeat(random, interval, do)
		}
	})
}

// pickLive returns a random live engine, preferring engines that are loading or unloading a model;
// nil if there is none.
func (sim *simulation) pickLive(random *rand.Rand) *emulatedEngine {
	var live, loading []*emulatedEngine
	for _, e := range sim.engines {
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

// killEngine kills an engine process, which restarts a little later.
func (sim *simulation) killEngine(random *rand.Rand) {
	if e := sim.pickLive(random); e != nil {
		sim.crashEngine(e, restartTime, false)
	}
}

// crashEngine crashes an engine and restarts it after a while, on a new machine if replaced.
func (sim *simulation) crashEngine(e *emulatedEngine, downtime time.Duration, replaced bool) {
	sim.countFault(FaultsKill)
	sim.restartEngine(e, downtime, replaced)
}

// restartEngine ends an engine and starts it again after a while, on a new machine if replaced.
func (sim *simulation) restartEngine(e *emulatedEngine, downtime time.Duration, replaced bool) {
	e.crash()
	e.gone = replaced
	sim.plane.engineChanged(e)
	sim.clock.after(downtime, func() {
		e.restart(replaced)
		sim.plane.engineChanged(e)
	})
}

// reclaim takes a machine away after a short notice; another machine replaces it.
func (sim *simulation) reclaim(random *rand.Rand) {
	e := sim.pickLive(random)
	if e == nil {
		return
	}
	e.leavingAt = sim.clock.elapsed
	instance := e.instance
	sim.plane.engineChanged(e)
	sim.clock.after(reclaimNotice, func() {
		if e.alive && e.instance == instance {
			sim.crashEngine(e, machineReplacementTime, true)
		}
	})
}

// release replaces the servers of a service one after the other by the next version of their software, half
// of them at most, so that versions serve side by side until later releases.
func (sim *simulation) release(random *rand.Rand) {
	service := random.IntN(len(sim.scenario.Services))
	version := 0
	var servers []*emulatedEngine
	for _, e := range sim.engines {
		if e.service == service {
			servers = append(servers, e)
			version = max(version, e.software+1)
		}
	}
	sim.countFault(FaultsRelease)
	for i, e := range servers[:(len(servers)+1)/2] {
		if random.IntN(2) == 0 {
			e = servers[len(servers)-1-i]
		}
		sim.clock.after(time.Duration(i)*releaseGap, func() { sim.replaceSoftware(e, version) })
	}
}

// replaceSoftware makes a server leave, and start again with another version of its software.
func (sim *simulation) replaceSoftware(e *emulatedEngine, version int) {
	if !e.alive || e.leavingAt >= 0 {
		return
	}
	e.leavingAt = sim.clock.elapsed
	instance := e.instance
	sim.plane.engineChanged(e)
	sim.clock.after(reclaimNotice, func() {
		if e.alive && e.instance == instance {
			e.software = version
			sim.restartEngine(e, restartTime, false)
		}
	})
}

// killNode kills a node, which restarts a little later.
func (sim *simulation) killNode(random *rand.Rand) {
	n := sim.nodes[random.IntN(len(sim.nodes))]
	if !n.alive {
		return
	}
	n.kill()
	sim.clock.after(restartTime, n.restart)
}

// cutZone cuts a zone off from the others for a while.
func (sim *simulation) cutZone(random *rand.Rand) {
	zone := random.IntN(len(sim.network.cut))
	sim.network.cut[zone] = true
	sim.countFault(FaultsCut)
	sim.clock.after(cutDuration, func() {
		sim.network.cut[zone] = false
		sim.plane.zonesReconnected()
	})
}

// freezeNode freezes a node for a while.
func (sim *simulation) freezeNode(random *rand.Rand) {
	n := sim.nodes[random.IntN(len(sim.nodes))]
	if !n.alive || n.frozen {
		return
	}
	n.frozen = true
	sim.countFault(FaultsFreeze)
	incarnation := n.incarnation
	sim.clock.after(freezeDuration, func() {
		if n.incarnation == incarnation {
			n.resume()
		}
	})
}

// freezeEngine freezes an engine's answers for a while; running requests go on.
func (sim *simulation) freezeEngine(random *rand.Rand) {
	e := sim.pickLive(random)
	if e == nil {
		return
	}
	e.frozen = true
	instance := e.instance
	sim.clock.after(freezeDuration, func() {
		if e.instance == instance && e.alive {
			e.resume()
		}
	})
}

// interruptStore makes the platform's store lose answers for a while, then be down, then lose answers
// again.
func (sim *simulation) interruptStore() {
	distributed, ok := sim.plane.(*distributedPlane)
	if !ok {
		return
	}
	store := distributed.platform
	store.lossRate = storeLossRate
	lossy, down := sim.scaledDuration(storeLossDuration), sim.scaledDuration(storeDownDuration)
	sim.clock.after(lossy, func() {
		store.down = true
		sim.countFault(FaultsStoreDown)
	})
	sim.clock.after(lossy+down, func() { store.down = false })
	sim.clock.after(2*lossy+down, func() { store.lossRate = 0 })
}

// restoreStore takes the table service down and restores it from a backup that was
// backupAge old when it went down.
func (sim *simulation) restoreStore() {
	distributed, ok := sim.plane.(*distributedPlane)
	if !ok {
		return
	}
	store := distributed.platform
	records, applied := maps.Clone(store.records), maps.Clone(store.applied)
	sim.clock.after(backupAge, func() {
		store.down = true
		sim.countFault(FaultsStoreRestored)
	})
	sim.clock.after(backupAge+restoreDowntime, func() { store.records, store.applied, store.down = records, applied, false })
}

// edit changes a setting at a random node, as an operator would.
func (d *distributedPlane) edit(random *rand.Rand) {
	sim := d.sim
	author := d.processes[random.IntN(len(d.processes))]
	if d.platform.down || !author.node.alive || author.node.frozen {
		return
	}
	service := sim.scenario.Services[random.IntN(len(sim.scenario.Services))].Name
	value := fmt.Sprint(float64(10+random.IntN(80)) / 100)
	settings, err := d.platform.accept(tree.Change{
		Author: string(author.node.id), At: sim.clock.now(),
		Edits: []tree.Edit{{Path: tree.RootPath.Child(service), Key: "fair_share", Value: value}},
	})
	if err != nil {
		panic(err) // can't happen: the change is valid
	}
	author.schedule(d.platform.delay(), func() { author.applyTree(settings) })
}

// slowWeights slows the weight store down for a while.
func (sim *simulation) slowWeights() {
	sim.countFault(FaultsWeightsSlow)
	sim.store.setSlowdown(weightsSlowdown)
	sim.clock.after(sim.scaledDuration(weightsSlowDuration), func() { sim.store.setSlowdown(1) })
}
