package tree

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// Source returns the newest tree that it has: the Store or another node.
type Source interface {
	Fetch(ctx context.Context, request FetchRequest) (FetchAnswer, error)
}

// ErrNoSource means that no source answered.
var ErrNoSource = errors.New("tree: neither the table service nor a peer answered")

// Newest asks the store and the peers concurrently and returns the tree with the highest revision. A new
// process starts with it. One answer is enough: the store has the newest accepted tree, and a peer has the
// tree that it uses. A peer at revision 0 is ignored because it is new itself. Without any answer the
// process must wait, since a tree from elsewhere may be outdated.
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

// fetchWhole returns the whole tree of a source, or nil if it can't be fetched.
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

// Editor commits changes and activates them in this process at once.
type Editor struct {
	store  *Store
	holder *Holder
}

// NewEditor returns an editor of the tree in store.
func NewEditor(store *Store, holder *Holder) *Editor {
	return &Editor{store: store, holder: holder}
}

// Current returns the active tree of this process.
func (e *Editor) Current() *Tree {
	return e.holder.Current()
}

// Commit calls Store.Commit and activates the newest accepted tree, or the newest one that the store
// already knows if it can't be read. An accepted change stays accepted even if this process activates it
// only after Commit has returned.
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

// Refresh activates the newest accepted tree in this process.
func (e *Editor) Refresh(ctx context.Context) error {
	answer, err := e.store.Fetch(ctx, FetchRequest{After: e.holder.Current().Revision()})
	if err != nil {
		return err
	}
	_, err = e.holder.Receive(answer)
	return err
}

// History calls Store.History.
func (e *Editor) History(ctx context.Context, n int) ([]Change, error) {
	return e.store.History(ctx, n)
}

// At calls Store.At.
func (e *Editor) At(ctx context.Context, revision Revision) (*Tree, error) {
	return e.store.At(ctx, revision)
}
