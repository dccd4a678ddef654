package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/traffic"
)

// unsafeRequest returns the options of a request that must not run twice.
func unsafeRequest(key string) []option.RequestOption {
	return []option.RequestOption{
		option.WithHeader("X-Unsafe-To-Repeat", "true"),
		option.WithHeader("Idempotency-Key", key),
	}
}

// askUnsafeUntilServed retries an unsafe request under its idempotency key until it is answered. A
// failed attempt must be an API error, but its outcome may be unknown: the key makes the retry
// safe.
func askUnsafeUntilServed(t *testing.T, node *nodeProcess, key string) {
	deadline := time.Now().Add(waitTimeout)
	for {
		_, err := tryUnstreamed(t.Context(), node, "glaze-7b", unsafeRequest(key)...)
		if err == nil {
			return
		}
		if refusal, _ := refusalOf(err); refusal == nil {
			t.Errorf("key %s at %s: %v", key, node.id, err)
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("key %s at %s: not answered within %s: %v", key, node.id, waitTimeout, err)
			return
		}
		time.Sleep(5 * waitPoll)
	}
}

// wantKeysRunOnce sends the requests of several new keys through all nodes at once. Every caller
// must get an answer, and each key must run once.
func (c *cluster) wantKeysRunOnce(t *testing.T, nodes []*nodeProcess, prefix string) {
	t.Helper()
	const keys = 15
	callers := pool.New()
	for i := range keys {
		for _, node := range nodes {
			callers.Go(func() { askUnsafeUntilServed(t, node, fmt.Sprintf("%s-%d", prefix, i)) })
		}
	}
	callers.Wait()
	for i := range keys {
		key := fmt.Sprintf("%s-%d", prefix, i)
		if count := c.executionsOf(t, key); count != 1 {
			t.Errorf("key %s ran %d times", key, count)
		}
	}
}

// executionsOf counts how often the engines started the request with a key.
func (c *cluster) executionsOf(t *testing.T, key string) int {
	t.Helper()
	count := 0
	for _, e := range c.engines {
		count += getJSON[map[string]int](t, e.Address, standin.PathExecuted)[key]
	}
	return count
}

// TestUnsafeRunsOnce sends unsafe requests with the same keys through all nodes at once: in normal
// operation, with the table service down, and then also with one node, and so one keeper of claims,
// killed.
func TestUnsafeRunsOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	askUntilServed(t, c.nodes[0], "glaze-7b")
	c.wantKeysRunOnce(t, c.nodes, "well")
	setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{Refuse: true})
	c.wantKeysRunOnce(t, c.nodes, "no-table")
	c.nodes[2].kill()
	c.wantKeysRunOnce(t, c.nodes[:2], "no-table-no-keeper")
}

// TestUnsafeNodeDiesMidway kills the node that relays a running unsafe request. Retries through
// another node must not run it again, also after the quorum group has replaced the dead keeper.
func TestUnsafeNodeDiesMidway(t *testing.T) {
	t.Parallel()
	const key = "pump-7"
	c := startClusterWith(t, options{tree: doubleTree})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	caller := pool.New()
	caller.Go(func() {
		request := append(unsafeRequest(key), option.WithJSONSet("max_tokens", 4000))
		_, _ = tryUnstreamed(t.Context(), c.nodes[0], "glaze-7b", request...) // fails because its node is killed
	})
	waitFor(t, "the request runs", func() bool { return c.executionsOf(t, key) == 1 })
	c.nodes[0].kill()
	caller.Wait()
	c.wantNeverServedAgain(t, c.nodes[1], key, 5)
	c.replaceNode(t, c.nodes[0])
	c.wantNeverServedAgain(t, c.nodes[0], key, 5)
	c.wantNeverServedAgain(t, c.nodes[2], key, 5)
	if count := c.executionsOf(t, key); count != 1 {
		t.Errorf("key %s ran %d times", key, count)
	}
}

// wantNeverServedAgain retries a key whose outcome is unknown. No answer may claim that the request
// ran now, or that it never ran.
func (c *cluster) wantNeverServedAgain(t *testing.T, node *nodeProcess, key string, times int) {
	t.Helper()
	for range times {
		request := append(unsafeRequest(key), option.WithJSONSet("max_tokens", 4000))
		_, err := tryUnstreamed(t.Context(), node, "glaze-7b", request...)
		refusal, _ := refusalOf(err)
		if refusal == nil {
			t.Errorf("repeat of %s at %s: %v, want an API error", key, node.id, err)
			return
		}
		unavailable := refusal.StatusCode == http.StatusServiceUnavailable && notRun(err) // allowed while the keepers abstain from granting claims
		if refusal.StatusCode != http.StatusConflict && !unavailable {
			t.Errorf("repeat of %s at %s: %v, want status 409", key, node.id, err)
		}
		time.Sleep(waitPoll)
	}
}

// TestUnsafeNodeFreezesBeforeDispatch freezes a node after its claim on a key was granted but
// before the request is sent, because the model is busy. Retries through another node must not run
// it; the frozen node resumes later and runs it at most once.
func TestUnsafeNodeFreezesBeforeDispatch(t *testing.T) {
	t.Parallel()
	const key = "valve-3"
	c := startClusterWith(t, options{tree: narrowTree})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	streamContext, cancelStream := context.WithCancel(t.Context())
	defer cancelStream()
	finishStream := beginStream(streamContext, t, c.nodes[0], 8000)
	caller := pool.New()
	var answered atomic.Bool
	caller.Go(func() {
		_, err := tryUnstreamed(t.Context(), c.nodes[0], "glaze-7b", unsafeRequest(key)...)
		answered.Store(err == nil)
	})
	waitFor(t, "the request is queued", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") == 1 })
	c.nodes[0].freeze()
	for range 10 {
		if _, err := tryUnstreamed(t.Context(), c.nodes[1], "glaze-7b", unsafeRequest(key)...); err == nil {
			t.Error("the key was served through another node while the first node holds the claim")
		} else if refusal, _ := refusalOf(err); refusal == nil || refusal.Code != string(traffic.ReasonKeyInUse) {
			t.Errorf("repeat: %v, want an error that the key is in use", refusal.RawJSON())
		}
	}
	if count := c.executionsOf(t, key); count != 0 {
		t.Errorf("key %s ran %d times while its request was queued", key, count)
	}
	c.nodes[0].resume()
	cancelStream()
	_ = finishStream() // cancelled above
	caller.Wait()
	askUnsafeUntilServed(t, c.nodes[1], key)
	if count := c.executionsOf(t, key); count != 1 {
		t.Errorf("key %s ran %d times (answered at first: %t)", key, count, answered.Load())
	}
}
