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

// leavingDispatcher grants requests on engine "from", which starts leaving during
// the streams, and moves of streams to engine "to".
type leavingDispatcher struct {
	from, to      *standin.EngineServer
	streams       int                          // number of streams that reach event leaveAtCall before the engine leaves
	leaveAtCall   int                          // call of Leaving per stream, from 1, at which the engine leaves
	onLeavingCall func(name string, asked int) // called at each call of Leaving

	mutex                     sync.Mutex
	reachedLeave              int            // streams that have reached leaveAtCall
	granted, returned, served map[string]int // numbers of grants by server: granted, returned, returned as served
}

func (d *leavingDispatcher) Acquire(context.Context, traffic.Request) (traffic.Grant, error) {
	return d.grant("from", d.from), nil
}

func (d *leavingDispatcher) grant(name string, server *standin.EngineServer) *leavingGrant {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.granted[name]++
	return &leavingGrant{dispatcher: d, name: name, address: server.Address()}
}

type leavingGrant struct {
	dispatcher   *leavingDispatcher
	name         string
	address      string
	leavingCalls int
}

func (g *leavingGrant) Target() traffic.Target {
	return traffic.Target{Server: api.ServerID(g.name), Address: g.address}
}

func (g *leavingGrant) Done(outcome traffic.Outcome) {
	g.dispatcher.mutex.Lock()
	defer g.dispatcher.mutex.Unlock()
	g.dispatcher.returned[g.name]++
	if outcome.Kind == traffic.OutcomeServed {
		g.dispatcher.served[g.name]++
	}
}

func (g *leavingGrant) Retry(context.Context, traffic.Outcome) (traffic.Grant, error) {
	return nil, &traffic.Refusal{Reason: traffic.ReasonEngineFailed, Message: "no retry"}
}

func (g *leavingGrant) Leaving() bool {
	g.leavingCalls++
	if g.dispatcher.onLeavingCall != nil {
		g.dispatcher.onLeavingCall(g.name, g.leavingCalls)
	}
	if g.name == "to" || g.leavingCalls < g.dispatcher.leaveAtCall || !g.dispatcher.allReachedLeave(g.leavingCalls) {
		return false
	}
	g.dispatcher.from.Leave()
	return true
}

// allReachedLeave counts the streams that reach leaveAtCall and reports whether
// all of them have.
func (d *leavingDispatcher) allReachedLeave(calls int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if calls == d.leaveAtCall {
		d.reachedLeave++
	}
	return d.reachedLeave >= d.streams
}

func (g *leavingGrant) Move() (traffic.Movable, error) {
	if g.dispatcher.to == nil {
		return nil, &traffic.Refusal{Reason: traffic.ReasonNoCapacity, Message: "no other replica"}
	}
	return g.dispatcher.grant("to", g.dispatcher.to), nil
}

// faultyKVClient is an engine client that injects faults into exports and imports.
type faultyKVClient struct {
	engine.Client
	beforeExport, afterExport error // before: the order does not reach the engine; after: its answer is lost
	beforeImport, afterImport error
	imported                  func()
}

func (f *faultyKVClient) ExportKV(ctx context.Context, address string, request engine.KVExportRequest) (engine.KVExport, error) {
	if f.beforeExport != nil {
		return engine.KVExport{}, f.beforeExport
	}
	if !request.Cancel {
		return engine.KVExport{}, errors.New("the export does not cancel the request, which would run at both engines")
	}
	export, err := f.Client.ExportKV(ctx, address, request)
	if f.afterExport != nil {
		return engine.KVExport{}, f.afterExport
	}
	return export, err
}

func (f *faultyKVClient) ImportKV(ctx context.Context, address string, export engine.KVExport) error {
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

// Errors with which a step of a move fails.
var (
	errStepRefused = &engine.StatusError{Code: 409, Detail: "no"}
	errAnswerLost  = errors.Wrap(engine.ErrUnknownOutcome, "lost")
)

// movedTokens is the number of tokens of each moved stream.
const movedTokens = 300

func newLeavingDispatcher(t *testing.T) *leavingDispatcher {
	return &leavingDispatcher{
		from: startStandIn(t), to: startStandIn(t), leaveAtCall: 20,
		granted: map[string]int{}, returned: map[string]int{}, served: map[string]int{},
	}
}

// closeAt returns an onLeavingCall hook that closes server at call number at of
// Leaving for the named engine.
func closeAt(name string, at int, server *standin.EngineServer) func(string, int) {
	return func(grantName string, calls int) {
		if grantName == name && calls == at {
			server.Close()
		}
	}
}

// postMoving requests a stream of movedTokens tokens.
func postMoving(t *testing.T, url, model string) reply {
	t.Helper()
	return chat(t, url, boundedBody(model, "kiln 4", true, movedTokens), map[string]string{HeaderIdempotencyKey: "key"})
}

// check checks that every grant was returned, and at which engine the stream ended.
func (d *leavingDispatcher) check(t *testing.T, moved, complete bool) {
	t.Helper()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range []string{"from", "to"} {
		if d.granted[name] != d.returned[name] {
			t.Errorf("%d grants of %q taken, %d returned", d.granted[name], name, d.returned[name])
		}
	}
	if moved && d.granted["to"] != 1 {
		t.Errorf("%d grants taken at the new engine, want 1", d.granted["to"])
	}
	if complete && d.served["from"]+d.served["to"] != 1 || moved && d.served["from"] != 0 {
		t.Errorf("moved: %t, complete: %t, served: %v", moved, complete, d.served)
	}
}
