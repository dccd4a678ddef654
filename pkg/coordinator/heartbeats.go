package coordinator

import "time"

// nodeState is what the holder knows of a node that sends heartbeats.
type nodeState struct {
	node Node
	seen time.Time
	// changed is the number of the roster's change in which the node joined or last changed.
	changed uint64
	uses    map[demandKey]Use
}

// handleHeartbeat handles a node's heartbeat.
func (h *Holder) handleHeartbeat(now time.Time, b Beat) BeatAnswer {
	if !h.ensureTerm() {
		return BeatAnswer{}
	}
	first := h.nodes[b.Node.Name] == nil
	n := h.noteNode(now, b.Node)
	for _, u := range b.Uses {
		key := demandKey{u.Service, u.Model}
		n.uses[key] = u
		h.interest.note(now, key, b.Node.Name)
		if u.Arrivals > 0 || u.Rate > 0 {
			d := h.demandFor(key)
			d.rate.add(now, arrivals{u.Arrivals, u.Weight})
			d.rate.count.addRate(now, u.Rate)
			d.rate.weight.addRate(now, u.WeightedRate)
			d.lastArrival = now
		}
	}
	h.fleet.observe(now, len(h.nodes))
	h.countHeartbeats(now)
	h.store.adopt(now, b.Store)
	if now.Before(h.scarceUntil) {
		h.planSoon = true // a replica that became idle may be replaced
	}
	answer := BeatAnswer{Version: NodesVersion{h.term, h.roster.number}, Scarce: now.Before(h.scarceUntil),
		Store: h.store.export(h.term), Fleet: h.fleet.known()}
	answer.Evidence = h.exchangeEvidence(now, b.Evidence)
	answer.Crowded = h.applyPlaces(now, b)
	h.exchangeSpeeds(now, &b, &answer)
	h.exchangeAnnouncements(now, &b, &answer)
	answer.ScarceTenants = h.handleSpent(now, spendReport{spent: b.Spent, first: first, balances: b.QuotasLeft, at: now})
	if h.Clock != nil {
		answer.StoreClock, _ = h.Clock.Latest()
	}
	if table := h.Routes(); table != nil {
		answer.Configuration = table.Version()
	}
	answer.SoleAsOf = h.soleAsOf()
	answer.Sole, _ = h.SoleVersions(h.term)
	h.addNodeChanges(&b, &answer)
	return answer
}

// noteNode records a node's heartbeat and returns the node's state, in which uses are still empty. The state of a later
// incarnation of the node is left as it is.
func (h *Holder) noteNode(now time.Time, node Node) *nodeState {
	n := h.nodes[node.Name]
	if n != nil && n.node.Life > node.Life {
		return n
	}
	if n == nil || n.node.Life != node.Life {
		h.Logger.Info("node joined", "name", node.Name, "zone", node.Zone, "life", node.Life)
	}
	changed := uint64(0)
	if n == nil || n.node != node {
		changed = h.roster.change()
	} else {
		changed = n.changed
	}
	if n != nil && n.node.Life != node.Life {
		h.places.model.NodeGone(placeNodeID(n.node))
	}
	n = &nodeState{node: node, seen: now, changed: changed, uses: make(map[demandKey]Use)}
	h.nodes[node.Name] = n
	return n
}

// lendRetry permits a retry if the shared budget allows it.
func (h *Holder) lendRetry(now time.Time, b Borrow) BorrowAnswer {
	if !h.ensureTerm() {
		return BorrowAnswer{}
	}
	return BorrowAnswer{Term: h.term, Lent: h.retryPool.Lend(now, b.Service)}
}

// expire drops silent nodes and expired demand.
func (h *Holder) expire(now time.Time) {
	h.discountStall(now)
	for name, n := range h.nodes {
		if now.Sub(n.seen) > nodeExpiry {
			h.Logger.Warn("node silent", "name", name, "zone", n.node.Zone, "life", n.node.Life)
			delete(h.nodes, name)
			h.places.model.NodeGone(placeNodeID(n.node))
			h.roster.depart(name)
		}
	}
	h.speeds.expire(now)
	h.expireBeliefs(now)
	h.interest.sweep(now)
	for key, d := range h.demands {
		if !d.waits(now) && d.rate.count.at(now) < minRate && now.Sub(d.lastArrival) > time.Minute {
			delete(h.demands, key)
		}
	}
}
