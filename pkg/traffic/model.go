package traffic

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic/prefixcache"
	"martenwheel.dev/pkg/traffic/routing"
	"martenwheel.dev/pkg/tree"
)

// usage counts the requests of this node on a replica.
type usage struct {
	requests, tokens int       // running now
	recent           float64   // number of requests sent, decayed by their age at recentAt
	recentAt         time.Time // when recent was last updated
}

// recentHalfLife is the half-life of a sent request in usage.recent.
const recentHalfLife = 5 * time.Second

func (u *usage) add(now time.Time, tokens int) {
	u.requests++
	u.tokens += tokens
	u.recent = u.recentBy(now) + 1
	u.recentAt = now
}

// recentBy returns the number of requests sent, decayed by their age at now.
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

func (u *usage) routingUsage(settings *tree.Settings) routing.Usage {
	return routing.Usage{
		Requests: u.requests, MaxRequests: settings.MaxConcurrency,
		Tokens: u.tokens, MaxTokens: settings.MaxTokens,
	}
}

// replica is a replica of a model with the state that this node keeps about it.
type replica struct {
	api.Replica
	view      api.ServerView
	server    *server
	usage     *usage // usage by the model
	baseUsage *usage // usage by the base model and all its adapters; nil for a base model
}

// serves reports whether the replica is ready and its server is reachable and not
// leaving.
func (r *replica) serves(now time.Time) bool {
	stays := !r.view.Leaving && r.server.leaving.Load() == nil
	return r.State == api.ReplicaReady && stays && !r.server.unreachable(now, r.view)
}

// modelState is the state of a model in its pool.
type modelState struct {
	name         api.ModelName
	seed         prefixcache.Seed
	model        tree.Model
	baseSettings tree.Settings // settings of the base, if the model is an adapter
	replicas     []replica
	candidates   []routing.Candidate // scratch space, parallel to replicas
	throughput   throughput
	budget       retryBudget
	answer       ownerAnswer
	demand       demand
	counters     counters
	comparedAt   time.Time // when the servers' success rates were last compared
}

func newModelState(model tree.Model) *modelState {
	return &modelState{name: model.Name, seed: prefixcache.ModelSeed(model.Name)}
}

// anyServes reports whether any replica serves.
func (s *modelState) anyServes(now time.Time) bool {
	for index := range s.replicas {
		if s.replicas[index].serves(now) {
			return true
		}
	}
	return false
}

// nextReadyAt returns the earliest time at which a replica that is being loaded is expected
// to be ready, as the directory gives it, or zero.
func (s *modelState) nextReadyAt() time.Time {
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

// ownerAnswer is the owner's latest answer about a model that is not ready.
type ownerAnswer struct {
	estimate   api.LoadEstimate
	receivedAt time.Time // when this node first received the estimate, or renewed it
	accepted   bool      // whether the owner accepted the load in the current period without a replica
}

// answerWindow is how long the owner has to answer a new report before its previous
// rejection is taken to be still valid.
const answerWindow = time.Second

// update records the owner's latest answer.
func (a *ownerAnswer) update(now time.Time, estimate api.LoadEstimate) {
	if estimate != a.estimate || a.receivedAt.IsZero() {
		a.estimate = estimate
		a.receivedAt = now
	}
	a.accepted = a.accepted || estimate.Accepted
}

// rejection returns how long the owner's rejection is still valid; false if it is not.
// After a rejection expires, the next request asks the owner again. If the answer is
// unchanged after answerWindow, the rejection is valid for another period.
func (a *ownerAnswer) rejection(now, askedAt time.Time) (time.Duration, bool) {
	if a.receivedAt.IsZero() || a.estimate.Accepted {
		return 0, false
	}
	validFor := max(a.estimate.RetryAfter, answerWindow)
	if askedAt.After(a.receivedAt.Add(validFor)) && now.Sub(askedAt) >= answerWindow {
		a.receivedAt = now
	}
	left := a.receivedAt.Add(validFor).Sub(now)
	return left, left > 0
}
