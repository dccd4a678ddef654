// Package routing chooses the replica for a request over an immutable snapshot
// of candidates in three steps: filters drop the candidates that must not be
// used, scorers rate the rest, and a picker takes one of them. Each step is a
// small interface with one plug-in per file.
//
// Nothing here reads a clock or shares state: the caller fills the candidates
// from what it knows at that moment.
package routing

import "martenwheel.dev/pkg/api"

// Request is what the plug-ins need to know of a request.
type Request struct {
	Zone   string         // of the node that asks
	Region string         // of its zone; empty: not known
	Tokens int            // that the request will hold on the replica
	Blocks int            // of the prompt, for which prefix hashes are known
	Tried  []api.ServerID // servers on which earlier attempts failed
}

// hasTried tells whether an earlier attempt went to server.
func (r *Request) hasTried(server api.ServerID) bool {
	for _, tried := range r.Tried {
		if tried == server {
			return true
		}
	}
	return false
}

// Usage counts what this node has running on a replica. A maximum of zero means
// that there is no limit.
type Usage struct {
	Requests, MaxRequests int
	Tokens, MaxTokens     int
}

// HasRoom tells whether a request with tokens fits within both limits.
func (u Usage) HasRoom(tokens int) bool {
	if u.MaxRequests > 0 && u.Requests >= u.MaxRequests {
		return false
	}
	return u.MaxTokens <= 0 || u.Tokens+tokens <= u.MaxTokens
}

// Candidate is one replica of the requested model at the time of the decision.
type Candidate struct {
	Server        api.ServerID
	Zone          string
	Region        string // of the zone; empty: not known
	State         api.ReplicaState
	Leaving       bool
	Unreachable   bool // answers neither the owner nor this node
	Ejected       bool
	Share         float64 // of its normal traffic; below 1 after an ejection
	Usage         Usage   // of the model
	BaseUsage     Usage   // of the base model and all its adapters, if the model is an adapter
	Recent        float64 // requests that this node sent to the replica lately, decayed by their age
	ReportedLoad  float64 // requests that others have on the server, decayed by the report's age
	MatchedBlocks int     // leading blocks of the prompt believed to be cached
	AdapterSeen   bool    // the engine's last load report lists the model
	Connected     bool    // an unused connection to the server stands
	Slowness      float64 // of its pace by that of the fastest server; zero: not known
	Affinity      float64 // from 0 to 1: the keeper of the prompt's shared parts, see package affinity
	Lane          float64 // from 0 to 1: how well it fits the request's lane, see package affinity
}

// Filter drops candidates that must not get the request.
type Filter interface {
	Name() string
	Keep(request *Request, candidate *Candidate) bool
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Name() string
	Score(request *Request, candidate *Candidate) float64
}

// Weighted is a scorer and its weight in the sum of scores.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Random is a source of random numbers, such as a *rand.Rand of math/rand/v2.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// Scored is a candidate that passed all filters.
type Scored struct {
	Index int // in the snapshot
	Score float64
	Share float64
}

// Picker takes one of the scored candidates, of which there is at least one,
// and returns its place in the slice. It may reorder the slice.
type Picker interface {
	Pick(random Random, scored []Scored) int
}

// Chooser runs the three steps. It keeps a scratch slice and is therefore not
// safe for concurrent use.
type Chooser struct {
	filters []Filter
	scorers []Weighted
	picker  Picker
	scored  []Scored
}

// NewChooser returns a chooser of the given plug-ins.
func NewChooser(filters []Filter, scorers []Weighted, picker Picker) *Chooser {
	return &Chooser{filters: filters, scorers: scorers, picker: picker}
}

// The weights of the default scorers. What a node did itself weighs more than
// the reported load, which all nodes follow at once; a whole cached prompt
// outweighs half a replica's load; zone and adapter decide between replicas
// that are otherwise alike.
const (
	weightInFlight = 1.0
	weightRecent   = 1.0
	weightReported = 0.6
	weightPrefix   = 1.0
	weightZone     = 0.1
	weightAdapter  = 0.1
)

// NewDefaultChooser returns a chooser with all plug-ins of this package.
func NewDefaultChooser() *Chooser {
	return NewChooser(
		[]Filter{ReadyFilter{}, LeavingFilter{}, ReachableFilter{}, EjectedFilter{}, TriedFilter{}, RoomFilter{}},
		[]Weighted{
			{InFlightScorer{}, weightInFlight},
			{RecentScorer{}, weightRecent},
			{ReportedLoadScorer{}, weightReported},
			{PrefixScorer{}, weightPrefix},
			{ZoneScorer{}, weightZone},
			{AdapterScorer{}, weightAdapter},
		},
		TwoChoicePicker{Margin: DefaultMargin},
	)
}

// Choose returns the index of the candidate that gets the request, and false
// if every candidate was dropped.
func (c *Chooser) Choose(random Random, request *Request, candidates []Candidate) (int, bool) {
	c.scored = c.scored[:0]
	for index := range candidates {
		candidate := &candidates[index]
		if !c.keep(request, candidate) {
			continue
		}
		scored := Scored{Index: index, Score: c.score(request, candidate), Share: candidate.Share}
		c.scored = append(c.scored, scored)
	}
	if len(c.scored) == 0 {
		return 0, false
	}
	return c.scored[c.picker.Pick(random, c.scored)].Index, true
}

func (c *Chooser) keep(request *Request, candidate *Candidate) bool {
	for _, filter := range c.filters {
		if !filter.Keep(request, candidate) {
			return false
		}
	}
	return true
}

func (c *Chooser) score(request *Request, candidate *Candidate) float64 {
	sum := 0.0
	for _, weighted := range c.scorers {
		sum += weighted.Weight * weighted.Scorer.Score(request, candidate)
	}
	return sum
}
