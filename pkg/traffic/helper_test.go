package traffic

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// stubControl is a Control whose answers are set by the test.
type stubControl struct {
	mutex     sync.Mutex
	tree      *tree.Tree
	directory *Directory
	estimates map[api.ModelName]api.LoadEstimate
	changed   chan struct{}
	reports   []api.ModelDemand
}

// newStubControl returns a control plane with the model /desk/llama/m, its adapter
// /desk/llama/m/a and the model /pumps/llama/p. The settings are pairs of a key and a value
// that are set for the service /desk.
func newStubControl(t testing.TB, settings ...string) *stubControl {
	t.Helper()
	control := &stubControl{
		directory: makeDirectory(),
		estimates: make(map[api.ModelName]api.LoadEstimate),
		changed:   make(chan struct{}),
	}
	edits := []tree.Edit{
		{Path: "/desk/llama/m", Key: "checkpoint", Value: "m"},
		{Path: "/desk/llama/m", Key: "memory", Value: "1GiB"},
		{Path: "/desk/llama/m/a", Key: "priority", Value: "0"},
		{Path: "/pumps/llama/p", Key: "memory", Value: "1GiB"},
	}
	for index := 0; index+1 < len(settings); index += 2 {
		edits = append(edits, tree.Edit{Path: "/desk", Key: settings[index], Value: settings[index+1]})
	}
	changed, err := tree.Empty().Apply(tree.Change{ID: "test", Edits: edits})
	if err != nil {
		t.Fatal(err)
	}
	control.tree = changed
	return control
}

func (c *stubControl) Tree() (*tree.Tree, tree.Revision) { return c.tree, c.tree.Revision() }

func (c *stubControl) Directory() *Directory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.directory
}

func (c *stubControl) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

func (c *stubControl) Report(demand api.ModelDemand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reports = append(c.reports, demand)
}

func (c *stubControl) Estimate(model api.ModelName) (api.LoadEstimate, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	estimate, known := c.estimates[model]
	return estimate, known
}

// reported returns the demand reports so far.
func (c *stubControl) reported() []api.ModelDemand {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]api.ModelDemand(nil), c.reports...)
}

// publish replaces the directory and announces the change.
func (c *stubControl) publish(directory *Directory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.directory = directory
	close(c.changed)
	c.changed = make(chan struct{})
}

// answer sets the owner's estimate for a model.
func (c *stubControl) answer(estimate api.LoadEstimate) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.estimates[estimate.Model] = estimate
}

func makeDirectory(replicas ...api.Replica) *Directory {
	directory := &Directory{
		Replicas: make(map[api.ModelName][]api.Replica),
		Servers:  make(map[api.ServerID]api.ServerView),
	}
	for _, replica := range replicas {
		directory.Replicas[replica.Model] = append(directory.Replicas[replica.Model], replica)
		directory.Servers[replica.Server] = api.ServerView{
			ID: replica.Server, Address: "127.0.0.1:1", Zone: "a", Reachable: true,
		}
	}
	return directory
}

// readyOn returns a directory with ready replicas of a model on the servers s0, s1 and so
// on.
func readyOn(model api.ModelName, count int) *Directory {
	replicas := make([]api.Replica, count)
	for index := range replicas {
		server := api.ServerID(fmt.Sprintf("s%d", index))
		replicas[index] = api.Replica{Model: model, Server: server, State: api.ReplicaReady}
	}
	return makeDirectory(replicas...)
}

// inVirtualTime runs a test with a router in virtual time.
func inVirtualTime(t *testing.T, config Config, test func(t *testing.T, router *Router)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config.Control.(*stubControl).changed = make(chan struct{}) // must be made in the synctest bubble
		router := New(config)
		defer router.Close()
		test(t, router)
	})
}

// ask returns a request of caller c for model m with the given time until its deadline.
func ask(within time.Duration) Request {
	now := time.Now()
	return Request{Model: "m", Caller: "c", Arrived: now, Deadline: now.Add(within), PromptTokens: 10}
}

// mustAcquire acquires a slot and fails the test if the request is refused.
func mustAcquire(t testing.TB, router *Router, request Request) Grant {
	t.Helper()
	granted, err := router.Acquire(context.Background(), request)
	if err != nil {
		t.Fatalf("got error %v, want a grant", err)
	}
	return granted
}

// refusalOf returns the refusal in err and fails the test if it is not one with the reason.
func refusalOf(t testing.TB, err error, reason RefusalReason) *Refusal {
	t.Helper()
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got error %v, want a refusal (%s)", err, reason)
	}
	if refusal.Reason != reason {
		t.Fatalf("got %v, want reason %s", refusal, reason)
	}
	return refusal
}

// result is the result of an Acquire in another goroutine.
type result struct {
	grant Grant
	err   error
	at    time.Time
}

// acquireLater runs Acquire in another goroutine.
func acquireLater(ctx context.Context, router *Router, request Request) <-chan result {
	ended := make(chan result, 1)
	go func() {
		granted, err := router.Acquire(ctx, request)
		ended <- result{granted, err, time.Now()}
	}()
	return ended
}

// serveLater acquires a slot in another goroutine and releases it after the time hold.
func serveLater(router *Router, request Request, hold time.Duration) <-chan result {
	ended := make(chan result, 1)
	go func() {
		granted, err := router.Acquire(context.Background(), request)
		at := time.Now()
		if err == nil {
			time.Sleep(hold)
			granted.Done(served(hold))
		}
		ended <- result{granted, err, at}
	}()
	return ended
}

func served(after time.Duration) Outcome {
	return Outcome{Kind: OutcomeServed, FirstToken: after, Tokens: 1}
}
