// Package affinity decides which replica of a model is best for a request, from what all nodes know
// alike and without messages between them.
//
// It is made for this load: prompts have thousands of tokens, two thirds of which are parts that
// earlier requests had in common, and run beside urgent streams whose events must not pause. Each
// of tens of nodes sees a few percent of the requests, so that its own running requests say almost
// nothing about the load, and a choice by them is a random one. Each replica then reads and caches
// each shared part, and each stream runs beside the reading of long prompts.
//
// Two preferences help. With affinity, requests that share parts go to the same replica, which is
// the first in an order by rendezvous hashing over the servers' incarnations. When a replica is
// lost, only the requests with parts that it had cached move. With lanes, requests with long
// prompts prefer replicas at one end of an order of all servers, and requests with short prompts
// whose pauses matter prefer those at the other end. Over all models, the servers at one end thus
// read few long prompts.
package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/prompt"
)

// Lane is the end of the order of servers (see Position) at which a request is served best.
type Lane uint8

// The lanes.
const (
	AnyLane   Lane = iota // no preference
	ShortLane             // short to read, and its own pauses matter
	LongLane              // its reading makes other streams pause
)

// String returns the name that is used in logs.
func (l Lane) String() string {
	switch l {
	case ShortLane:
		return "short"
	case LongLane:
		return "long"
	default:
		return "any"
	}
}

// Terms are the limits that a request's route and engine set. Zero fields are unknown.
type Terms struct {
	Target      time.Duration // latest time of a first event that is in time
	GapTarget   time.Duration // longest pause between events that is in time
	EventTokens int           // tokens in one event
}

// prefillPerMS is a cautious speed of reading prompts, in tokens per millisecond: about that of the
// slowest known servers, half of the usual one. A prompt that is short at this speed is short
// anywhere.
const prefillPerMS = 20

// When reading a prompt makes a difference to callers.
const (
	// targetShare is the least part of a route's target that cached parts must save. A smaller
	// saving does not make late answers timely, and would overload one replica for nothing.
	targetShare = 0.1
	// maxMinSaving is a saving that counts whatever the target is, as it shortens the reading that
	// others wait for.
	maxMinSaving = 100 * time.Millisecond
	// fullStrengthSavings is the saving at which the preference has its full strength, as a
	// multiple of the least saving.
	fullStrengthSavings = 4
	// longShare is the least part of the longest timely pause that reading a long prompt takes. Two
	// long prompts at once then make a stream beside them late.
	longShare = 0.5
)

// Request holds what determines the preferences of a request. The zero value has no preference.
type Request struct {
	key      uint64  // of the shared parts; zero if there are none that count
	strength float64 // from 0 to 1, see Strength
	lane     Lane
	prefill  time.Duration // time to read the whole prompt
}

// Of returns the preferences of a request for a model and, unless it is empty, an adapter.
func Of(model, adapter string, p *prompt.Prompt, t Terms) Request {
	r := Request{prefill: prefillTime(p.Tokens())}
	r.lane = laneOf(r.prefill, t)
	saved, least := prefillTime(p.SharedTokens()), minSaving(t)
	if saved >= least && p.SharedID() != "" {
		r.key = keyOf(model, adapter, p.SharedID())
		r.strength = min(float64(saved)/float64(fullStrengthSavings*least), 1)
	}
	return r
}

// Lane returns the end of the order of servers at which the request is served best.
func (r *Request) Lane() Lane { return r.lane }

// Shares reports whether the request prefers the replica that has its shared parts in cache.
func (r *Request) Shares() bool { return r.key != 0 }

// Strength returns how much the shared parts save, from 0 to 1.
func (r *Request) Strength() float64 { return r.strength }

// prefillTime returns how long a slow server takes to read the tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillPerMS
}

// minSaving returns the least time that cached parts must save to count.
func minSaving(t Terms) time.Duration {
	if t.Target <= 0 {
		return maxMinSaving
	}
	return min(time.Duration(targetShare*float64(t.Target)), maxMinSaving)
}

// maxEventTokens bounds the configured tokens per event, so that no product overflows.
const maxEventTokens = 1 << 10

// largestChunk is the most prompt tokens that engines usually read between two tokens of their
// streams (chunked prefill).
const largestChunk = 2048

// laneOf returns a request's lane. Between two events an engine reads at most as many chunks of
// prompts as the event has tokens. If these can't make a pause late, no prompt can, and the lane
// makes no difference.
func laneOf(prefill time.Duration, t Terms) Lane {
	tokens := min(max(t.EventTokens, 0), maxEventTokens)
	switch {
	case t.GapTarget <= 0 || prefill <= 0 || prefillTime(tokens*largestChunk) < t.GapTarget:
		return AnyLane
	case float64(prefill) >= longShare*float64(t.GapTarget):
		return LongLane
	default:
		return ShortLane
	}
}

// keyOf returns the key of shared parts. Engines cache them separately for each model and adapter.
// The key is never zero.
func keyOf(model, adapter, shared string) uint64 {
	key := mix(mix(xxhash.Sum64String(model)) ^ xxhash.Sum64String(adapter))
	return max(mix(key^xxhash.Sum64String(shared)), 1)
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ServerHash returns the hash of the ID of a server's incarnation.
func ServerHash(id string) uint64 { return xxhash.Sum64String(id) }

// Position returns the position of a server's incarnation in the order of all servers, from 0,
// where short requests are served, to 1, where long ones are. It is the same on all nodes and for
// all models.
func Position(hash uint64) float64 { return unit(mix(hash)) }

// unit maps x to a number above 0 and below 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
