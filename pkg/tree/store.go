package tree

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/platform"
)

// Keys of the table service and names of the object store.
const (
	headKey        = "tree/head"
	changePrefix   = "tree/change/"
	idPrefix       = "tree/id/"
	snapshotPrefix = "tree/snapshot/"
)

// Bounds of the store.
const (
	maxIDBytes     = 128
	maxAuthorBytes = 128
	// SnapshotEvery is the number of changes from one snapshot to the next.
	SnapshotEvery = 100
	// maxAttempts bounds the tries of one commit: each but the last lost
	// against another operator or the service's rate limit.
	maxAttempts = 10
	firstPause  = 50 * time.Millisecond
	maxPause    = 2 * time.Second
)

// Store keeps the tree in the platform: each change is a record of the table
// service, whole trees are snapshots in the object store. Safe for concurrent
// use, also by several processes.
type Store struct {
	table   platform.Table
	objects platform.Objects
	pause   func(ctx context.Context, duration time.Duration) error

	mutex    sync.Mutex
	newest   *Tree    // accepted; saves reading what was read before
	snapshot Revision // of the newest snapshot known
}

// Option changes a new Store.
type Option func(*Store)

// WithPause replaces the wait between two tries, for tests.
func WithPause(pause func(ctx context.Context, duration time.Duration) error) Option {
	return func(s *Store) { s.pause = pause }
}

// NewStore returns a store on the platform's services.
func NewStore(table platform.Table, objects platform.Objects, options ...Option) *Store {
	store := &Store{table: table, objects: objects, pause: sleep, newest: Empty()}
	for _, option := range options {
		option(store)
	}
	return store
}

// head is the record that all commits are conditional on.
type head struct {
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change_id"`

	version uint64 // of the record; zero if there is none yet
}

// Commit checks the change against the newest tree, commits it and returns its
// revision. The error is a *findings.Error if the change is invalid, a
// *ConflictError if it clashes with a change after its Base, or wraps one of
// package platform's errors. After platform.ErrUnknownOutcome the caller repeats
// the change under the same ID, which applies it once.
func (s *Store) Commit(ctx context.Context, change Change) (Revision, error) {
	if err := checkChange(change); err != nil {
		return 0, err
	}
	inDoubt := false // an earlier try may yet have taken effect
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			if pauseErr := s.pause(ctx, backoff(attempt)); pauseErr != nil {
				break
			}
		}
		var revision Revision
		revision, err = s.try(ctx, change)
		inDoubt = inDoubt || errors.Is(err, platform.ErrUnknownOutcome)
		if !isTransient(err, inDoubt) {
			return revision, err
		}
	}
	if inDoubt {
		return 0, errors.WithMessagef(platform.ErrUnknownOutcome, "change %s: %v", change.ID, err)
	}
	return 0, errors.WithMessagef(err, "change %s: given up", change.ID)
}

// isTransient tells whether another try of a commit may end otherwise. After an
// unknown outcome the next try reads back the change's own ID, and only an answer
// to that settles it.
func isTransient(err error, inDoubt bool) bool {
	return errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrThrottled) ||
		errors.Is(err, platform.ErrUnknownOutcome) ||
		inDoubt && errors.Is(err, platform.ErrUnavailable)
}

// try is one attempt of Commit.
func (s *Store) try(ctx context.Context, change Change) (Revision, error) {
	revision, done, err := s.committed(ctx, change)
	if done || err != nil {
		return revision, err
	}
	head, err := s.readHead(ctx)
	if err != nil {
		return 0, err
	}
	current, err := s.loadAt(ctx, head.Revision)
	if err != nil {
		return 0, err
	}
	if err := s.checkBase(ctx, change, head.Revision); err != nil {
		return 0, err
	}
	next, err := current.Apply(change)
	if err != nil {
		return 0, err
	}
	change.Revision = next.Revision()
	transaction, err := makeTransaction(change, head)
	if err != nil {
		return 0, err
	}
	if err := s.table.Commit(ctx, transaction); err != nil {
		return 0, errors.WithMessagef(settled(err), "commit change %s", change.ID)
	}
	s.keep(next)
	s.saveSnapshot(ctx, next)
	return next.Revision(), nil
}

// settled makes an unknown outcome of every failed write of which it is not
// known that nothing was written.
func settled(err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable):
		return err
	default:
		return errors.WithMessage(platform.ErrUnknownOutcome, err.Error())
	}
}

// committed looks for the change's own ID, as after a lost answer.
func (s *Store) committed(ctx context.Context, change Change) (Revision, bool, error) {
	record, err := s.table.Get(ctx, idPrefix+change.ID, true)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, errors.WithMessagef(err, "read back change %s", change.ID)
	}
	var accepted Change
	if err := json.Unmarshal(record.Value, &accepted); err != nil {
		return 0, false, errors.Wrapf(err, "record of change %s", change.ID)
	}
	if !reflect.DeepEqual(accepted.Edits, change.Edits) {
		var found findings.List
		found.Addf("change "+change.ID, "the ID was used for other edits at revision %d", accepted.Revision)
		return 0, true, found.Err()
	}
	return accepted.Revision, true, nil
}

// checkBase compares the change with those after its Base.
func (s *Store) checkBase(ctx context.Context, change Change, newest Revision) error {
	if change.Base == 0 || change.Base == newest {
		return nil
	}
	if change.Base > newest {
		var found findings.List
		found.Addf("change "+change.ID, "its base %d is newer than the tree, which is at %d", change.Base, newest)
		return found.Err()
	}
	later, err := s.changes(ctx, change.Base, newest)
	if err != nil {
		return err
	}
	if conflict := findConflict(change, later); conflict != nil {
		return conflict
	}
	return nil
}

// Load returns the newest accepted tree: the newest snapshot with the changes
// after it. It fails if the table service can't be read, since then no one can
// say what is newest; LoadSnapshot and peers remain.
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

// History returns the last n accepted changes, the newest first.
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

// At returns the tree as it was at a revision.
func (s *Store) At(ctx context.Context, revision Revision) (*Tree, error) {
	names, err := s.objects.List(ctx, snapshotPrefix)
	if err != nil {
		names = nil // the changes alone lead there, too
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

// Fetch answers like a peer that has the newest accepted tree.
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

// readHead reads the newest revision, consistently.
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

// loadAt returns the accepted tree at a revision, or a newer one that was
// accepted meanwhile.
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

// changes reads the accepted changes after one revision up to another.
func (s *Store) changes(ctx context.Context, from, to Revision) ([]Change, error) {
	changes := make([]Change, 0, to-from)
	for revision := from + 1; revision <= to; revision++ {
		record, err := s.table.Get(ctx, changeKey(revision), true)
		if err != nil {
			return nil, errors.WithMessagef(err, "read change %d", revision)
		}
		var change Change
		if err := json.Unmarshal(record.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "record of change %d", revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// saveSnapshot writes the tree to the object store if the last snapshot is old.
// A failure is made good by the next commit.
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

// keep remembers the tree if it is newer than what is known.
func (s *Store) keep(tree *Tree) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if tree.Revision() > s.newest.Revision() {
		s.newest = tree
	}
}

// noteSnapshot remembers the newest snapshot.
func (s *Store) noteSnapshot(revision Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.snapshot = max(s.snapshot, revision)
}

// checkChange checks what identifies a change.
func checkChange(change Change) error {
	var found findings.List
	if change.ID == "" || len(change.ID) > maxIDBytes {
		found.Addf("change id", "must have 1 to %d bytes", maxIDBytes)
	}
	if len(change.Author) > maxAuthorBytes {
		found.Addf("change author", "must have at most %d bytes", maxAuthorBytes)
	}
	return found.Err()
}

// makeTransaction returns the conditional write of a change. Its token is
// shorter than what table services allow, and another one at another revision.
func makeTransaction(change Change, before head) (platform.Transaction, error) {
	record, err := json.Marshal(change)
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode change")
	}
	newest, err := json.Marshal(head{Revision: change.Revision, ChangeID: change.ID})
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode the tree's revision")
	}
	token := sha256.Sum256(record)
	return platform.Transaction{
		Token: hex.EncodeToString(token[:16]),
		Conditions: []platform.Condition{
			{Key: headKey, Version: before.version},
			{Key: changeKey(change.Revision)},
			{Key: idPrefix + change.ID},
		},
		Writes: []platform.Write{
			{Key: headKey, Value: newest},
			{Key: changeKey(change.Revision), Value: record},
			{Key: idPrefix + change.ID, Value: record},
		},
	}, nil
}

// changeKey is the key of the change that led to revision; keys sort by it.
func changeKey(revision Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// snapshotName is the name of the snapshot at revision; names sort by it.
func snapshotName(revision Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}

// backoff returns the pause before a try: exponential with full jitter.
func backoff(attempt int) time.Duration {
	bound := min(firstPause<<attempt, maxPause)
	return time.Duration(rand.Int64N(int64(bound)))
}

// sleep waits for duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
