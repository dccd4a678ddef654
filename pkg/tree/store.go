package tree

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/platform"
)

// Bounds of the store.
const (
	maxIDBytes     = 128
	maxAuthorBytes = 128
	// maxRecordBytes is less than what table services take as one record.
	maxRecordBytes = 350 << 10
	// maxBaseAge bounds the revisions between the base of a change and the
	// newest tree, all of which have to be read.
	maxBaseAge = 1000
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
	var accepted receipt
	if err := json.Unmarshal(record.Value, &accepted); err != nil {
		return 0, false, errors.Wrapf(err, "record of change %s", change.ID)
	}
	if accepted.Edits != digestEdits(change.Edits) {
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
	if newest-change.Base > maxBaseAge {
		var found findings.List
		found.Addf("change "+change.ID, "its base %d is more than %d revisions old; read the tree again", change.Base, maxBaseAge)
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
