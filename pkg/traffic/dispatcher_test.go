package traffic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// stubControl is the control side of a test: a directory and settings that the
// test replaces, and the demand that was reported.
type stubControl struct {
	directory *Directory
	changed   chan struct{}
	reports   []api.ModelDemand
}

func newStubControl(directory *Directory) *stubControl {
	return &stubControl{directory: directory, changed: make(chan struct{})}
}

func (c *stubControl) Tree() (*tree.Tree, tree.Revision) { return &tree.Tree{}, 1 }
func (c *stubControl) Directory() *Directory             { return c.directory }
func (c *stubControl) Changed() <-chan struct{}          { return c.changed }
func (c *stubControl) Report(demand api.ModelDemand)     { c.reports = append(c.reports, demand) }
func (c *stubControl) Estimate(api.ModelName) (api.LoadEstimate, bool) {
	return api.LoadEstimate{}, false
}

func lookupAny(_ *tree.Tree, name api.ModelName) (tree.Model, bool) {
	return tree.Model{Name: name, Settings: tree.Settings{MaxConcurrency: 1}}, name != "missing"
}

func TestAcquireTakesFreeReplicaAndRefusesAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := &Directory{
			Servers:  map[api.ServerID]api.ServerView{"s1": {ID: "s1", Address: "127.0.0.1:1"}},
			Replicas: map[api.ModelName][]api.Replica{"m": {{Model: "m", Server: "s1", State: api.ReplicaReady}}},
		}
		router := New(Config{Control: newStubControl(directory), Lookup: lookupAny})
		request := Request{Model: "m", Deadline: time.Now().Add(time.Second)}
		grant, err := router.Acquire(context.Background(), request)
		if err != nil {
			t.Fatal(err)
		}
		_, err = router.Acquire(context.Background(), request)
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.Reason != ReasonDeadline || !refusal.NotRun {
			t.Fatalf("second request: %v, want a refusal by deadline", err)
		}
		grant.Done(Outcome{Kind: OutcomeServed})
	})
}
