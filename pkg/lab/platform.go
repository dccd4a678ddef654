package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// emulatedPlatform emulates the table service, the store of settings and the lagging list of
// machines, as far as the control plane uses them.
type emulatedPlatform struct {
	sim      *simulation
	random   *rand.Rand
	records  map[string]platform.Record
	applied  map[string]bool // tokens of applied transactions
	trees    []*tree.Tree    // accepted revisions, oldest first
	listings []platform.MachineList
	down     bool
	lossRate float64 // share of answers that get lost after the call took effect
}

// One-way delays of the platform.
const (
	platformMinDelay    = 5 * time.Millisecond
	platformDelaySpread = 10 * time.Millisecond
)

// newEmulatedPlatform returns a platform with one revision of the tree.
func newEmulatedPlatform(sim *simulation, settings *tree.Tree) *emulatedPlatform {
	p := &emulatedPlatform{
		sim: sim, random: sim.random, trees: []*tree.Tree{settings},
		records: make(map[string]platform.Record), applied: make(map[string]bool),
	}
	p.recordMachines()
	return p
}

// delay returns a random one-way delay.
func (p *emulatedPlatform) delay() time.Duration {
	return platformMinDelay + time.Duration(p.random.Int64N(int64(platformDelaySpread)))
}

// dropsAnswer decides at random whether an answer gets lost.
func (p *emulatedPlatform) dropsAnswer() bool {
	return p.lossRate > 0 && p.random.Float64() < p.lossRate
}

// get reads a record.
func (p *emulatedPlatform) get(key string) (platform.Record, error) {
	record, ok := p.records[key]
	if !ok {
		return platform.Record{}, errors.WithStack(platform.ErrNotFound)
	}
	return record, nil
}

// commit applies a transaction atomically, and at most once per token.
func (p *emulatedPlatform) commit(transaction platform.Transaction) error {
	if p.applied[transaction.Token] {
		return nil
	}
	for _, condition := range transaction.Conditions {
		if p.records[condition.Key].Version != condition.Version {
			return errors.WithStack(platform.ErrConflict)
		}
	}
	p.applied[transaction.Token] = true
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(p.records, write.Key)
			continue
		}
		version := p.records[write.Key].Version + 1
		p.records[write.Key] = platform.Record{Key: write.Key, Value: write.Value, Version: version}
	}
	return nil
}

// newestTree returns the newest accepted tree, and false while the store is down.
func (p *emulatedPlatform) newestTree() (*tree.Tree, bool) {
	return p.trees[len(p.trees)-1], !p.down
}

// accept applies a change of the settings as the next revision.
func (p *emulatedPlatform) accept(change tree.Change) (*tree.Tree, error) {
	newest := p.trees[len(p.trees)-1]
	change.ID = fmt.Sprintf("change-%d", len(p.trees))
	change.Base = newest.Revision()
	change.Revision = newest.Revision() + 1
	changed, err := newest.Apply(change)
	if err != nil {
		return nil, err
	}
	p.trees = append(p.trees, changed)
	return changed, nil
}

// recordMachines appends the actual state of the machines to the history of the list.
func (p *emulatedPlatform) recordMachines() {
	sim := p.sim
	list := platform.MachineList{Version: uint64(len(p.listings) + 1), AsOf: sim.clock.now()}
	for _, e := range sim.engines {
		list.Machines = append(list.Machines, platform.Machine{
			ID: string(e.id), Address: e.address, Service: sim.scenario.Services[e.service].Name,
			Zone: sim.scenario.Zones[e.zone], Region: sim.scenario.Region, State: e.machineState(),
			MemoryBytes: e.capacity, Instance: fmt.Sprintf("%s-%d", e.id, e.machineCount),
		})
	}
	p.listings = append(p.listings, list)
}

// laggingList returns the list of machines as it was MachineListLag ago.
func (p *emulatedPlatform) laggingList() platform.MachineList {
	asOf := p.sim.clock.now().Add(-p.sim.scenario.Delays.MachineListLag)
	chosen := p.listings[0]
	for _, list := range p.listings {
		if list.AsOf.After(asOf) {
			break
		}
		chosen = list
	}
	chosen.AsOf = latestOf(asOf, epoch)
	return chosen
}

// latestOf returns the later of two times.
func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
