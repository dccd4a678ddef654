// Package routing chooses the replica for a request from an immutable snapshot
// of candidates in three steps: filters drop the candidates that must not be
// used, scorers rate the rest, and a picker takes one of them. Each step is a
// small interface with one plug-in per file.
//
// The package reads no clock and shares no state: the caller fills in the candidates
// with its current knowledge.
package routing

import "martenwheel.dev/pkg/api"

// Request holds the properties of a request that the plug-ins need.
type Request struct {
	Zone   string         // zone of this node
	Region string         // region of the zone; empty: unknown
	Tokens int            // number of tokens that the request will hold on the replica
	Blocks int            // number of leading blocks of the prompt with known prefix hashes
	Tried  []api.ServerID // servers on which earlier attempts failed
}

// hasTried reports whether an earlier attempt went to the server.
func (r *Request) hasTried(server api.ServerID) bool {
	for _, tried := range r.Tried {
		if tried == server {
			return true
		}
	}
	return false
}

// Usage counts the running requests of this node on a replica, and their tokens. A
// maximum of zero means that there is no limit.
type Usage struct {
	Requests, MaxRequests int
	Tokens, MaxTokens     int
}

// HasRoom reports whether another request with the given number of tokens is within both limits.
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
	Region        string // region of the zone; empty: unknown
	State         api.ReplicaState
	Leaving       bool
	Unreachable   bool // whether it answers neither the owner nor this node
	Ejected       bool
	Share         float64 // share of its normal traffic; below 1 after an ejection
	Usage         Usage   // usage by the model
	BaseUsage     Usage   // usage by the base model and all its adapters, if the model is an adapter
	Recent        float64 // requests that this node sent to the replica, decayed by their age
	ReportedLoad  float64 // requests of other nodes on the server, decayed by the report's age
	MatchedBlocks int     // leading blocks of the prompt believed to be cached
	AdapterSeen   bool    // whether the engine's last load report lists the model
	Connected     bool    // whether an idle connection to the server is open
	Slowness      float64 // speed of the fastest server divided by the server's; zero: unknown
	Affinity      float64 // from 0 to 1: affinity of the prompt's shared parts to the server, see package affinity
	Lane          float64 // from 0 to 1: how well it fits the request's lane (short or long prompts), see package affinity
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
	Index int // index of the candidate in the snapshot
	Score float64
	Share float64
}

// Picker takes one of the scored candidates, of which there is at least one, and returns
// its index in the slice. It may reorder the slice.
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

// NewChooser returns a chooser with the given plug-ins.
func NewChooser(filters []Filter, scorers []Weighted, picker Picker) *Chooser {
	return &Chooser{filters: filters, scorers: scorers, picker: picker}
}

// Weights of the default scorers. A node's own requests weigh more than the reported
// load, to which all nodes react at once. A whole cached prompt outweighs half a
// replica's load. Zone and adapter only decide between replicas that are otherwise alike.
const (
	weightInFlight = 1.0
	weightRecent   = 1.0
	weightReported = 0.6
	weightPrefix   = 1.0
	weightZone     = 0.1
	weightAdapter  = 0.1
)

// NewDefaultChooser returns a chooser with the default plug-ins of this package.
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

// Choose returns the index of the candidate that gets the request; false if the filters
// dropped every candidate.
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
