package tree

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Load returns the newest accepted tree: the newest snapshot plus the changes after it. It fails if the
// table service can't be read, since the newest revision is then unknown. LoadSnapshot and peers remain as
// sources.
func (s *Store) Load(ctx context.Context) (*Tree, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return s.loadAt(ctx, head.Revision)
}

// LoadSnapshot returns the newest readable snapshot, which may be older than
// the newest accepted tree. The error wraps platform.ErrNotFound if there is none.
func (s *Store) LoadSnapshot(ctx context.Context) (*Tree, error) {
	names, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.WithMessage(err, "list snapshots")
	}
	err = errors.WithMessage(platform.ErrNotFound, "no snapshot")
	for index := len(names) - 1; index >= 0; index-- {
		var tree *Tree
		tree, err = s.readSnapshot(ctx, names[index])
		if err == nil {
			return tree, nil
		}
	}
	return nil, err
}

// readSnapshot reads one snapshot.
func (s *Store) readSnapshot(ctx context.Context, name string) (*Tree, error) {
	packed, err := s.objects.Get(ctx, name)
	if err != nil {
		return nil, errors.WithMessage(err, "read "+name)
	}
	tree, err := Unpack(packed)
	return tree, errors.WithMessage(err, "read "+name)
}

// History returns the last n accepted changes, newest first.
func (s *Store) History(ctx context.Context, n int) ([]Change, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	oldest := Revision(0)
	if Revision(n) < head.Revision {
		oldest = head.Revision - Revision(n)
	}
	changes, err := s.changes(ctx, oldest, head.Revision)
	if err != nil {
		return nil, err
	}
	for i, j := 0, len(changes)-1; i < j; i, j = i+1, j-1 {
		changes[i], changes[j] = changes[j], changes[i]
	}
	return changes, nil
}

// At returns the tree at the given revision.
func (s *Store) At(ctx context.Context, revision Revision) (*Tree, error) {
	names, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		names = nil // replay all changes instead
	}
	tree := Empty()
	for index := len(names) - 1; index >= 0 && tree.Revision() == 0; index-- {
		if names[index] > snapshotName(revision) {
			continue
		}
		if snapshot, err := s.readSnapshot(ctx, names[index]); err == nil {
			tree = snapshot
		}
	}
	changes, err := s.changes(ctx, tree.Revision(), revision)
	if err != nil {
		return nil, err
	}
	return replay(tree, changes)
}

// Fetch answers a request like a peer that has the newest accepted tree.
func (s *Store) Fetch(ctx context.Context, request FetchRequest) (FetchAnswer, error) {
	tree, err := s.Load(ctx)
	if err != nil {
		return FetchAnswer{}, err
	}
	var changes []Change
	if !request.Whole && request.After < tree.Revision() && tree.Revision()-request.After <= SnapshotEvery {
		changes, err = s.changes(ctx, request.After, tree.Revision())
		if err != nil {
			return FetchAnswer{}, err
		}
	}
	return Answer(tree, changes, request), nil
}

// readHead reads the newest revision with a consistent read.
func (s *Store) readHead(ctx context.Context) (head, error) {
	record, err := s.table.Get(ctx, headKey, true)
	if errors.Is(err, platform.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.WithMessage(err, "read the tree's revision")
	}
	newest := head{version: record.Version}
	if err := json.Unmarshal(record.Value, &newest); err != nil {
		return head{}, errors.Wrap(err, "record of the tree's revision")
	}
	return newest, nil
}

// loadAt returns the accepted tree at a revision, or a newer one that has been accepted in the meantime.
func (s *Store) loadAt(ctx context.Context, revision Revision) (*Tree, error) {
	tree := s.known()
	if tree.Revision()+SnapshotEvery < revision {
		if snapshot, err := s.LoadSnapshot(ctx); err == nil && snapshot.Revision() > tree.Revision() {
			s.noteSnapshot(snapshot.Revision())
			tree = snapshot
		}
	}
	if tree.Revision() >= revision {
		s.keep(tree)
		return tree, nil
	}
	changes, err := s.changes(ctx, tree.Revision(), revision)
	if err != nil {
		return nil, err
	}
	tree, err = replay(tree, changes)
	if err != nil {
		return nil, errors.WithMessage(err, "replay the accepted changes")
	}
	s.keep(tree)
	return tree, nil
}

// changes reads the accepted changes after revision from up to revision to.
func (s *Store) changes(ctx context.Context, from, to Revision) ([]Change, error) {
	changes := make([]Change, 0, to-from)
	for revision := from + 1; revision <= to; revision++ {
		record, err := s.table.Get(ctx, changeKey(revision), true)
		if err != nil {
			return nil, errors.WithMessagef(err, "read change %d", revision)
		}
		change, err := decodeChange(record.Value)
		if err != nil {
			return nil, errors.WithMessagef(err, "record of change %d", revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// saveSnapshot writes the tree to the object store if a snapshot is due. If that fails, the next commit
// tries again.
func (s *Store) saveSnapshot(ctx context.Context, tree *Tree) {
	s.mutex.Lock()
	due := tree.Revision() >= s.snapshot+SnapshotEvery
	s.mutex.Unlock()
	if !due {
		return
	}
	packed, err := tree.Pack()
	if err != nil {
		return
	}
	if err := s.objects.Put(ctx, snapshotName(tree.Revision()), packed); err == nil {
		s.noteSnapshot(tree.Revision())
	}
}

// known returns the newest tree that this store has read or committed.
func (s *Store) known() *Tree {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newest
}

// keep stores the tree as the newest one if its revision is higher.
func (s *Store) keep(tree *Tree) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if tree.Revision() > s.newest.Revision() {
		s.newest = tree
	}
}

// noteSnapshot records the revision of a snapshot.
func (s *Store) noteSnapshot(revision Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = max(s.snapshot, revision)
}
