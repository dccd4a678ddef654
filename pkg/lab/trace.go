package lab

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request of the trace. The trace does not depend on the policy.
type arrival struct {
	at     time.Duration
	model  int
	node   int
	prompt int // tokens
	output int // tokens
	wake   int // index of the wake that it is a first request of; -1 if none
}

// trace holds all requests of a run, in order of time.
type trace struct {
	arrivals []arrival
	wakes    []wake
}

// wake is a time at which an idle model receives a request again.
type wake struct {
	at    time.Duration
	model int
}

// Numbers of a run's independent random streams.
const (
	streamCatalog = iota + 1
	streamTrace
	streamSimulation
	streamFaults
)

// newRandom returns a random stream of a run.
func newRandom(seed uint64, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// generateTrace generates the arrivals of a run.
func generateTrace(scenario *Scenario, models []*model, random *rand.Rand) *trace {
	t := &trace{}
	for _, m := range models {
		generator := traceGenerator{scenario, m, random, t}
		switch m.arrival.Kind {
		case ArrivalPeriodic:
			generator.periodic()
		case ArrivalSessions:
			generator.sessions()
		default:
			generator.steady()
		}
	}
	addSurges(scenario, models, random, t)
	slices.SortStableFunc(t.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	markWakes(scenario, models, t)
	return t
}

// traceGenerator generates the arrivals of one model.
type traceGenerator struct {
	scenario *Scenario
	model    *model
	random   *rand.Rand
	trace    *trace
}

// steady generates a Poisson process whose rate follows the day's curve.
func (t traceGenerator) steady() {
	t.poisson(t.model.rate, func(at time.Duration) { t.request(at) })
}

// sessions generates users who arrive by the day's curve and send several requests each; the first
// requests of a session come as a burst.
func (t traceGenerator) sessions() {
	shape := t.model.arrival
	t.poisson(t.model.rate/float64(shape.Requests), func(at time.Duration) {
		t.burst(at, shape.Burst)
		left := shape.Requests - shape.Burst
		for left > 0 && t.random.Float64() >= 1/float64(left+1) {
			at += t.lognormal(shape.Pause)
			t.request(at)
		}
	})
}

// periodic generates bursts at a fixed period. The period matches the model's rate as far as its
// limits allow.
func (t traceGenerator) periodic() {
	shape := t.model.arrival
	period := time.Duration(float64(shape.Burst) / t.model.rate * float64(time.Second))
	period = min(max(period, shape.ShortestPeriod), shape.LongestPeriod)
	at := time.Duration(t.random.Float64() * float64(period))
	for at < t.scenario.Duration {
		t.burst(at, shape.Burst)
		at += time.Duration(float64(period) * (1 + shape.Jitter*t.random.NormFloat64()))
	}
}

// poisson calls arrive for the times of a Poisson process with the given mean rate over the day.
func (t traceGenerator) poisson(rate float64, arrive func(time.Duration)) {
	day := t.scenario.Services[t.model.service].Day
	peak := slices.Max(day)
	mean := 0.0
	for _, weight := range day {
		mean += weight / float64(len(day))
	}
	at := time.Duration(0)
	for {
		at += time.Duration(t.random.ExpFloat64() / (rate * peak / mean) * float64(time.Second))
		if at >= t.scenario.Duration {
			return
		}
		hour := int(at/time.Hour) % len(day)
		if t.random.Float64()*peak < day[hour] {
			arrive(at)
		}
	}
}

// burst adds requests that arrive within Surges.Window.
func (t traceGenerator) burst(at time.Duration, requests int) {
	for range requests {
		t.request(at + time.Duration(t.random.Float64()*float64(t.scenario.Surges.Window)))
	}
}

// request adds one request at a random node.
func (t traceGenerator) request(at time.Duration) {
	if at >= t.scenario.Duration {
		return
	}
	service := &t.scenario.Services[t.model.service]
	t.trace.arrivals = append(t.trace.arrivals, arrival{
		at:     at,
		model:  t.model.index,
		node:   t.random.IntN(t.scenario.Nodes),
		prompt: t.tokens(service.PromptTokens),
		output: t.tokens(service.OutputTokens),
		wake:   -1,
	})
}

// lognormal returns a random duration with the given median.
func (t traceGenerator) lognormal(median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(t.random.NormFloat64()))
}

// tokens returns a random number of tokens with the given median.
func (t traceGenerator) tokens(median int) int {
	return max(int(float64(median)*math.Exp(t.random.NormFloat64()*0.7)), 1)
}

// addSurges generates the surges, at which many models receive requests at once.
func addSurges(scenario *Scenario, models []*model, random *rand.Rand, t *trace) {
	days := scenario.Duration.Hours() / hoursPerDay
	for range int(math.Round(scenario.Surges.PerDay * days)) {
		at := time.Duration(random.Float64() * float64(scenario.Duration))
		for _, index := range random.Perm(len(models))[:min(scenario.Surges.Models, len(models))] {
			traceGenerator{scenario, models[index], random, t}.burst(at, scenario.Surges.Requests)
		}
	}
}

// markWakes marks the first requests of models that were idle. All models are idle at the start of
// the run.
func markWakes(scenario *Scenario, models []*model, t *trace) {
	last := make([]time.Duration, len(models))
	current := make([]int, len(models))
	for i := range models {
		last[i] = -scenario.FirstRequests.Idle
		current[i] = -1
	}
	for i := range t.arrivals {
		a := &t.arrivals[i]
		if a.at-last[a.model] >= scenario.FirstRequests.Idle {
			current[a.model] = len(t.wakes)
			t.wakes = append(t.wakes, wake{a.at, a.model})
		}
		last[a.model] = a.at
		if a.at-t.wakes[current[a.model]].at <= scenario.FirstRequests.Window {
			a.wake = current[a.model]
		}
	}
}
