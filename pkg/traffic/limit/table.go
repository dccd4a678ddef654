// Package limit enforces rate limits of callers, models and services with token buckets
// for requests and for tokens, in a table of bounded size.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Rates holds limits per second. Zero means no limit.
type Rates struct {
	Requests float64
	Tokens   float64
}

// Unlimited reports whether there is no limit at all.
func (r Rates) Unlimited() bool {
	return r.Requests <= 0 && r.Tokens <= 0
}

// burst returns the number of events that may come at once: those of one second, but at
// least one.
func burst(perSecond float64) int {
	return int(math.Max(1, math.Ceil(perSecond)))
}

// Key identifies a bucket. The rates are part of it, so that models that set their own
// rate do not share a bucket with those that inherit one.
type Key struct {
	Scope   Scope
	Service string
	Name    string // name of the caller or model; empty for a service
	Rates   Rates
}

// Scope is the kind of entity that a bucket limits.
type Scope uint8

// Scopes of buckets.
const (
	ScopeCaller  Scope = iota + 1 // one caller within one service
	ScopeModel                    // all callers of one model
	ScopeService                  // all callers of one service
)

// shardCount is the number of shards, each with its own lock.
const shardCount = 16

// Table holds the buckets. It is safe for concurrent use. Create it with NewTable.
type Table struct {
	shards [shardCount]shard
}

// shard is a part of the table with its own lock. It keeps two generations of buckets:
// when the newer one is full, it evicts the buckets that were not used since that one was
// started.
type shard struct {
	mutex    sync.Mutex
	capacity int
	newer    map[Key]*bucket
	older    map[Key]*bucket
}

type bucket struct {
	requests *rate.Limiter // nil: no limit
	tokens   *rate.Limiter
}

// NewTable returns a table of at most about capacity buckets. An evicted bucket starts
// full again. If the capacity is above the number of callers within a few seconds, no
// bucket is evicted before it is full anyway.
func NewTable(capacity int) *Table {
	table := &Table{}
	for index := range table.shards {
		table.shards[index].capacity = max(2, capacity/shardCount)
	}
	return table
}

// Take takes one request and its tokens out of the bucket. If the bucket does not
// hold enough, Take takes nothing and returns the time until it does. A request of more
// tokens than the bucket can hold waits for a full bucket and empties it.
func (t *Table) Take(now time.Time, key Key, tokens int) (time.Duration, bool) {
	if key.Rates.Unlimited() {
		return 0, true
	}
	shard := &t.shards[xxhash.Sum64String(key.Name)%shardCount]
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.find(key).take(now, tokens)
}

// Len returns the number of buckets held.
func (t *Table) Len() int {
	total := 0
	for index := range t.shards {
		shard := &t.shards[index]
		shard.mutex.Lock()
		total += len(shard.newer) + len(shard.older)
		shard.mutex.Unlock()
	}
	return total
}

func (s *shard) find(key Key) *bucket {
	if found, ok := s.newer[key]; ok {
		return found
	}
	found, ok := s.older[key]
	if ok {
		delete(s.older, key)
	} else {
		found = newBucket(key.Rates)
	}
	if s.newer == nil || len(s.newer) >= s.capacity/2 {
		s.older = s.newer
		s.newer = make(map[Key]*bucket)
	}
	s.newer[key] = found
	return found
}

func newBucket(rates Rates) *bucket {
	created := &bucket{}
	if rates.Requests > 0 {
		created.requests = rate.NewLimiter(rate.Limit(rates.Requests), burst(rates.Requests))
	}
	if rates.Tokens > 0 {
		created.tokens = rate.NewLimiter(rate.Limit(rates.Tokens), burst(rates.Tokens))
	}
	return created
}

// rounding is added to the time to wait, which the limiter rounds down.
const rounding = time.Microsecond

func (b *bucket) take(now time.Time, tokens int) (time.Duration, bool) {
	request := reserve(now, b.requests, 1)
	volume := reserve(now, b.tokens, tokens)
	delay := max(delayOf(now, request), delayOf(now, volume))
	if delay == 0 {
		return 0, true
	}
	cancelReservation(now, request)
	cancelReservation(now, volume)
	return delay + rounding, false
}

func reserve(now time.Time, limiter *rate.Limiter, count int) *rate.Reservation {
	if limiter == nil {
		return nil
	}
	return limiter.ReserveN(now, min(count, limiter.Burst()))
}

func delayOf(now time.Time, reservation *rate.Reservation) time.Duration {
	if reservation == nil {
		return 0
	}
	return reservation.DelayFrom(now)
}

func cancelReservation(now time.Time, reservation *rate.Reservation) {
	if reservation != nil {
		reservation.CancelAt(now)
	}
}
