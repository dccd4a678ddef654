package coordinator

import (
	"cmp"
	"slices"
	"time"
)

// roster is the nodes that beat, as the holder knows them, with their changes. It belongs to the
// holder's goroutine.
type roster struct {
	number uint64 // counts the changes
	gone   []goneNode
	since  uint64 // changes up to this one are not known one by one
}

// goneNode is a node that went.
type goneNode struct {
	name   string
	number uint64 // of the change
}

// maxGone bounds the nodes that went of which the holder knows: those of some restarts of a large
// site. Nodes that know an older list are told of all.
const maxGone = 1024

// begin starts a term. The count goes on: lists of nodes are told apart by it.
func (r *roster) begin() {
	r.gone, r.since = nil, r.number
}

// change counts a change and returns its number.
func (r *roster) change() uint64 {
	r.number++
	return r.number
}

// went notes a node that went.
func (r *roster) went(name string) {
	r.gone = append(r.gone, goneNode{name, r.change()})
	if extra := len(r.gone) - maxGone; extra > 0 {
		r.since = r.gone[extra-1].number
		r.gone = slices.Delete(r.gone, 0, extra)
	}
}

// tellNodes has an answer tell of the nodes: of those that changed since the beat's list, if it is of
// this term, or of all. On a site of 302 nodes whose nodes come and go each beat was answered with
// 25.6 kB, 0.24 ms to make, and the holder of a loss of all nodes, at 3.7 MB a second, answered most
// beats too late: its nodes never learned of each other. With one node that starts again each second it
// is 2.2 kB and 0.05 ms now (BenchmarkBeatsOfALargeFleet).
func (h *Holder) tellNodes(b *Beat, answer *BeatAnswer) {
	if b.Knows == answer.Version {
		return
	}
	answer.Partial = b.Partial && b.Knows.Term == h.term && b.Knows.Number >= h.roster.since
	var told []*nodeState
	for _, other := range h.nodes {
		if !answer.Partial || other.changed > b.Knows.Number {
			told = append(told, other)
		}
	}
	if b.Paged && len(told) > mostNodesTold {
		slices.SortFunc(told, func(a, b *nodeState) int { return cmp.Compare(a.changed, b.changed) })
		told = told[:mostNodesTold]
		answer.Version.Number, answer.More = told[mostNodesTold-1].changed, true
	}
	for _, other := range told {
		answer.Nodes = append(answer.Nodes, other.node)
	}
	if !answer.Partial {
		return
	}
	for _, gone := range h.roster.gone {
		if gone.number > b.Knows.Number && h.nodes[gone.name] == nil {
			answer.Gone = append(answer.Gone, gone.name)
		}
	}
}

// mostNodesTold is how many nodes one answer tells of, some 20 kB: the answer has beatTimeout to come,
// over any link and however many nodes there are.
const mostNodesTold = 256

// takeNodes takes in what an answer tells of the nodes. A list that comes in several answers counts
// once it is whole: who watches and who relays follows from all nodes.
func (m *Member) takeNodes(answer *BeatAnswer) {
	nodes := answer.Nodes
	switch {
	case answer.Partial && m.listing != nil:
		nodes = changedNodes(m.listing, answer)
	case answer.Partial:
		nodes = changedNodes(m.Nodes(), answer)
	case len(answer.Nodes) == 0:
		return // as known
	}
	m.version = answer.Version
	if answer.More && (!answer.Partial || m.listing != nil) {
		m.listing = nodes
		return
	}
	m.listing = nil
	m.nodes.Store(&nodes)
}

// changedNodes returns nodes with what an answer tells that changed among them.
func changedNodes(known []Node, answer *BeatAnswer) []Node {
	moved := make(map[string]bool, len(answer.Gone)+len(answer.Nodes))
	for _, name := range answer.Gone {
		moved[name] = true
	}
	for i := range answer.Nodes {
		moved[answer.Nodes[i].Name] = true
	}
	nodes := slices.DeleteFunc(slices.Clone(known), func(n Node) bool { return moved[n.Name] })
	return append(nodes, answer.Nodes...)
}

// stallTime is how long the holder may leave its nodes' beats alone: some ticks. It counts no longer
// time as their silence: a holder that planned for over three seconds, or had no processor, took all
// nodes for silent before it looked at their beats, and told all nodes of all nodes anew.
const stallTime = 3 * tickInterval

// forgiveStall takes the time in which the holder did not look at beats out of the nodes' silence.
func (h *Holder) forgiveStall(now time.Time) {
	if stalled := now.Sub(h.expiredAt); stalled > stallTime {
		h.Logger.Warn("holder stalled", "ms", stalled.Milliseconds(), "nodes", len(h.nodes), "term", h.term)
		for _, n := range h.nodes {
			n.seen = n.seen.Add(stalled)
		}
	}
	h.expiredAt = now
}
