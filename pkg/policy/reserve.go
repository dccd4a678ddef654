package policy

import "fmt"

// useReservations continues the reservations of earlier decisions: it loads the model
// if the reserved memory is free by now, and otherwise keeps the reservation. A
// reservation lapses if its model is no longer needed or if not enough memory is being
// freed.
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

// reserve reserves memory of a server for a model. The model counts as present there
// for the rest of the decision.
func (p *plan) reserve(model *Model, server *serverPlan, need uint64) {
	if p.tierOn(model, server) == tierRemote {
		p.slots--
	}
	p.claim(server, need)
	server.reserved = model.Name
	server.busyFor = evictionSeconds + model.loadTime(p.tierOn(model, server)).Seconds()
	p.present[p.indexOf(model.Name)]++
}
