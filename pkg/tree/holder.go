package tree

import (
	"sync"
	"sync/atomic"
)

// Holder holds the tree that is in force in a process. Its revision is a floor:
// it only rises. Safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Tree]

	mutex   sync.Mutex    // held by writers
	changed chan struct{} // closed and replaced at each change
	recent  []Change      // the last changes without a gap, ending at current
}

// NewHolder returns a holder of the initial tree.
func NewHolder(initial *Tree) *Holder {
	holder := &Holder{changed: make(chan struct{})}
	holder.current.Store(initial)
	return holder
}

// Current returns the tree in force. A later call never returns a lower
// revision.
func (h *Holder) Current() *Tree {
	return h.current.Load()
}

// Changed returns a channel that is closed when the tree next changes. To miss
// nothing, get the channel before the current tree.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// Offer puts tree in force if its revision is higher than the current one's,
// and tells whether it did.
func (h *Holder) Offer(tree *Tree) bool {
	return h.offer(tree, nil)
}

// Receive puts in force what a peer answered, and tells whether the tree
// changed. An answer that does not fit is an error and changes nothing.
func (h *Holder) Receive(answer FetchAnswer) (bool, error) {
	tree, err := ApplyAnswer(h.Current(), answer)
	if err != nil {
		return false, err
	}
	return h.offer(tree, answer.Changes), nil
}

// Answer answers a peer from the tree in force and the recent changes.
func (h *Holder) Answer(request FetchRequest) FetchAnswer {
	h.mutex.Lock()
	current, recent := h.current.Load(), h.recent
	h.mutex.Unlock()
	return Answer(current, recent, request)
}

// offer is Offer with the changes, if known, that lead to tree.
func (h *Holder) offer(tree *Tree, changes []Change) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	current := h.current.Load()
	if tree.Revision() <= current.Revision() {
		return false
	}
	h.remember(current.Revision(), tree.Revision(), changes)
	h.current.Store(tree)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// remember keeps the changes from one revision to another, and forgets the
// older ones if they don't join.
func (h *Holder) remember(from, to Revision, changes []Change) {
	for len(changes) > 0 && changes[0].Revision <= from {
		changes = changes[1:]
	}
	if !joins(from, to, changes) {
		h.recent = nil
		return
	}
	joined := append(h.recent, changes...) // beyond what readers of h.recent see
	h.recent = joined[max(0, len(joined)-maxAnswerChanges):]
}
