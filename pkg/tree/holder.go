package tree

import (
	"sync"
	"sync/atomic"
)

// Holder holds the active tree of a process. The revision of the tree never decreases. Safe for concurrent
// use.
type Holder struct {
	current atomic.Pointer[Tree]

	mutex   sync.Mutex    // guards changed and recent, and serializes writes of current
	changed chan struct{} // closed and replaced at each change
	recent  []Change      // latest changes without a gap, ending at current
}

// NewHolder returns a holder with an initial tree.
func NewHolder(initial *Tree) *Holder {
	holder := &Holder{changed: make(chan struct{})}
	holder.current.Store(initial)
	return holder
}

// Current returns the active tree. A later call never returns a lower revision.
func (h *Holder) Current() *Tree {
	return h.current.Load()
}

// Changed returns a channel that is closed at the next change of the tree. Callers that must not miss a
// change get the channel before the current tree.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changed
}

// Offer activates tree if its revision is higher than the current one, and reports whether it did.
func (h *Holder) Offer(tree *Tree) bool {
	return h.offer(tree, nil)
}

// Receive applies a peer's answer and reports whether the tree changed. An answer that is inconsistent with
// the tree is an error and changes nothing.
func (h *Holder) Receive(answer FetchAnswer) (bool, error) {
	tree, err := ApplyAnswer(h.Current(), answer)
	if err != nil {
		return false, err
	}
	return h.offer(tree, answer.Changes), nil
}

// Answer answers a peer's request from the active tree and the recent changes.
func (h *Holder) Answer(request FetchRequest) FetchAnswer {
	h.mutex.Lock()
	current, recent := h.current.Load(), h.recent
	h.mutex.Unlock()
	return Answer(current, recent, request)
}

// offer implements Offer. changes are those that lead to tree, if known.
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

// remember appends the changes from one revision to another to the recent changes. It clears the recent
// changes if the new ones leave a gap.
func (h *Holder) remember(from, to Revision, changes []Change) {
	for len(changes) > 0 && changes[0].Revision <= from {
		changes = changes[1:]
	}
	if !isContiguous(from, to, changes) {
		h.recent = nil
		return
	}
	joined := append(h.recent, changes...) // readers of h.recent don't see the appended elements
	h.recent = joined[max(0, len(joined)-maxAnswerChanges):]
}
