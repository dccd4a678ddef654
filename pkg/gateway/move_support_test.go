package gateway

import (
	"context"
	"sync"
	"testing"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/traffic"
)

// leavingDispatcher grants a place on an engine that leaves in the middle of
// its stream, and places to move to on another.
type leavingDispatcher struct {
	from, to *standin.EngineServer
	streams  int                          // that begin before the engine leaves
	leaveAt  int                          // asks of Leaving after which it leaves
	onAsk    func(name string, asked int) // called at each ask

	mutex                sync.Mutex
	begun                int
	taken, ended, served map[string]int // grants by server
}

func (d *leavingDispatcher) Acquire(context.Context, traffic.Request) (traffic.Grant, error) {
	return d.grant("from", d.from), nil
}

func (d *leavingDispatcher) grant(name string, server *standin.EngineServer) *leavingGrant {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.taken[name]++
	return &leavingGrant{dispatcher: d, name: name, address: server.Address()}
}

type leavingGrant struct {
	dispatcher *leavingDispatcher
	name       string
	address    string
	asked      int
}

func (g *leavingGrant) Target() traffic.Target {
	return traffic.Target{Server: api.ServerID(g.name), Address: g.address}
}

func (g *leavingGrant) Done(outcome traffic.Outcome) {
	g.dispatcher.mutex.Lock()
	defer g.dispatcher.mutex.Unlock()
	g.dispatcher.ended[g.name]++
	if outcome.Kind == traffic.OutcomeServed {
		g.dispatcher.served[g.name]++
	}
}

func (g *leavingGrant) Retry(context.Context, traffic.Outcome) (traffic.Grant, error) {
	return nil, &traffic.Refusal{Reason: traffic.ReasonEngineFailed, Message: "no retry"}
}

func (g *leavingGrant) Leaving() bool {
	g.asked++
	if g.dispatcher.onAsk != nil {
		g.dispatcher.onAsk(g.name, g.asked)
	}
	if g.name == "to" || g.asked < g.dispatcher.leaveAt || !g.dispatcher.allBegun(g.asked) {
		return false
	}
	g.dispatcher.from.Leave()
	return true
}

// allBegun counts the streams that come to the event at which they would move.
func (d *leavingDispatcher) allBegun(asked int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if asked == d.leaveAt {
		d.begun++
	}
	return d.begun >= d.streams
}

func (g *leavingGrant) Move() (traffic.Movable, error) {
	if g.dispatcher.to == nil {
		return nil, &traffic.Refusal{Reason: traffic.ReasonNoCapacity, Message: "no other replica"}
	}
	return g.dispatcher.grant("to", g.dispatcher.to), nil
}

// faultyOrders stands between the gateway and the engines' exports and imports.
type faultyOrders struct {
	engine.Client
	beforeExport, afterExport error // before: nothing reaches the engine
	beforeImport, afterImport error
	imported                  func()
}

func (f *faultyOrders) ExportKV(ctx context.Context, address string, request engine.KVExportRequest) (engine.KVExport, error) {
	if f.beforeExport != nil {
		return engine.KVExport{}, f.beforeExport
	}
	if !request.Cancel {
		return engine.KVExport{}, errors.New("the request would go on at both engines")
	}
	export, err := f.Client.ExportKV(ctx, address, request)
	if f.afterExport != nil {
		return engine.KVExport{}, f.afterExport
	}
	return export, err
}

func (f *faultyOrders) ImportKV(ctx context.Context, address string, export engine.KVExport) error {
	if f.beforeImport != nil {
		return f.beforeImport
	}
	err := f.Client.ImportKV(ctx, address, export)
	if f.imported != nil {
		f.imported()
	}
	if f.afterImport != nil {
		return f.afterImport
	}
	return err
}

// Ways in which a step of a move fails.
var (
	refusedStep = &engine.StatusError{Code: 409, Detail: "no"}
	lostAnswer  = errors.Wrap(engine.ErrUnknownOutcome, "lost")
)

// movedTokens is the length of the streams that are moved.
const movedTokens = 300

func newLeavingDispatcher(t *testing.T) *leavingDispatcher {
	return &leavingDispatcher{
		from: startStandIn(t), to: startStandIn(t), leaveAt: 20,
		taken: map[string]int{}, ended: map[string]int{}, served: map[string]int{},
	}
}

// closeAt returns an onAsk that closes a server at an ask of the named grant.
func closeAt(name string, at int, server *standin.EngineServer) func(string, int) {
	return func(asking string, asked int) {
		if asking == name && asked == at {
			server.Close()
		}
	}
}

// postMoving asks for a stream of movedTokens.
func postMoving(t *testing.T, url, model string) reply {
	t.Helper()
	return chat(t, url, boundedBody(model, "kiln 4", true, movedTokens), map[string]string{HeaderIdempotencyKey: "key"})
}

// check checks that every grant was given back once.
func (d *leavingDispatcher) check(t *testing.T, moved, complete bool) {
	t.Helper()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range []string{"from", "to"} {
		if d.taken[name] != d.ended[name] {
			t.Errorf("%d grants of %q taken, %d given back", d.taken[name], name, d.ended[name])
		}
	}
	if moved && d.taken["to"] != 1 {
		t.Errorf("%d places taken to move to, want 1", d.taken["to"])
	}
	if complete && d.served["from"]+d.served["to"] != 1 || moved && d.served["from"] != 0 {
		t.Errorf("moved: %t, complete: %t, served: %v", moved, complete, d.served)
	}
}
