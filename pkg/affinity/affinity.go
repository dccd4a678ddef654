// Package affinity decides at which replica of a model a request is best read, by what all
// nodes know alike and without a message between them.
//
// The load it answers: prompts of thousands of tokens, of which two thirds are parts that
// others brought before, beside urgent streams whose events may not pause. Each of tens of nodes
// sees a few in a hundred of the requests, so that what a node itself has running tells
// nearly nothing, and a choice by it is a random one: each replica reads and keeps each
// shared part, and each stream runs beside the reading of long prompts.
//
// Two preferences answer it. By affinity, requests that share parts go to the same replica,
// the first in an order of rendezvous hashing over the replicas' lives: when one is lost, the
// parts that it kept go elsewhere, and no others. By lanes, requests that are long to read keep to
// the replicas at one end of an order of all servers, short ones whose pauses count to those at
// the other end, so that over all models the servers of one end read few long prompts.
package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"martenwheel.dev/pkg/prompt"
)

// Lane tells at which end of the order of servers a request is served best.
type Lane uint8

// The lanes.
const (
	AnyLane   Lane = iota // it makes no difference
	ShortLane             // short to read, and its pauses count
	LongLane              // its reading makes others pause
)

// String names the lane in logs.
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

// Terms are the bounds of a request by its route and engine. A field that is zero is not known.
type Terms struct {
	Target      time.Duration // within which the first event is in time
	GapTarget   time.Duration // longest pause between events that is in time
	EventTokens int           // in one event
}

// readsPerMS is a cautious speed of reading prompts, in tokens a millisecond: about that of
// the slowest servers met, half of the usual one. What seems short by it is short anywhere.
const readsPerMS = 20

// From where on reading makes a difference to callers.
const (
	// targetShare is the least part of a route's target that kept parts must save: less
	// does not make late answers timely, and one replica would be crowded for nothing.
	targetShare = 0.1
	// mostSaving is a saving that counts whatever the target is, as it shortens the reading that
	// others wait for.
	mostSaving = 100 * time.Millisecond
	// fullSaving is the number of least savings from which on the preference has its whole
	// strength.
	fullSaving = 4
	// longShare is the part of the longest pause in time that the reading of a long prompt takes
	// at least: two that meet then make a stream beside them late.
	longShare = 0.5
)

// Request is what decides on the preferences of a request. The zero value prefers nothing.
type Request struct {
	key      uint64  // of the shared parts; zero: none that count
	strength float64 // from 0 to 1, see Strength
	lane     Lane
	reads    time.Duration // that its whole prompt takes to be read
}

// Of returns what a request for a model, and perhaps an adapter, prefers.
func Of(model, adapter string, p *prompt.Prompt, t Terms) Request {
	r := Request{reads: readingTime(p.Tokens())}
	r.lane = laneOf(r.reads, t)
	saved, least := readingTime(p.SharedTokens()), leastSaving(t)
	if saved >= least && p.SharedID() != "" {
		r.key = keyOf(model, adapter, p.SharedID())
		r.strength = min(float64(saved)/float64(fullSaving*least), 1)
	}
	return r
}

// Lane returns at which end of the order of servers the request is served best.
func (r *Request) Lane() Lane { return r.lane }

// Shares tells whether the request prefers the replica that read its shared parts before.
func (r *Request) Shares() bool { return r.key != 0 }

// Strength returns how much the shared parts save, from 0 to 1.
func (r *Request) Strength() float64 { return r.strength }

// readingTime returns how long a slow server reads so many tokens.
func readingTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / readsPerMS
}

// leastSaving returns how much reading kept parts must save to count.
func leastSaving(t Terms) time.Duration {
	if t.Target <= 0 {
		return mostSaving
	}
	return min(time.Duration(targetShare*float64(t.Target)), mostSaving)
}

// mostEventTokens bounds what a configuration may tell of events, so that no product overflows.
const mostEventTokens = 1 << 10

// largestPiece is the most of prompts, in tokens, that engines usually read between two
// tokens of their streams.
const largestPiece = 2048

// laneOf tells a request's lane. Between two events an engine reads no more pieces of prompts
// than the event has tokens: where these can't make a pause late no prompt does, and it makes
// no difference.
func laneOf(reads time.Duration, t Terms) Lane {
	tokens := min(max(t.EventTokens, 0), mostEventTokens)
	switch {
	case t.GapTarget <= 0 || reads <= 0 || readingTime(tokens*largestPiece) < t.GapTarget:
		return AnyLane
	case float64(reads) >= longShare*float64(t.GapTarget):
		return LongLane
	default:
		return ShortLane
	}
}

// keyOf returns the key of shared parts, which an engine keeps for each model and adapter
// apart. It is never zero.
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

// LifeOf returns the hash of a life of a server.
func LifeOf(id string) uint64 { return xxhash.Sum64String(id) }

// Place returns where a life of a server lies in the order of all servers, from 0, where short
// requests are served, to 1, where long ones are: the same on all nodes and for all models.
func Place(life uint64) float64 { return unit(mix(life)) }

// unit maps x to a number above 0 and below 1.
func unit(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }
