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
	// maxRecordBytes is below the maximum record size of table services.
	maxRecordBytes = 350 << 10
	// maxBaseAge is the maximum number of revisions between the base of a change and the newest tree, all
	// of which must be read.
	maxBaseAge = 1000
	// SnapshotEvery is the number of changes between two snapshots.
	SnapshotEvery = 100
	// maxAttempts is the maximum number of attempts of one commit. An attempt is repeated if it loses
	// against another operator, is throttled, or has an unknown outcome.
	maxAttempts    = 10
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Store keeps the tree in the platform's services: each change is a record of the table service, and
// snapshots of whole trees are in the object store. Safe for concurrent use, also by several processes.
type Store struct {
	table   platform.Table
	objects platform.Objects
	pause   func(ctx context.Context, duration time.Duration) error

	mutex    sync.Mutex
	newest   *Tree    // newest accepted tree that was read or committed; avoids repeated reads
	snapshot Revision // of the newest known snapshot
}

// Option configures a new Store.
type Option func(*Store)

// WithPause replaces the wait between two attempts. It is meant for tests.
func WithPause(pause func(ctx context.Context, duration time.Duration) error) Option {
	return func(s *Store) { s.pause = pause }
}

// NewStore returns a store that uses the platform's services.
func NewStore(table platform.Table, objects platform.Objects, options ...Option) *Store {
	store := &Store{table: table, objects: objects, pause: sleep, newest: Empty()}
	for _, option := range options {
		option(store)
	}
	return store
}

// Commit checks the change against the newest tree, commits it and returns its revision. The error is a
// *findings.Error if the change is invalid, a *ConflictError if it conflicts with a change after its Base,
// or wraps an error of package platform. After platform.ErrUnknownOutcome the caller should repeat the
// change with the same ID, which applies it only once.
func (s *Store) Commit(ctx context.Context, change Change) (Revision, error) {
	if err := checkChange(change); err != nil {
		return 0, err
	}
	outcomeUnknown := false // an earlier attempt may still have taken effect
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			if pauseErr := s.pause(ctx, backoff(attempt)); pauseErr != nil {
				break
			}
		}
		var revision Revision
		revision, err = s.attemptCommit(ctx, change)
		outcomeUnknown = outcomeUnknown || errors.Is(err, platform.ErrUnknownOutcome)
		if !isTransient(err, outcomeUnknown) {
			return revision, err
		}
	}
	if outcomeUnknown {
		return 0, errors.WithMessagef(platform.ErrUnknownOutcome, "change %s: %v", change.ID, err)
	}
	return 0, errors.WithMessagef(err, "change %s: given up", change.ID)
}

// isTransient reports whether another attempt of a commit may have a different result. If the outcome of an
// attempt is unknown, the next one looks for the record of the change's own ID, and only a result of that
// read settles the outcome.
func isTransient(err error, outcomeUnknown bool) bool {
	return errors.Is(err, platform.ErrConflict) ||
		errors.Is(err, platform.ErrThrottled) ||
		errors.Is(err, platform.ErrUnknownOutcome) ||
		outcomeUnknown && errors.Is(err, platform.ErrUnavailable)
}

// attemptCommit makes one attempt of Commit.
func (s *Store) attemptCommit(ctx context.Context, change Change) (Revision, error) {
	revision, done, err := s.findCommitted(ctx, change)
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
		return 0, errors.WithMessagef(asUnknownOutcome(err), "commit change %s", change.ID)
	}
	s.keep(next)
	s.saveSnapshot(ctx, next)
	return next.Revision(), nil
}

// asUnknownOutcome turns a failed write into an unknown outcome, unless the error guarantees that nothing
// was written.
func asUnknownOutcome(err error) error {
	switch {
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrUnavailable):
		return err
	default:
		return errors.WithMessage(platform.ErrUnknownOutcome, err.Error())
	}
}

// findCommitted looks for the record of the change's own ID, which exists if an earlier attempt succeeded
// but its response was lost.
func (s *Store) findCommitted(ctx context.Context, change Change) (Revision, bool, error) {
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

// checkBase checks the change for conflicts with those after its Base.
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

// backoff returns the pause before an attempt: exponential with full jitter.
func backoff(attempt int) time.Duration {
	bound := min(initialBackoff<<attempt, maxBackoff)
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
