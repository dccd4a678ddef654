package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// roster counts the changes of the list of nodes that send heartbeats. It belongs to the goroutine of Run.
type roster struct {
	number        uint64 // number of the last change
	departed      []departedNode
	discardedUpTo uint64 // departures up to this change are no longer kept
}

// departedNode is a node that left the list.
type departedNode struct {
	name   string
	number uint64 // number of the change
}

// maxDeparted bounds the departed nodes that are kept: enough for several restarts of all nodes of a large site. Nodes
// with an older list are sent the whole list.
const maxDeparted = 1024

// begin starts a term. The count goes on, as it identifies states of the list.
func (r *roster) begin() {
	r.departed, r.discardedUpTo = nil, r.number
}

// change counts a change and returns its number.
func (r *roster) change() uint64 {
	r.number++
	return r.number
}

// depart records that a node left.
func (r *roster) depart(name string) {
	r.departed = append(r.departed, departedNode{name, r.change()})
	if extra := len(r.departed) - maxDeparted; extra > 0 {
		r.discardedUpTo = r.departed[extra-1].number
		r.departed = slices.Delete(r.departed, 0, extra)
	}
}

// addNodeChanges adds the list of nodes to an answer: only the changes after the version in the heartbeat, if that is of
// this term, or all nodes. With whole lists, 302 nodes that come and go get 25.6 kB per heartbeat, which takes 0.24 ms
// to make; after a loss of all nodes the holder, at 3.7 MB per second, answers most heartbeats too late, and the nodes
// never learn of each other. With changes, and one node that restarts per second, it is 2.2 kB and 0.05 ms
// (BenchmarkHeartbeatsOfALargeFleet).
func (h *Holder) addNodeChanges(b *Beat, answer *BeatAnswer) {
	if b.Knows == answer.Version {
		return
	}
	answer.Partial = b.Partial && b.Knows.Term == h.term && b.Knows.Number >= h.roster.discardedUpTo
	var changed []*nodeState
	for _, other := range h.nodes {
		if !answer.Partial || other.changed > b.Knows.Number {
			changed = append(changed, other)
		}
	}
	if b.Paged && len(changed) > maxNodesPerAnswer {
		slices.SortFunc(changed, func(a, b *nodeState) int { return cmp.Compare(a.changed, b.changed) })
		changed = changed[:maxNodesPerAnswer]
		answer.Version.Number, answer.More = changed[maxNodesPerAnswer-1].changed, true
	}
	for _, other := range changed {
		answer.Nodes = append(answer.Nodes, other.node)
	}
	if !answer.Partial {
		return
	}
	for _, gone := range h.roster.departed {
		if gone.number > b.Knows.Number && h.nodes[gone.name] == nil {
			answer.Gone = append(answer.Gone, gone.name)
		}
	}
}

// maxNodesPerAnswer is how many nodes one answer lists, some 20 kB: the answer has to arrive within heartbeatTimeout over
// any link, however many nodes there are.
const maxNodesPerAnswer = 256

// applyNodes applies the list of nodes in an answer. A list in several answers is used only when it is complete: each
// node derives from the whole list which nodes watch the store and which relay its changes.
func (m *Member) applyNodes(answer *BeatAnswer) {
	nodes := answer.Nodes
	switch {
	case answer.Partial && m.partialNodes != nil:
		nodes = changedNodes(m.partialNodes, answer)
	case answer.Partial:
		nodes = changedNodes(m.Nodes(), answer)
	case len(answer.Nodes) == 0:
		return // unchanged
	}
	m.version = answer.Version
	if answer.More && (!answer.Partial || m.partialNodes != nil) {
		m.partialNodes = nodes
		return
	}
	m.partialNodes = nil
	m.nodes.Store(&nodes)
}

// changedNodes returns the known nodes updated by the changes in an answer.
func changedNodes(known []Node, answer *BeatAnswer) []Node {
	changed := make(map[string]bool, len(answer.Gone)+len(answer.Nodes))
	for _, name := range answer.Gone {
		changed[name] = true
	}
	for i := range answer.Nodes {
		changed[answer.Nodes[i].Name] = true
	}
	nodes := slices.DeleteFunc(slices.Clone(known), func(n Node) bool { return changed[n.Name] })
	return append(nodes, answer.Nodes...)
}

// maxStall is how long the holder may process no heartbeats, some ticks. Longer times are not counted as silence of the
// nodes: otherwise a holder that plans for over three seconds, or gets no processor time, takes all nodes for silent
// before it reads their heartbeats, and sends the whole list to all of them.
const maxStall = 3 * tickInterval

// discountStall removes the time in which the holder processed no heartbeats from the nodes' silence.
func (h *Holder) discountStall(now time.Time) {
	if stalled := now.Sub(h.lastExpiry); stalled > maxStall {
		h.Logger.Warn("holder stalled", "ms", stalled.Milliseconds(), "nodes", len(h.nodes), "term", h.term)
		for _, n := range h.nodes {
			n.seen = n.seen.Add(stalled)
		}
	}
	h.lastExpiry = now
}
