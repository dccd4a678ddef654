package cell

import (
	"martenwheel.dev/pkg/api"
)

// TakeView returns the view for routers, and false if nothing has changed since
// it was last taken. The members of the group are left to the caller.
func (o *Owner) TakeView() (api.CellView, bool) {
	if !o.changed {
		return api.CellView{}, false
	}
	o.changed = false
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

// MarkChanged makes TakeView return a view although the cell did not change.
func (o *Owner) MarkChanged() {
	o.changed = true
}

func (o *Owner) serverView(s *server) api.ServerView {
	return api.ServerView{
		ID: s.ID, Address: s.Address, Zone: s.Zone,
		CapacityBytes: s.capacityBytes(), ReservedBytes: o.reserved[s.ID],
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
