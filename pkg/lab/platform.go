package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// emulatedPlatform is the table service, the store of settings and the lagging
// list of machines, as far as the control plane uses them.
type emulatedPlatform struct {
	world    *world
	random   *rand.Rand
	records  map[string]platform.Record
	applied  map[string]bool // tokens of transactions
	trees    []*tree.Tree    // accepted revisions
	listings []platform.MachineList
	down     bool
	loses    float64 // share of answers that are lost after their effect
}

// Delays of the platform, one way.
const (
	platformDelayShortest = 5 * time.Millisecond
	platformDelaySpread   = 10 * time.Millisecond
)

// newEmulatedPlatform returns a platform that holds one revision of the tree.
func newEmulatedPlatform(w *world, settings *tree.Tree) *emulatedPlatform {
	p := &emulatedPlatform{
		world: w, random: w.random, trees: []*tree.Tree{settings},
		records: make(map[string]platform.Record), applied: make(map[string]bool),
	}
	p.listMachines()
	return p
}

// delay returns a one-way delay.
func (p *emulatedPlatform) delay() time.Duration {
	return platformDelayShortest + time.Duration(p.random.Int64N(int64(platformDelaySpread)))
}

// losesAnswer tells whether an answer gets lost.
func (p *emulatedPlatform) losesAnswer() bool {
	return p.loses > 0 && p.random.Float64() < p.loses
}

// get reads a record.
func (p *emulatedPlatform) get(key string) (platform.Record, error) {
	record, ok := p.records[key]
	if !ok {
		return platform.Record{}, errors.WithStack(platform.ErrNotFound)
	}
	return record, nil
}

// commit applies a transaction once, whole or not at all.
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

// newestTree returns the newest accepted tree, false while the store is down.
func (p *emulatedPlatform) newestTree() (*tree.Tree, bool) {
	return p.trees[len(p.trees)-1], !p.down
}

// accept accepts a change of the settings.
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

// listMachines notes the present truth in the history of the list.
func (p *emulatedPlatform) listMachines() {
	w := p.world
	list := platform.MachineList{Version: uint64(len(p.listings) + 1), AsOf: w.clock.now()}
	for _, e := range w.engines {
		list.Machines = append(list.Machines, platform.Machine{
			ID: string(e.id), Address: e.address, Service: w.scenario.Services[e.service].Name,
			Zone: w.scenario.Zones[e.zone], Region: w.scenario.Region, State: e.machineState(),
			MemoryBytes: e.capacity, Instance: fmt.Sprintf("%s-%d", e.id, e.machines),
		})
	}
	p.listings = append(p.listings, list)
}

// laggingList returns the list as it was a while ago.
func (p *emulatedPlatform) laggingList() platform.MachineList {
	asOf := p.world.clock.now().Add(-p.world.scenario.Delays.MachineListLag)
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
