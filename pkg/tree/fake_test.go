package tree

import (
	"context"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"martenwheel.dev/pkg/platform"
)

// fault is the way in which one call of the fake platform fails.
type fault int

const (
	works      fault = iota
	down             // ErrUnavailable, no effect
	throttled        // ErrThrottled, no effect
	lostBefore       // ErrUnknownOutcome, no effect
	lostAfter        // ErrUnknownOutcome after the effect
	brokenPipe       // an error of unknown kind after the effect
	late             // ErrUnknownOutcome; takes effect after the next commit
)

var errBrokenPipe = errors.New("broken pipe")

// err returns the error of the fault.
func (f fault) err() error {
	return map[fault]error{
		down: platform.ErrUnavailable, throttled: platform.ErrThrottled,
		lostBefore: platform.ErrUnknownOutcome, lostAfter: platform.ErrUnknownOutcome, late: platform.ErrUnknownOutcome, brokenPipe: errBrokenPipe,
	}[f]
}

// faultQueue determines the fault of each call: those in next, in order, and then rest for all further
// calls.
type faultQueue struct {
	next []fault
	rest fault
}

func (q *faultQueue) take() fault {
	if len(q.next) == 0 {
		return q.rest
	}
	first := q.next[0]
	q.next = q.next[1:]
	return first
}

// fakeTable is a table service in memory. Inconsistent reads see a replica that never gets any write.
type fakeTable struct {
	mutex         sync.Mutex
	records       map[string]platform.Record
	gets          int
	getFaults     faultQueue
	commitFaults  faultQueue
	afterFirstGet func() // called once, after the next read
	beforeCommit  func() // called once, before the next commit
	delayed       []platform.Transaction
}

func newFakeTable() *fakeTable {
	return &fakeTable{records: make(map[string]platform.Record)}
}

func (f *fakeTable) Get(_ context.Context, key string, consistent bool) (platform.Record, error) {
	f.mutex.Lock()
	hook := f.afterFirstGet
	f.afterFirstGet = nil
	f.mutex.Unlock()
	if hook != nil {
		defer hook()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.gets++
	if err := f.getFaults.take().err(); err != nil {
		return platform.Record{}, err
	}
	record, found := f.records[key]
	if !found || !consistent {
		return platform.Record{}, platform.ErrNotFound
	}
	return record, nil
}

func (f *fakeTable) List(context.Context, string) ([]platform.Record, error) {
	return nil, errors.New("a list may be stale; the store must not use it")
}

func (f *fakeTable) Commit(_ context.Context, transaction platform.Transaction) error {
	f.mutex.Lock()
	hook := f.beforeCommit
	f.beforeCommit = nil
	f.mutex.Unlock()
	if hook != nil {
		hook()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fault := f.commitFaults.take()
	switch fault {
	case down, throttled, lostBefore:
		return fault.err()
	case late:
		f.delayed = append(f.delayed, transaction)
		return fault.err()
	}
	if err := f.apply(transaction); err != nil {
		return err
	}
	for _, transaction := range f.delayed {
		_ = f.apply(transaction) // its caller no longer waits for the response
	}
	f.delayed = nil
	return fault.err()
}

// apply executes a transaction if its conditions hold.
func (f *fakeTable) apply(transaction platform.Transaction) error {
	versions := make(map[string]uint64)
	for _, condition := range transaction.Conditions {
		if f.records[condition.Key].Version != condition.Version {
			return platform.ErrConflict
		}
		versions[condition.Key] = condition.Version
	}
	for _, write := range transaction.Writes {
		f.records[write.Key] = platform.Record{Key: write.Key, Value: write.Value, Version: versions[write.Key] + 1}
	}
	return nil
}

// accepted returns the number of change records.
func (f *fakeTable) accepted() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for key := range f.records {
		if strings.HasPrefix(key, changePrefix) {
			count++
		}
	}
	return count
}

// heal ends all faults.
func (f *fakeTable) heal() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.getFaults, f.commitFaults = faultQueue{}, faultQueue{}
}

// fakeObjects is an object store in memory.
type fakeObjects struct {
	mutex  sync.Mutex
	data   map[string][]byte
	faults faultQueue
}

func newFakeObjects() *fakeObjects {
	return &fakeObjects{data: make(map[string][]byte)}
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.faults.take().err(); err != nil {
		return err
	}
	f.data[name] = data
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.faults.take().err(); err != nil {
		return nil, err
	}
	data, found := f.data[name]
	if !found {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

func (f *fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.faults.take().err(); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(f.data))
	for name := range maps.Keys(f.data) {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

func (f *fakeObjects) Delete(_ context.Context, name string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.data, name)
	return nil
}

// newFakeStore returns a store that does not wait between attempts.
func newFakeStore(table *fakeTable, objects *fakeObjects) *Store {
	noPause := func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return NewStore(table, objects, WithPause(noPause))
}
