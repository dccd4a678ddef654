package control

import (
	"sort"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
)

// ViewDelta is a peer message with the changes to a cell's view since version
// Base of the same term. A node that does not have version Base requests the
// whole view.
type ViewDelta struct {
	Cell            api.CellName
	Term            uint64
	Base            uint64           // version of the view that the delta applies to
	Version         uint64           // version of the view after the delta
	Servers         []api.ServerView // new or changed servers
	RemovedServers  []api.ServerID
	Replicas        []api.Replica // new or changed replicas
	RemovedReplicas []ReplicaKey
}

// ReplicaKey identifies a replica: a server holds a model at most once.
type ReplicaKey struct {
	Server api.ServerID
	Model  api.ModelName
}

func keyOf(replica api.Replica) ReplicaKey {
	return ReplicaKey{Server: replica.Server, Model: replica.Model}
}

func idOf(server api.ServerView) api.ServerID {
	return server.ID
}

// makeDelta returns the change from one view to the next. It returns false if
// term or configuration differ, since a delta cannot express that.
func makeDelta(from, to api.CellView) (ViewDelta, bool) {
	if from.Term != to.Term || from.ConfigVersion != to.ConfigVersion {
		return ViewDelta{}, false
	}
	delta := ViewDelta{Cell: to.Cell, Term: to.Term, Base: from.Version, Version: to.Version}
	delta.Servers, delta.RemovedServers = difference(from.Servers, to.Servers, idOf)
	delta.Replicas, delta.RemovedReplicas = difference(from.Replicas, to.Replicas, keyOf)
	return delta, true
}

// difference returns the values of to that are new or changed compared with from,
// and the keys of from that are missing in to.
func difference[K, V comparable](from, to []V, key func(V) K) (changed []V, removed []K) {
	old := make(map[K]V, len(from))
	for _, value := range from {
		old[key(value)] = value
	}
	for _, value := range to {
		if known, present := old[key(value)]; !present || known != value {
			changed = append(changed, value)
		}
		delete(old, key(value))
	}
	for _, value := range from {
		if _, gone := old[key(value)]; gone {
			removed = append(removed, key(value))
		}
	}
	return changed, removed
}

// apply returns the view after the delta. The given view must be the delta's
// base.
func (d ViewDelta) apply(view api.CellView) api.CellView {
	view.Version = d.Version
	view.Servers = merge(view.Servers, d.Servers, d.RemovedServers, idOf)
	view.Replicas = merge(view.Replicas, d.Replicas, d.RemovedReplicas, keyOf)
	sort.Slice(view.Servers, func(i, j int) bool { return view.Servers[i].ID < view.Servers[j].ID })
	sort.Slice(view.Replicas, func(i, j int) bool {
		a, b := view.Replicas[i], view.Replicas[j]
		if a.Server != b.Server {
			return a.Server < b.Server
		}
		return a.Model < b.Model
	})
	return view
}

// merge returns a copy of values with changed values replaced or added and
// removed ones left out.
func merge[K, V comparable](values, changed []V, removed []K, key func(V) K) []V {
	replaced := make(map[K]bool, len(changed)+len(removed))
	for _, value := range changed {
		replaced[key(value)] = true
	}
	for _, gone := range removed {
		replaced[gone] = true
	}
	merged := make([]V, 0, len(values)+len(changed))
	for _, value := range values {
		if !replaced[key(value)] {
			merged = append(merged, value)
		}
	}
	return append(merged, changed...)
}

// handleDelta applies a delta to its base view, or requests the whole view from
// the sender if this node lacks the base and the delta is newer.
func (m *Machine) handleDelta(from api.NodeRef, delta ViewDelta) {
	c := m.ensureCell(delta.Cell)
	c.group.Supersede(quorum.Epoch(delta.Term))
	if delta.Term == c.view.Term && delta.Base == c.view.Version {
		m.handleView(delta.apply(c.view))
		return
	}
	if (api.CellView{Term: delta.Term, Version: delta.Version}).NewerThan(c.view) {
		m.send(from, ViewRequest{Cell: delta.Cell})
	}
}
