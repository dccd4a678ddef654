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

// stubControl is the control side of a test, which sets what it says.
type stubControl struct {
	mutex     sync.Mutex
	tree      *tree.Tree
	directory *Directory
	estimates map[api.ModelName]api.LoadEstimate
	changed   chan struct{}
	reports   []api.ModelDemand
}

// newStubControl returns a control side with the model /desk/llama/m and the
// settings "path key=value".
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

// publish replaces the directory and tells of it.
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

// readyOn returns ready replicas of a model on servers s0, s1 and so on.
func readyOn(model api.ModelName, count int) *Directory {
	replicas := make([]api.Replica, count)
	for index := range replicas {
		server := api.ServerID(fmt.Sprintf("s%d", index))
		replicas[index] = api.Replica{Model: model, Server: server, State: api.ReplicaReady}
	}
	return makeDirectory(replicas...)
}

// virtually runs a test under virtual time with a router.
func virtually(t *testing.T, config Config, test func(t *testing.T, router *Router)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		config.Control.(*stubControl).changed = make(chan struct{}) // of the bubble
		router := New(config)
		defer router.Close()
		test(t, router)
	})
}

// ask makes a request of caller c for model m with a deadline from now.
func ask(within time.Duration) Request {
	now := time.Now()
	return Request{Model: "m", Caller: "c", Arrived: now, Deadline: now.Add(within), PromptTokens: 10}
}

// mustAcquire fails the test if the request gets no place.
func mustAcquire(t testing.TB, router *Router, request Request) Grant {
	t.Helper()
	granted, err := router.Acquire(context.Background(), request)
	if err != nil {
		t.Fatalf("request: %v, want a grant", err)
	}
	return granted
}

// refusalOf fails the test if err is not a refusal with reason.
func refusalOf(t testing.TB, err error, reason RefusalReason) *Refusal {
	t.Helper()
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("error %v, want a refusal (%s)", err, reason)
	}
	if refusal.Reason != reason {
		t.Fatalf("%v, want reason %s", refusal, reason)
	}
	return refusal
}

// result is the end of an Acquire that runs beside the test.
type result struct {
	grant Grant
	err   error
	at    time.Time
}

// acquireLater runs Acquire beside the test.
func acquireLater(ctx context.Context, router *Router, request Request) <-chan result {
	ended := make(chan result, 1)
	go func() {
		granted, err := router.Acquire(ctx, request)
		ended <- result{granted, err, time.Now()}
	}()
	return ended
}

// serveLater runs a request beside the test and serves it for a time.
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
