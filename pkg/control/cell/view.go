package cell

import (
	"martenwheel.dev/pkg/api"
)

// TakeView returns the view for routers, and false if it has not changed since
// the last call. The caller adds the members of the group.
func (o *Owner) TakeView() (api.CellView, bool) {
	if !o.viewChanged {
		return api.CellView{}, false
	}
	o.viewChanged = false
	o.version++
	view := api.CellView{Cell: o.config.Cell, Term: o.start.Term, Version: o.version, Leader: o.config.Self}
	for _, s := range o.sortedServers() {
		if s.admitted || s.listLeaving {
			view.Servers = append(view.Servers, o.serverView(s))
		}
	}
	for _, r := range o.replicas.sorted(anyReplica) {
		view.Replicas = append(view.Replicas, r.view())
	}
	return view, true
}

// MarkChanged makes TakeView return a view even if the cell has not changed.
func (o *Owner) MarkChanged() {
	o.viewChanged = true
}

func (o *Owner) serverView(s *server) api.ServerView {
	return api.ServerView{
		ID: s.ID, Address: s.Address, Zone: s.Zone,
		CapacityBytes: s.capacityBytes(), ReservedBytes: min(o.reserved[s.ID], s.capacityBytes()),
		Leaving: s.leaving(), Reachable: s.reachable,
	}
}

func (r *replica) view() api.Replica {
	shown := api.Replica{Model: r.intent.Model, Base: r.intent.Base, Server: r.intent.Server, State: r.state()}
	if shown.State == api.ReplicaLoading {
		shown.ReadyBy = r.readyBy
	}
	return shown
}
