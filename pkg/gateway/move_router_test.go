package gateway

import (
	"context"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// fixedControl is a traffic.Router's control interface with one model, ready on
// the given engines.
type fixedControl struct {
	tree      *tree.Tree
	directory *traffic.Directory
}

func newFixedControl(t *testing.T, servers map[api.ServerID]*standin.EngineServer) *fixedControl {
	t.Helper()
	settings, err := tree.Empty().Apply(tree.Change{ID: "test", Edits: []tree.Edit{
		{Path: "/assistant/base/" + glaze, Key: "checkpoint", Value: glaze},
		{Path: "/assistant/base/" + glaze, Key: "memory", Value: "1GiB"},
		{Path: "/assistant", Key: "drain_time", Value: "0s"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	directory := &traffic.Directory{Replicas: map[api.ModelName][]api.Replica{}, Servers: map[api.ServerID]api.ServerView{}}
	for id, server := range servers {
		directory.Replicas[glaze] = append(directory.Replicas[glaze], api.Replica{Model: glaze, Server: id, State: api.ReplicaReady})
		directory.Servers[id] = api.ServerView{ID: id, Address: server.Address(), Reachable: true}
	}
	return &fixedControl{tree: settings, directory: directory}
}

func (c *fixedControl) Tree() (*tree.Tree, tree.Revision) { return c.tree, c.tree.Revision() }
func (c *fixedControl) Directory() *traffic.Directory     { return c.directory }
func (c *fixedControl) Changed() <-chan struct{}          { return nil }
func (c *fixedControl) Report(api.ModelDemand)            {}
func (c *fixedControl) Estimate(api.ModelName) (api.LoadEstimate, bool) {
	return api.LoadEstimate{}, false
}

// leavingRouter is a router that learns that the engine of a request is leaving,
// immediately after it granted the request there.
type leavingRouter struct {
	*traffic.Router
	leavingServer api.ServerID
}

func (l *leavingRouter) Acquire(ctx context.Context, request traffic.Request) (traffic.Grant, error) {
	granted, err := l.Router.Acquire(ctx, request)
	if err == nil {
		l.leavingServer = granted.Target().Server
		l.ObserveLeaving(l.leavingServer, "one")
	}
	return granted, err
}

// TestMoveByRouter checks with the grants of the real router that a stream on a
// leaving engine is completed at the other one.
func TestMoveByRouter(t *testing.T) {
	servers := map[api.ServerID]*standin.EngineServer{"server-1": startStandIn(t), "server-2": startStandIn(t)}
	control := newFixedControl(t, servers)
	router := traffic.New(traffic.Config{Control: control})
	t.Cleanup(router.Close)
	dispatcher := &leavingRouter{Router: router}
	g, url := startGateway(t, Config{Dispatcher: dispatcher, Catalog: func() Catalog { return control.tree }})
	text, complete, err := standInText(postMoving(t, url, glaze), true)
	if err != nil || !complete {
		t.Fatalf("complete: %t, %v", complete, err)
	}
	if err := checkStandInTokens(glaze, text, "kiln 4", movedTokens, complete); err != nil {
		t.Error(err)
	}
	for id, server := range servers {
		if ran := len(server.Executed()) == 1; ran != (id == dispatcher.leavingServer) {
			t.Errorf("engine %s is leaving, request started on %s: %t", dispatcher.leavingServer, id, ran)
		}
	}
	if moved := testutil.ToFloat64(g.metrics.moves.WithLabelValues(moveDone)); moved != 1 {
		t.Errorf("%v moves, want 1", moved)
	}
}
