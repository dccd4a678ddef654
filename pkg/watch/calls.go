package watch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// run reads from the store while direct returns true, until ctx ends.
func (t *Table) run(ctx context.Context, direct func() bool) {
	reading := true
	for ctx.Err() == nil {
		t.expireRestoreState()
		if now := direct(); now != reading {
			reading = now
			t.Logger.Info("table source", "table", t.Name, "store", reading, "version", t.Version(), "age_ms", t.Age().Milliseconds())
		}
		if !reading {
			sleep(ctx, retryPause)
			continue
		}
		probe, err := t.breaker.enter(ctx, t.failurePauses)
		if err != nil {
			return
		}
		if !direct() {
			t.breaker.skip() // other nodes sent the changes meanwhile
			continue
		}
		changed, err := t.readOrFeed(ctx, !probe && t.role().watches())
		t.breaker.leave(err != nil && !errors.Is(err, ErrHistoryGone))
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			t.noteHistoryGone()
		case err != nil:
			t.noteFailure(err)
		default:
			t.noteSuccess()
			if changed {
				sleep(ctx, t.Pause)
			}
		}
	}
}

// sleep waits for a pause or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// noteHistoryGone has the whole table read again.
func (t *Table) noteHistoryGone() {
	t.Logger.Warn("change history is gone, reading the whole table", "table", t.Name, "version", t.Version())
	t.mu.Lock()
	t.reread = true
	t.mu.Unlock()
}

// callFailure is a failed call of the store.
type callFailure struct {
	at  time.Time
	err error // nil: no call failed yet
}

// failureLogInterval is the least time between log lines about a store that goes on failing.
const failureLogInterval = 5 * time.Second

// noteFailure updates the state after a failed call of the store.
func (t *Table) noteFailure(err error) {
	now := t.Time.Now()
	t.mu.Lock()
	t.lastFailure = callFailure{now, err}
	t.mu.Unlock()
	message := "store still lost"
	if t.failures == 0 {
		message = "store lost"
	}
	t.failures++
	if t.failures == 1 || now.Sub(t.failureLogged) >= failureLogInterval {
		t.failureLogged = now
		pause, _ := t.breaker.pauseLeft(now, t.failurePauses())
		t.Logger.Warn(message, "table", t.Name, "version", t.Version(), "age_ms", t.Age().Milliseconds(), "failures", t.failures,
			"pause_ms", pause.Milliseconds(), "error", err)
	}
}

// failurePauses returns the limits of the pause after a failed call. A node that has its rows and on which no
// other depends backs off for long at once, as the watchers mostly send it news when the store answers again.
func (t *Table) failurePauses() pauseLimits {
	if t.role().hasDependents() {
		return pauseLimits{max: maxRetryPause}
	}
	t.mu.Lock()
	empty := t.rows == nil
	t.mu.Unlock()
	if empty {
		return pauseLimits{max: max(maxRetryPause, t.boundShare(emptyBackoffShare))}
	}
	backoff := max(maxRetryPause, t.boundShare(idleBackoffShare))
	return pauseLimits{min: backoff, max: backoff}
}

// noteSuccess updates the state after a successful call of the store.
func (t *Table) noteSuccess() {
	if t.failures > 0 {
		t.Logger.Info("store regained", "table", t.Name, "version", t.Version(), "failures", t.failures)
	}
	t.failures = 0
}

// readOrFeed reads the table or asks for changes, and reports whether there were any. It waits for changes only
// if mayWait is set: a call that is to find out whether the store answers, or that makes up for news that other
// nodes did not send, has to fail early if it fails.
func (t *Table) readOrFeed(ctx context.Context, mayWait bool) (bool, error) {
	t.mu.Lock()
	reread := t.rows == nil || t.reread || t.missing() != 0
	after := t.version
	t.mu.Unlock()
	if reread {
		return true, t.read(ctx)
	}
	wait := time.Duration(0)
	if mayWait {
		wait = t.feedTime()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+AnswerTime+transferTime)
	defer cancel()
	page, err := t.Source.Feed(ctx, t.Name, after, wait)
	if err != nil {
		t.noteFeedFailure(errors.Is(err, ErrIncomplete))
		return false, err
	}
	t.lateFeeds = 0
	page.AsOf -= maxHiddenTime
	t.Change(after, page, 0)
	return len(page.Records) > 0, nil
}

// probeSize reads the table if it is small. It returns true if no further read is needed now. A large table
// is better sent by other nodes: if 985 nodes start at once and each reads 10,000 rows, they read some 4 GB
// together.
func (t *Table) probeSize(ctx context.Context) (done bool, err error) {
	p, can := t.Source.(Prober)
	if !can || !t.Partitioned || t.role == nil || t.role() != roleAlone || t.isLarge() {
		return false, nil
	}
	first, more, err := p.Probe(ctx, t.Name)
	if err != nil {
		return true, err
	}
	if more {
		t.mu.Lock()
		t.large = true
		t.mu.Unlock()
		t.Logger.Info("leaving the large table to other nodes", "table", t.Name, "rows", len(first.Records), "version", first.Version)
		return true, nil
	}
	t.Replace(first, 0)
	return true, nil
}

// isLarge reports whether the store has more rows than its first page.
func (t *Table) isLarge() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large
}

// maxLateFeeds is the number of feeds in a row whose answers arrive too late, after which the whole table is read.
// All changes made during an outage of the store come in one answer, which grows with the table and has the time
// of one call only. A table is read in pages that each have their own time.
const maxLateFeeds = 2

// noteFeedFailure counts feeds whose answers arrived too late, and has the whole table read after too many. A store
// that is silent says nothing about the number of changes.
func (t *Table) noteFeedFailure(late bool) {
	if !late {
		t.lateFeeds = 0
		return
	}
	if t.lateFeeds++; t.lateFeeds >= maxLateFeeds {
		t.lateFeeds = 0
		t.Logger.Warn("changes not read in time, reading the whole table", "table", t.Name, "version", t.Version())
		t.mu.Lock()
		t.reread = true
		t.mu.Unlock()
	}
}

// read reads the whole table from the store, unless it is large and other nodes can send it.
func (t *Table) read(ctx context.Context) error {
	if done, err := t.probeSize(ctx); done {
		return err
	}
	all, err := t.Source.Read(ctx, t.Name)
	if err != nil {
		return err
	}
	if !t.Replace(all, 0) {
		t.Logger.Warn("table read is older than the known one", "table", t.Name, "read", all.Version, "known", t.Version(), "rows", len(all.Records))
		return errors.Errorf("watch: table %s that was read is older than the known one: %d", t.Name, all.Version)
	}
	t.notifyConfirmed()
	return nil
}
