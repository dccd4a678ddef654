package tree

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Source is something that a process can ask for the newest tree: the Store or
// another node.
type Source interface {
	Fetch(ctx context.Context, request FetchRequest) (FetchAnswer, error)
}

// ErrNoSource means that no source answered.
var ErrNoSource = errors.New("tree: neither the table service nor a peer answered")

// Newest asks the store and the peers at once and returns the tree with the
// highest revision. A fresh process starts from it. One answer is enough: the
// store's is the newest accepted tree, a peer's is in force at that peer. A peer
// that is still at revision 0 is fresh itself and knows nothing. With no answer
// the process must wait, since a tree from elsewhere may have been replaced.
func Newest(ctx context.Context, store Source, peers ...Source) (*Tree, error) {
	workers := pool.NewWithResults[*Tree]()
	for _, peer := range peers {
		workers.Go(func() *Tree { return fetchWhole(ctx, peer) })
	}
	newest := fetchWhole(ctx, store)
	for _, tree := range workers.Wait() {
		if tree == nil || tree.Revision() == 0 {
			continue
		}
		if newest == nil || tree.Revision() > newest.Revision() {
			newest = tree
		}
	}
	if newest == nil {
		return nil, ErrNoSource
	}
	return newest, nil
}

// fetchWhole returns a source's whole tree, or nil if it gave none.
func fetchWhole(ctx context.Context, source Source) *Tree {
	answer, err := source.Fetch(ctx, FetchRequest{Whole: true})
	if err != nil {
		return nil
	}
	tree, err := ApplyAnswer(Empty(), answer)
	if err != nil {
		return nil
	}
	return tree
}

// Editor commits changes and puts them in force in this process at once.
type Editor struct {
	store  *Store
	holder *Holder
}

// NewEditor returns an editor of the tree in store.
func NewEditor(store *Store, holder *Holder) *Editor {
	return &Editor{store: store, holder: holder}
}

// Current returns the tree in force in this process.
func (e *Editor) Current() *Tree {
	return e.holder.Current()
}

// Commit is Store.Commit. An accepted change is accepted even if this process
// learns of it later than the caller.
func (e *Editor) Commit(ctx context.Context, change Change) (Revision, error) {
	revision, err := e.store.Commit(ctx, change)
	if err != nil {
		return 0, err
	}
	if err := e.Refresh(ctx); err != nil {
		e.holder.Offer(e.store.known())
	}
	return revision, nil
}

// Refresh puts the newest accepted tree in force in this process.
func (e *Editor) Refresh(ctx context.Context) error {
	answer, err := e.store.Fetch(ctx, FetchRequest{After: e.holder.Current().Revision()})
	if err != nil {
		return err
	}
	_, err = e.holder.Receive(answer)
	return err
}

// History is Store.History.
func (e *Editor) History(ctx context.Context, n int) ([]Change, error) {
	return e.store.History(ctx, n)
}

// At is Store.At.
func (e *Editor) At(ctx context.Context, revision Revision) (*Tree, error) {
	return e.store.At(ctx, revision)
}
