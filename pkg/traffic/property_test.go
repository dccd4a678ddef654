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

// propertySeed makes the property tests reproducible.
const propertySeed = 1407

// meter counts the running requests and tokens of each server and records the last
// violation of a rule.
type meter struct {
	mutex     sync.Mutex
	requests  map[api.ServerID]int
	tokens    map[api.ServerID]int
	violation string
}

func (m *meter) add(server api.ServerID, requests, tokens, maxRequests, maxTokens int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requests[server] += requests
	m.tokens[server] += tokens
	if m.requests[server] > maxRequests || m.tokens[server] > maxTokens {
		m.violation = fmt.Sprintf("%s exceeds its limits with %d requests and %d tokens", server, m.requests[server], m.tokens[server])
	}
}

func (m *meter) fail(format string, arguments ...any) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.violation = fmt.Sprintf(format, arguments...)
}

const (
	meterRequests = 3
	meterTokens   = 100
)

// randomRequest simulates one request that waits, runs, fails or is cancelled at random.
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
			meter.fail("a slot was granted after the deadline")
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
		meter.fail("got error %v, want a refusal", err)
	}
	if time.Now().After(request.Deadline.Add(time.Second)) {
		meter.fail("refused %v after the deadline", time.Since(request.Deadline))
	}
}

// runRandom simulates random requests while the number of replicas changes. It returns the
// recorded violation, empty if there is none.
func runRandom(t *testing.T, seed uint64, maxConcurrency int) string {
	control := newStubControl(t, "max_concurrency", fmt.Sprint(maxConcurrency), "max_tokens", fmt.Sprint(meterTokens),
		"queue_requests", "40")
	meter := &meter{requests: make(map[api.ServerID]int), tokens: make(map[api.ServerID]int)}
	synctest.Test(t, func(*testing.T) {
		control.changed = make(chan struct{})
		router := New(Config{Control: control, Seed: seed})
		defer router.Close()
		var requests sync.WaitGroup
		for index := range uint64(120) {
			requests.Go(func() { randomRequest(router, meter, rand.New(rand.NewPCG(seed, index))) })
		}
		random := rand.New(rand.NewPCG(seed, 1<<32))
		for range 8 {
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			control.publish(readyOn("m", random.IntN(4)))
		}
		requests.Wait()
		if stats := router.Stats(); stats.Running != 0 || stats.Waiting != 0 {
			meter.fail("requests left at the end: %+v", stats)
		}
		for _, pool := range poolsOf(router) {
			for key, usage := range pool.usages {
				if usage.requests != 0 || usage.tokens != 0 {
					meter.fail("slots of %v not released: %+v", key, usage)
				}
			}
		}
	})
	return meter.violation
}

func poolsOf(router *Router) []*pool {
	var pools []*pool
	router.eachPool(func(p *pool) { pools = append(pools, p) })
	return pools
}

// TestLimitsHoldAndPlacesBalance checks for random requests that the limits of each replica
// hold, each request is served by its deadline or refused, and each slot is released.
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

// TestMeterDetectsExceededLimit verifies that the meter detects a router that grants one slot
// too many.
func TestMeterDetectsExceededLimit(t *testing.T) {
	if violation := runRandom(t, propertySeed, meterRequests+1); violation == "" {
		t.Error("no violation recorded; TestLimitsHoldAndPlacesBalance does not test the limits")
	}
}

// TestRetryAfterIsTruthful checks that a request that is refused because of its deadline is
// served when it is repeated after RetryAfter, if no other requests came in between.
func TestRetryAfterIsTruthful(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	refusals := 0
	properties.Property("coming back after RetryAfter is served", prop.ForAll(
		func(waiting, holdMillis, budgetMillis int) bool {
			refused, accepted := repeatAfterRefusal(t, waiting, time.Duration(holdMillis)*time.Millisecond,
				time.Duration(budgetMillis)*time.Millisecond)
			if refused {
				refusals++
			}
			return accepted
		}, gen.IntRange(1, 60), gen.IntRange(10, 500), gen.IntRange(600, 3000)))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", propertySeed)
	}
	if refusals < 10 {
		t.Errorf("only %d cases were refused, want at least 10 to test the property", refusals)
	}
}

// repeatAfterRefusal sends a request behind more urgent ones. If it is refused, it is sent
// again after RetryAfter, and accepted is whether it is served then.
func repeatAfterRefusal(t *testing.T, waiting int, hold, budget time.Duration) (refused, accepted bool) {
	control := newStubControl(t, "max_concurrency", "2")
	accepted = true
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
			accepted = ended.err == nil
		}
		for _, end := range ahead {
			<-end
		}
	})
	return refused, accepted
}
