package node

import (
	"sync"
	"sync/atomic"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// view is the newest state of the cells and settings, as the router reads it. It
// implements traffic.Control. The control loop writes it, and readers never wait for
// the loop.
type view struct {
	trees     *tree.Holder
	directory atomic.Pointer[traffic.Directory]
	estimates sync.Map // api.ModelName -> api.LoadEstimate

	changeMutex sync.Mutex
	changed     chan struct{}

	demandMutex sync.Mutex
	demand      map[api.ModelName]api.ModelDemand
	demandReady chan struct{} // holds a token when demand was reported
}

func newView(trees *tree.Holder) *view {
	v := &view{
		trees:       trees,
		changed:     make(chan struct{}),
		demand:      make(map[api.ModelName]api.ModelDemand),
		demandReady: make(chan struct{}, 1),
	}
	v.directory.Store(buildDirectory(nil))
	return v
}

// Tree returns the settings in force and their revision.
func (v *view) Tree() (*tree.Tree, tree.Revision) {
	current := v.trees.Current()
	return current, current.Revision()
}

// Directory returns the newest view of the cells. It is never nil.
func (v *view) Directory() *traffic.Directory {
	return v.directory.Load()
}

// Changed returns a channel that is closed on the next change.
func (v *view) Changed() <-chan struct{} {
	v.changeMutex.Lock()
	defer v.changeMutex.Unlock()
	return v.changed
}

// Estimate returns the owner's last estimate for a model that is not ready, and false
// if there is none.
func (v *view) Estimate(model api.ModelName) (api.LoadEstimate, bool) {
	estimate, ok := v.estimates.Load(model)
	if !ok {
		return api.LoadEstimate{}, false
	}
	return estimate.(api.LoadEstimate), true
}

// Report merges demand into the demand that the control loop takes next.
func (v *view) Report(demand api.ModelDemand) {
	v.demandMutex.Lock()
	v.demand[demand.Model] = mergeDemand(v.demand[demand.Model], demand)
	v.demandMutex.Unlock()
	select {
	case v.demandReady <- struct{}{}:
	default:
	}
}

// takeDemand returns the demand reported since the last call.
func (v *view) takeDemand() map[api.ModelName]api.ModelDemand {
	v.demandMutex.Lock()
	defer v.demandMutex.Unlock()
	taken := v.demand
	v.demand = make(map[api.ModelName]api.ModelDemand)
	return taken
}

// publishView stores a view of a cell, if it is newer, and notifies the readers.
func (v *view) publishView(cell api.CellView) {
	old := v.directory.Load()
	if known, ok := old.Cells[cell.Cell]; ok && !cell.NewerThan(known) {
		return
	}
	cells := make(map[api.CellName]api.CellView, len(old.Cells)+1)
	for name, known := range old.Cells {
		cells[name] = known
	}
	cells[cell.Cell] = cell
	v.directory.Store(buildDirectory(cells))
	for _, replica := range cell.Replicas {
		if replica.State == api.ReplicaReady {
			v.estimates.Delete(replica.Model)
		}
	}
	v.notify()
}

// publishEstimate stores an owner's estimate and notifies the readers.
func (v *view) publishEstimate(estimate api.LoadEstimate) {
	v.estimates.Store(estimate.Model, estimate)
	v.notify()
}

// notify closes the channel of Changed and creates a new one.
func (v *view) notify() {
	v.changeMutex.Lock()
	defer v.changeMutex.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
}

// mergeDemand merges two demands for the same model. Arrivals are added up, and
// gauges are those of the later demand.
func mergeDemand(earlier, later api.ModelDemand) api.ModelDemand {
	later.Arrivals += earlier.Arrivals
	if earlier.LastArrival.After(later.LastArrival) {
		later.LastArrival = earlier.LastArrival
	}
	return later
}

// buildDirectory indexes the cells by model and server.
func buildDirectory(cells map[api.CellName]api.CellView) *traffic.Directory {
	directory := &traffic.Directory{
		Cells:    cells,
		Replicas: make(map[api.ModelName][]api.Replica),
		Servers:  make(map[api.ServerID]api.ServerView),
	}
	for _, cell := range cells {
		for _, server := range cell.Servers {
			directory.Servers[server.ID] = server
		}
		for _, replica := range cell.Replicas {
			directory.Replicas[replica.Model] = append(directory.Replicas[replica.Model], replica)
		}
	}
	return directory
}
