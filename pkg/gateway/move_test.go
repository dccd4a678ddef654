package gateway

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/tree"
)

// TestMoveStream: a stream on an engine that leaves goes on at another replica,
// with each event once and in order, and is run once, whichever step fails.
func TestMoveStream(t *testing.T) {
	for _, test := range []struct {
		name    string
		orders  faultyOrders
		faults  standin.Faults // of the new engine, after the import
		dies    bool           // the new engine, after the import
		later   bool           // the new engine dies, after some of its events
		bytes   int            // the most that an export may have
		nowhere bool
		moved   bool
		broken  []bool // by unsafe: ends with an explicit error
	}{
		{name: "no fault", moved: true},
		{name: "no other replica", nowhere: true},
		{name: "export refused", orders: faultyOrders{beforeExport: refusedStep}},
		{name: "old engine unreachable for the export", orders: faultyOrders{beforeExport: engine.ErrUnreachable}},
		{name: "export lost", orders: faultyOrders{beforeExport: lostAnswer}},
		{name: "answer to the export lost", orders: faultyOrders{afterExport: lostAnswer}},
		{name: "export too large", bytes: 64},
		{name: "import refused", orders: faultyOrders{beforeImport: refusedStep}},
		{name: "import lost", orders: faultyOrders{beforeImport: lostAnswer}},
		{name: "answer to the import lost", orders: faultyOrders{afterImport: lostAnswer}},
		{name: "new engine dies after the import", dies: true},
		{name: "new engine refuses the resumption", faults: standin.Faults{Refuse: true}, broken: []bool{false, true}},
		{name: "new engine loses the answer", faults: standin.Faults{LoseAnswers: 1}},
		{name: "new engine cuts the stream", faults: standin.Faults{CutAnswers: 1}, moved: true},
		{name: "new engine dies in the stream", faults: standin.Faults{CutAnswers: 1}, later: true, moved: true, broken: []bool{true, true}},
	} {
		for number, unsafe := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unsafe %t", test.name, unsafe), func(t *testing.T) {
				d := newLeavingDispatcher(t)
				from, to := d.from, d.to
				if test.nowhere {
					d.to = nil
				}
				if test.later {
					d.onAsk = closeAt("to", 10, to)
				}
				complete := false
				t.Cleanup(func() { d.check(t, test.moved, complete) }) // when the gateway has ended
				g, url := startGateway(t, Config{Dispatcher: d, Claims: granted(), Limits: Limits{MoveBytes: test.bytes}})
				orders := test.orders
				orders.Client = g.orders
				orders.imported = func() {
					to.SetFaults(standin.PartRequests, test.faults)
					if test.dies {
						to.Close()
					}
				}
				g.orders = &orders

				model := glaze
				if unsafe {
					model = slots
				}
				got := postMoving(t, url, model)

				var text string
				var err error
				if text, complete, err = standInText(got, true); err != nil {
					t.Fatal(err)
				}
				if broken := test.broken != nil && test.broken[number]; complete == broken {
					t.Errorf("complete: %t", complete)
				}
				if said := strings.Contains(string(got.body), codeStreamBroken); said == complete {
					t.Errorf("error event: %t, complete: %t", said, complete)
				}
				if err := checkStandInTokens(model, text, "kiln 4", movedTokens, complete); err != nil {
					t.Error(err)
				}
				checkOneRun(t, from, to)
			})
		}
	}
}

// Models of the test catalog; slots is unsafe to repeat.
const (
	glaze = "glaze-7b"
	slots = "slots"
)

// TestMoveOutlastsEngine: a stream survives the end of the engine that left,
// unless moves are off or it was expected to end in time.
func TestMoveOutlastsEngine(t *testing.T) {
	for _, test := range []struct {
		name      string
		moves     int
		drainTime time.Duration
		complete  bool
	}{
		{"moves", 0, 0, true},
		{"moves are off", -1, 0, false},
		{"expected to end in time", 0, time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newLeavingDispatcher(t)
			// The cut makes sure that the engine has not sent all before it ends.
			d.from.SetFaults(standin.PartRequests, standin.Faults{CutAnswers: 1})
			d.onAsk = func(name string, asked int) {
				closeAt("from", 40, d.from)(name, asked)
				closeAt("to", 20, d.from)(name, asked)
			}
			catalog := fakeCatalog{{Name: glaze, Settings: tree.Settings{DrainTime: test.drainTime}}}
			_, url := startGateway(t, Config{
				Dispatcher: d,
				Catalog:    func() Catalog { return catalog },
				Limits:     Limits{Moves: test.moves},
			})
			text, complete, err := standInText(postMoving(t, url, glaze), true)
			if err != nil {
				t.Fatal(err)
			}
			if complete != test.complete {
				t.Errorf("complete: %t, want %t", complete, test.complete)
			}
			if err := checkStandInTokens(glaze, text, "kiln 4", movedTokens, complete); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMoveManyStreams: many streams that move at once are each whole, and none
// has a part of another's.
func TestMoveManyStreams(t *testing.T) {
	const streams = 48
	d := newLeavingDispatcher(t)
	d.streams = streams
	t.Cleanup(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.taken["to"] != d.ended["to"] || d.served["to"] == 0 || d.served["from"]+d.served["to"] != streams {
			t.Errorf("places taken %v, given back %v, served %v", d.taken, d.ended, d.served)
		}
	})
	_, url := startGateway(t, Config{Dispatcher: d})
	client := newClient(t)
	group := pool.New().WithErrors()
	for number := range streams {
		group.Go(func() error {
			prompt := fmt.Sprint("kiln ", number)
			got, err := tryPost(client, url+"/v1/chat/completions", boundedBody(glaze, prompt, true, movedTokens), nil)
			if err != nil {
				return err
			}
			text, complete, err := standInText(got, true)
			if err != nil {
				return err
			}
			if !complete {
				return errors.Errorf("stream %d broke", number)
			}
			return checkStandInTokens(glaze, text, prompt, movedTokens, complete)
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestExpectedRest: the rest of a stream by its bound and its pace so far.
func TestExpectedRest(t *testing.T) {
	start := time.Unix(0, 0)
	for _, test := range []struct {
		maxTokens, events int
		want              time.Duration
	}{
		{maxTokens: 0, events: 11, want: endless},
		{maxTokens: math.MaxInt, events: 11, want: endless},
		{maxTokens: 111, events: 11, want: 10 * time.Second},
		{maxTokens: 5, events: 11, want: 0},
	} {
		s := &eventStream{attempt: &attempt{call: &call{firstEvent: start}}, events: test.events}
		s.attempt.call.parsed.MaxTokens = test.maxTokens
		if rest := s.expectedRest(start.Add(time.Second)); rest != test.want {
			t.Errorf("max_tokens %d, %d events in a second: %v, want %v", test.maxTokens, test.events, rest, test.want)
		}
	}
}

// checkOneRun checks that the engines together ran one request once.
func checkOneRun(t *testing.T, servers ...*standin.EngineServer) {
	t.Helper()
	runs := 0
	for _, server := range servers {
		for _, count := range server.Executed() {
			runs += count
		}
	}
	if runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}
