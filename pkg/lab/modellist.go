package lab

import (
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/settings/units"
	"martenwheel.dev/pkg/tree"
)

// Changes of the list of models.
const (
	mostModelsChanged = 8    // of one service, in one change
	resizeShare       = 0.35 // of the changed models, that stay listed with another size
	otherSizeShare    = 0.6  // of the retired models, that come back with another size
	takeoverShare     = 0.25 // of the changes, at which the node that owns the cell dies
	minRetiredTime    = 50 * time.Millisecond
	maxRetiredTime    = 90 * time.Second
	leastSize         = 0.4             // of a model's first size
	largestSize       = 1.8             // of a model's first size
	relistRetry       = 5 * time.Second // after an attempt to list a model that the store did not take
)

// listChanges counts what changes of the list of models met.
type listChanges struct {
	retired        map[int]bool // models that are not listed, by index
	retiredHeld    int          // retired models that an engine held
	retiredLoading int          // retired models that an engine was loading
	resizedHeld    int          // models that changed their size while an engine held them
	resizedLoading int          // models that changed their size while an engine was loading them
	relisted       int          // models that came back
	relistedHeld   int          // models that came back, with another size, while an engine held them
	adapters       int          // adapters that were retired alone
	takeovers      int          // changes at which the owner died
}

// changeModels retires models of a service, or changes their sizes, in one change of the settings. Retired ones come
// back later.
func (d *distributedPlane) changeModels(random *rand.Rand) {
	service := random.IntN(len(d.sim.scenario.Services))
	var edits []tree.Edit
	var removed []*model
	for _, m := range d.pickModels(service, random) {
		if random.Float64() < resizeShare {
			edits = append(edits, d.resize(m, random))
			continue
		}
		edits = append(edits, tree.Edit{Path: d.sim.modelPath(m), Remove: true})
		removed = append(removed, m)
	}
	if len(edits) == 0 || !d.editModels(edits, random) {
		return
	}
	d.sim.countFault(FaultsModelList)
	for _, m := range removed {
		d.retire(m, random)
	}
	if random.Float64() < takeoverShare {
		d.killOwner(service)
	}
}

// pickModels returns listed models of a service, those that engines load first, then those that they hold.
func (d *distributedPlane) pickModels(service int, random *rand.Rand) []*model {
	var loading, held, others []*model
	for _, m := range d.sim.models {
		if m.service != service || d.sim.listChanges.retired[m.index] || m.base >= 0 && d.sim.listChanges.retired[m.base] {
			continue
		}
		switch anywhere, loads := d.sim.holds(m); {
		case loads:
			loading = append(loading, m)
		case anywhere:
			held = append(held, m)
		default:
			others = append(others, m)
		}
	}
	random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	picked := append(append(loading, held...), others...)
	picked = picked[:min(len(picked), 1+random.IntN(mostModelsChanged))]
	return withoutAdaptersOf(picked)
}

// withoutAdaptersOf drops the adapters whose bases are picked as well, since a base is retired with its adapters.
func withoutAdaptersOf(picked []*model) []*model {
	bases := make(map[int]bool)
	for _, m := range picked {
		bases[m.index] = true
	}
	var kept []*model
	for _, m := range picked {
		if m.base < 0 || !bases[m.base] {
			kept = append(kept, m)
		}
	}
	return kept
}

// holds reports whether an engine holds a model in any state, and whether one is loading it.
func (sim *simulation) holds(m *model) (anywhere, loading bool) {
	for _, e := range sim.engines {
		if it := e.items[m.index]; it != nil {
			anywhere = true
			loading = loading || it.state == engine.ItemLoading
		}
	}
	return anywhere, loading
}

// modelPath returns the path of a model or adapter in the tree.
func (sim *simulation) modelPath(m *model) tree.Path {
	if m.base >= 0 {
		base := sim.models[m.base]
		return sim.modelPath(base).Child(string(m.name[len(base.name)+1:]))
	}
	return tree.RootPath.Child(sim.scenario.Services[m.service].Name).Child("all").Child(string(m.name))
}

// resize returns the edit by which a model has another size, and counts it.
func (d *distributedPlane) resize(m *model, random *rand.Rand) tree.Edit {
	changes := &d.sim.listChanges
	switch held, loading := d.sim.holds(m); {
	case loading:
		changes.resizedLoading++
	case held:
		changes.resizedHeld++
	}
	return d.sim.sizeEdit(m, otherSize(m, random))
}

// otherSize returns another size for the weights of a model.
func otherSize(m *model, random *rand.Rand) uint64 {
	return uint64(float64(m.weightBytes) * (leastSize + random.Float64()*(largestSize-leastSize)))
}

// sizeEdit returns the edit that sets the size of a model's weights; it lists a model that is not listed.
func (sim *simulation) sizeEdit(m *model, bytes uint64) tree.Edit {
	return tree.Edit{Path: sim.modelPath(m), Key: "memory", Value: units.FormatBytes(bytes)}
}

// retire notes that a model and its adapters are no longer listed, and lists them again later.
func (d *distributedPlane) retire(m *model, random *rand.Rand) {
	changes := &d.sim.listChanges
	switch held, loading := d.sim.holds(m); {
	case loading:
		changes.retiredLoading++
	case held:
		changes.retiredHeld++
	}
	if m.base >= 0 {
		changes.adapters++
	}
	if changes.retired == nil {
		changes.retired = make(map[int]bool)
	}
	changes.retired[m.index] = true
	pause := minRetiredTime + time.Duration(random.Float64()*random.Float64()*float64(maxRetiredTime-minRetiredTime))
	d.sim.clock.after(pause, func() { d.relist(m, random) })
}

// relist lists a retired model again, with its adapters, in some cases with another size.
func (d *distributedPlane) relist(m *model, random *rand.Rand) {
	if d.sim.ended {
		return
	}
	if m.base >= 0 && d.sim.listChanges.retired[m.base] {
		d.sim.clock.after(relistRetry, func() { d.relist(m, random) })
		return
	}
	bytes := m.weightBytes
	if random.Float64() < otherSizeShare {
		bytes = otherSize(m, random)
	}
	if !d.editModels(d.sim.listing(m, bytes), random) {
		d.sim.clock.after(relistRetry, func() { d.relist(m, random) })
		return
	}
	changes := &d.sim.listChanges
	delete(changes.retired, m.index)
	changes.relisted++
	if held, _ := d.sim.holds(m); held && bytes != m.weightBytes {
		changes.relistedHeld++
	}
}

// listing returns the edits that list a model and its adapters. Adapters that were retired alone stay retired.
func (sim *simulation) listing(m *model, bytes uint64) []tree.Edit {
	edits := []tree.Edit{
		sim.sizeEdit(m, bytes),
		{Path: sim.modelPath(m), Key: "load_time", Value: m.settings.LoadTime.String()},
	}
	if m.base < 0 {
		edits = append(edits, tree.Edit{Path: sim.modelPath(m), Key: "kv_memory", Value: units.FormatBytes(m.settings.KVBytes)})
	}
	for _, index := range m.adapters {
		if adapter := sim.models[index]; !sim.listChanges.retired[index] {
			edits = append(edits, sim.listing(adapter, adapter.weightBytes)...)
		}
	}
	return edits
}

// editModels changes the settings at a random node, and reports whether the store took the change.
func (d *distributedPlane) editModels(edits []tree.Edit, random *rand.Rand) bool {
	author := d.processes[random.IntN(len(d.processes))]
	if d.platform.down || !author.node.alive || author.node.frozen {
		return false
	}
	settings, err := d.platform.accept(tree.Change{Author: string(author.node.id), At: d.sim.clock.now(), Edits: edits})
	if err != nil {
		panic(err) // can't happen: the edits are valid
	}
	author.schedule(d.platform.delay(), func() { author.applyTree(settings) })
	return true
}

// killOwner kills the node that owns the cell of a service; it restarts a little later.
func (d *distributedPlane) killOwner(service int) {
	cell := api.MakeCellName(d.sim.scenario.Services[service].Name, d.sim.scenario.Region)
	for _, p := range d.processes {
		if p.node.alive && p.owns(cell) {
			d.sim.listChanges.takeovers++
			p.node.kill()
			d.sim.clock.after(restartTime, p.node.restart)
			return
		}
	}
}

// owns reports whether the process takes itself for the owner of a cell.
func (p *process) owns(cell api.CellName) bool {
	for _, status := range p.machine.Status().Cells {
		if status.Cell == cell && status.Role == control.RoleOwner {
			return true
		}
	}
	return false
}
