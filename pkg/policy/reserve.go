package policy

import "fmt"

// useReservations goes on with what earlier decisions made room for: it loads a model
// where its memory is free by now, and else keeps the memory for it. A reservation
// whose model is not wanted any more, or whose memory does not come free, lapses.
func (p *plan) useReservations() {
	for i := range p.servers {
		server := &p.servers[i]
		if server.Reserved == "" || !server.Reachable || server.Leaving {
			continue
		}
		index := p.indexOf(server.Reserved)
		if index < 0 {
			continue
		}
		model := &p.input.Models[index]
		need := ReplicaBytes(model)
		if p.present[index] >= wantedReplicas(model) || p.holdsOn(model, server) || server.free+server.freeSoon < need {
			continue
		}
		if server.free >= need {
			p.load(model, server, model.Demand.Waiting > 0, fmt.Sprintf("%d waiting", model.Demand.Waiting))
			server.reserved = model.Name
			continue
		}
		p.reserve(model, server, need)
	}
}

// reserve keeps a server for a model, which counts as present from now on.
func (p *plan) reserve(model *Model, server *serverPlan, need uint64) {
	if p.tierOn(model, server) == tierRemote {
		p.slots--
	}
	p.claim(server, need)
	server.reserved = model.Name
	server.busyFor = evictionSeconds + model.loadTime(p.tierOn(model, server)).Seconds()
	p.present[p.indexOf(model.Name)]++
}
