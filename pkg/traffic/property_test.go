package traffic

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// propertySeed makes the properties draw the same cases in each run.
const propertySeed = 1407

// meter counts what runs on each server and remembers the first breach.
type meter struct {
	mutex    sync.Mutex
	requests map[api.ServerID]int
	tokens   map[api.ServerID]int
	breach   string
}

func (m *meter) add(server api.ServerID, requests, tokens, maxRequests, maxTokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[server] += requests
	m.tokens[server] += tokens
	if m.requests[server] > maxRequests || m.tokens[server] > maxTokens {
		m.breach = fmt.Sprintf("%s holds %d requests and %d tokens", server, m.requests[server], m.tokens[server])
	}
}

func (m *meter) fail(format string, arguments ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.breach = fmt.Sprintf(format, arguments...)
}

const (
	meterRequests = 3
	meterTokens   = 100
)

// randomRequest plays one request: it waits, runs, fails or leaves at random.
func randomRequest(router *Router, meter *meter, random *rand.Rand) {
	time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	request := ask(time.Duration(50+random.IntN(3000)) * time.Millisecond)
	request.Caller = fmt.Sprint(random.IntN(5))
	request.Priority = random.IntN(3)
	request.PromptTokens = 1 + random.IntN(60)
	request.Unsafe = random.IntN(2) == 0
	ctx, leave := context.WithTimeout(context.Background(), time.Duration(random.IntN(5000))*time.Millisecond)
	defer leave()
	granted, err := router.Acquire(ctx, request)
	for err == nil {
		tokens := request.PromptTokens
		server := granted.Target().Server
		if time.Now().After(request.Deadline) {
			meter.fail("a place after the deadline")
		}
		meter.add(server, 1, tokens, meterRequests, meterTokens)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		meter.add(server, -1, -tokens, meterRequests, meterTokens)
		if random.IntN(4) > 0 {
			granted.Done(served(time.Millisecond))
			return
		}
		kind := OutcomeKind(1 + random.IntN(4))
		granted, err = granted.Retry(ctx, Outcome{Kind: kind})
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		meter.fail("ended with %v, which is no refusal", err)
	}
	if time.Now().After(request.Deadline.Add(time.Second)) {
		meter.fail("refused %v after the deadline", time.Since(request.Deadline))
	}
}

// runRandom plays random requests while replicas come and go. It returns the
// first breach.
func runRandom(t *testing.T, seed uint64, maxConcurrency int) string {
	control := newStubControl(t, "max_concurrency", fmt.Sprint(maxConcurrency), "max_tokens", fmt.Sprint(meterTokens),
		"queue_requests", "40")
	meter := &meter{requests: make(map[api.ServerID]int), tokens: make(map[api.ServerID]int)}
	synctest.Test(t, func(*testing.T) {
		control.changed = make(chan struct{})
		router := New(Config{Control: control, Seed: seed})
		defer router.Close()
		var players sync.WaitGroup
		for player := range uint64(120) {
			players.Go(func() { randomRequest(router, meter, rand.New(rand.NewPCG(seed, player))) })
		}
		random := rand.New(rand.NewPCG(seed, 1<<32))
		for range 8 {
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			control.publish(readyOn("m", random.IntN(4)))
		}
		players.Wait()
		if stats := router.Stats(); stats.Running != 0 || stats.Waiting != 0 {
			meter.fail("left over: %+v", stats)
		}
		for _, pool := range poolsOf(router) {
			for key, usage := range pool.usages {
				if usage.requests != 0 || usage.tokens != 0 {
					meter.fail("places of %v not given back: %+v", key, usage)
				}
			}
		}
	})
	return meter.breach
}

func poolsOf(router *Router) []*pool {
	var pools []*pool
	router.eachPool(func(p *pool) { pools = append(pools, p) })
	return pools
}

// Whatever happens, the limits of each replica hold, each request is served by
// its deadline or refused, and each place is given back.
func TestLimitsHoldAndPlacesBalance(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("limits and balance", prop.ForAll(func(seed uint64) string {
		return runRandom(t, seed, meterRequests)
	}, gen.UInt64()))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", propertySeed)
	}
}

// The meter notices a router that gives out one place too many.
func TestMeterNoticesOneTooMany(t *testing.T) {
	if breach := runRandom(t, propertySeed, meterRequests+1); breach == "" {
		t.Error("no breach; TestLimitsHoldAndPlacesBalance proves nothing")
	}
}

// Whoever is refused for the deadline and comes back after RetryAfter, when
// nobody else has come, is not refused again.
func TestRetryAfterIsTruthful(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	refusals := 0
	properties.Property("coming back after RetryAfter is served", prop.ForAll(
		func(waiting, holdMillis, budgetMillis int) bool {
			refused, kept := comesBack(t, waiting, time.Duration(holdMillis)*time.Millisecond,
				time.Duration(budgetMillis)*time.Millisecond)
			if refused {
				refusals++
			}
			return kept
		}, gen.IntRange(1, 60), gen.IntRange(10, 500), gen.IntRange(600, 3000)))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", propertySeed)
	}
	if refusals < 10 {
		t.Errorf("only %d cases were refused; the property proves nothing", refusals)
	}
}

// comesBack sends a request behind others that go first, and once more after
// RetryAfter if it is refused.
func comesBack(t *testing.T, waiting int, hold, budget time.Duration) (refused, kept bool) {
	control := newStubControl(t, "max_concurrency", "2")
	kept = true
	synctest.Test(t, func(t *testing.T) {
		control.changed = make(chan struct{})
		router := New(Config{Control: control})
		defer router.Close()
		control.publish(readyOn("m", 1))
		<-serveLater(router, ask(time.Hour), hold)
		var ahead []<-chan result
		for range waiting {
			first := ask(time.Hour)
			first.Priority = 1
			ahead = append(ahead, serveLater(router, first, hold))
		}
		synctest.Wait()
		ended := <-serveLater(router, ask(budget), hold)
		if ended.err != nil {
			refused = true
			refusal := refusalOf(t, ended.err, ReasonDeadline)
			time.Sleep(refusal.RetryAfter)
			ended = <-serveLater(router, ask(budget), hold)
			kept = ended.err == nil
		}
		for _, end := range ahead {
			<-end
		}
	})
	return refused, kept
}
