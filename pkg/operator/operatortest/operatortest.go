// Package operatortest provides a settings tree in memory for tests of the operators'
// API and of its clients.
package operatortest

import (
	"context"
	"sync"

	"martenwheel.dev/pkg/tree"
)

// Trees implements operator.Trees without a table service. It is safe for concurrent
// use.
type Trees struct {
	mutex   sync.Mutex
	history []tree.Change // oldest first
	trees   []*tree.Tree  // indexed by revision
	fail    error         // returned by commits and reads of older revisions, unless nil
}

// NewTrees returns a tree at revision 0.
func NewTrees(initial *tree.Tree) *Trees {
	return &Trees{trees: []*tree.Tree{initial.WithRevision(0)}}
}

// Fail makes all commits and all reads of the history and of older revisions fail
// with err, until it is called with nil.
func (t *Trees) Fail(err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fail = err
}

// Current returns the newest tree.
func (t *Trees) Current() *tree.Tree {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.trees[len(t.trees)-1]
}

// Commit applies a change to the newest tree.
func (t *Trees) Commit(_ context.Context, change tree.Change) (tree.Revision, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fail != nil {
		return 0, t.fail
	}
	next, err := t.trees[len(t.trees)-1].Apply(change)
	if err != nil {
		return 0, err
	}
	change.Revision = next.Revision()
	t.history = append(t.history, change)
	t.trees = append(t.trees, next)
	return change.Revision, nil
}

// History returns the last n changes, newest first.
func (t *Trees) History(_ context.Context, n int) ([]tree.Change, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fail != nil {
		return nil, t.fail
	}
	changes := make([]tree.Change, 0, n)
	for index := len(t.history) - 1; index >= 0 && len(changes) < n; index-- {
		changes = append(changes, t.history[index])
	}
	return changes, nil
}

// At returns the tree at a revision.
func (t *Trees) At(_ context.Context, revision tree.Revision) (*tree.Tree, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.fail != nil {
		return nil, t.fail
	}
	return t.trees[revision], nil
}
