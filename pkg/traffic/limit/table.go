// Package limit holds the rates of callers, models and services: token buckets
// for requests and for tokens, in a bounded table.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Rates are limits per second. Zero means no limit.
type Rates struct {
	Requests float64
	Tokens   float64
}

// Unlimited tells whether neither rate limits.
func (r Rates) Unlimited() bool {
	return r.Requests <= 0 && r.Tokens <= 0
}

// burst is the number of events that may come at once: those of one second, but
// at least one.
func burst(perSecond float64) int {
	return int(math.Max(1, math.Ceil(perSecond)))
}

// Key names a bucket. Buckets with different rates are different ones, so that
// models which set their own rate don't share one with those that inherit.
type Key struct {
	Scope   Scope
	Service string
	Name    string // of the caller or model; empty for a service
	Rates   Rates
}

// Scope is what a bucket limits.
type Scope uint8

// The scopes.
const (
	ScopeCaller  Scope = iota + 1 // one caller within one service
	ScopeModel                    // all callers of one model
	ScopeService                  // all callers of one service
)

// shardCount spreads the buckets over locks.
const shardCount = 16

// Table holds the buckets. Safe for concurrent use. Create it with NewTable.
type Table struct {
	shards [shardCount]shard
}

// shard is a part of the table with its own lock. Like a cache of two
// generations it forgets the buckets that were not used while the newer
// generation filled up.
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

// NewTable returns a table of at most about capacity buckets. A bucket that is
// evicted starts full again; with the capacity above the number of callers that
// come within a few seconds, none is evicted before it would be full anyway.
func NewTable(capacity int) *Table {
	table := &Table{}
	for index := range table.shards {
		table.shards[index].capacity = max(2, capacity/shardCount)
	}
	return table
}

// Take takes a request with tokens out of the bucket. If there is not enough it
// takes nothing and returns the time until there is. A request of more tokens
// than a second's worth waits for a full bucket and empties it.
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

// rounding is added to the time until there is enough, which the limiter rounds
// down.
const rounding = time.Microsecond

func (b *bucket) take(now time.Time, tokens int) (time.Duration, bool) {
	request := reserve(now, b.requests, 1)
	volume := reserve(now, b.tokens, tokens)
	delay := max(delayOf(now, request), delayOf(now, volume))
	if delay == 0 {
		return 0, true
	}
	giveBack(now, request)
	giveBack(now, volume)
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

func giveBack(now time.Time, reservation *rate.Reservation) {
	if reservation != nil {
		reservation.CancelAt(now)
	}
}
