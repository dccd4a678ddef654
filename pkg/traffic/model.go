package traffic

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/prefixcache"
	"martenwheel.dev/pkg/traffic/routing"
	"martenwheel.dev/pkg/tree"
)

// usage counts what this node has running on a replica.
type usage struct {
	requests, tokens int
	recent           float64 // requests sent lately, as of recentAt
	recentAt         time.Time
}

// recentHalfLife is the age at which a request that was sent counts half.
const recentHalfLife = 5 * time.Second

func (u *usage) add(now time.Time, tokens int) {
	u.requests++
	u.tokens += tokens
	u.recent = u.recentBy(now) + 1
	u.recentAt = now
}

// recentBy returns the requests sent lately, decayed to now.
func (u *usage) recentBy(now time.Time) float64 {
	if u.recent == 0 {
		return 0
	}
	return decay(u.recent, now.Sub(u.recentAt), recentHalfLife)
}

func (u *usage) remove(tokens int) {
	u.requests--
	u.tokens -= tokens
}

func (u *usage) within(settings *tree.Settings) routing.Usage {
	return routing.Usage{
		Requests: u.requests, MaxRequests: settings.MaxConcurrency,
		Tokens: u.tokens, MaxTokens: settings.MaxTokens,
	}
}

// replica is a replica of a model with what this node knows of it.
type replica struct {
	api.Replica
	view      api.ServerView
	server    *server
	usage     *usage // of the model
	baseUsage *usage // of the base model and its adapters; nil for a base model
}

// serves tells whether the replica is ready and its server stays and answers.
func (r *replica) serves(now time.Time) bool {
	stays := !r.view.Leaving && r.server.leaving.Load() == nil
	return r.State == api.ReplicaReady && stays && !r.server.unreachable(now, r.view)
}

// modelState is what a pool holds of one of its models.
type modelState struct {
	name         api.ModelName
	seed         prefixcache.Seed
	model        tree.Model
	baseSettings tree.Settings // if the model is an adapter
	replicas     []replica
	candidates   []routing.Candidate // scratch, parallel to replicas
	pace         pace
	budget       retryBudget
	answer       ownerAnswer
	demand       demand
	counters     counters
	comparedAt   time.Time // when the servers' success rates were last compared
}

func newModelState(model tree.Model) *modelState {
	return &modelState{name: model.Name, seed: prefixcache.ModelSeed(model.Name)}
}

// anyServes tells whether a replica serves.
func (s *modelState) anyServes(now time.Time) bool {
	for index := range s.replicas {
		if s.replicas[index].serves(now) {
			return true
		}
	}
	return false
}

// loadedAt returns the earliest estimate of the owner's view for a replica that
// is being loaded, or zero.
func (s *modelState) loadedAt() time.Time {
	var earliest time.Time
	for index := range s.replicas {
		loading := &s.replicas[index]
		if loading.State != api.ReplicaLoading || loading.ReadyBy.IsZero() {
			continue
		}
		if earliest.IsZero() || loading.ReadyBy.Before(earliest) {
			earliest = loading.ReadyBy
		}
	}
	return earliest
}

// ownerAnswer is the owner's last word on a model that is not ready, and when
// this node first heard it.
type ownerAnswer struct {
	estimate api.LoadEstimate
	heardAt  time.Time
	wanted   bool // the owner once accepted, in the present spell without a replica
}

// answerWindow is the time that an owner is given to answer before its last
// answer is taken to stand.
const answerWindow = time.Second

// hear takes in the owner's last word.
func (a *ownerAnswer) hear(now time.Time, estimate api.LoadEstimate) {
	if estimate != a.estimate || a.heardAt.IsZero() {
		a.estimate = estimate
		a.heardAt = now
	}
	a.wanted = a.wanted || estimate.Accepted
}

// rejection returns how long the owner's refusal still stands. A refusal that
// has run out is asked for again, and stands once more if asking changes
// nothing.
func (a *ownerAnswer) rejection(now, askedAt time.Time) (time.Duration, bool) {
	if a.heardAt.IsZero() || a.estimate.Accepted {
		return 0, false
	}
	validFor := max(a.estimate.RetryAfter, answerWindow)
	if askedAt.After(a.heardAt.Add(validFor)) && now.Sub(askedAt) >= answerWindow {
		a.heardAt = now
	}
	left := a.heardAt.Add(validFor).Sub(now)
	return left, left > 0
}
