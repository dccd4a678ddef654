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

// TestMoveStream checks that a stream on a leaving engine continues at another
// replica with each event once and in order, and that the request is run only
// once, whichever step of the move fails.
func TestMoveStream(t *testing.T) {
	for _, test := range []struct {
		name     string
		kvClient faultyKVClient
		faults   standin.Faults // faults of the new engine after the import
		dies     bool           // the new engine stops after the import
		later    bool           // the new engine stops after some of its events
		bytes    int            // Limits.MoveBytes; zero: default
		nowhere  bool           // no other replica is available
		moved    bool           // whether the stream is expected to move
		broken   []bool         // for safe and unsafe requests: the stream ends with an error event
	}{
		{name: "no fault", moved: true},
		{name: "no other replica", nowhere: true},
		{name: "export refused", kvClient: faultyKVClient{beforeExport: errStepRefused}},
		{name: "old engine unreachable for the export", kvClient: faultyKVClient{beforeExport: engine.ErrUnreachable}},
		{name: "export lost", kvClient: faultyKVClient{beforeExport: errAnswerLost}},
		{name: "answer to the export lost", kvClient: faultyKVClient{afterExport: errAnswerLost}},
		{name: "export too large", bytes: 64},
		{name: "import refused", kvClient: faultyKVClient{beforeImport: errStepRefused}},
		{name: "import lost", kvClient: faultyKVClient{beforeImport: errAnswerLost}},
		{name: "answer to the import lost", kvClient: faultyKVClient{afterImport: errAnswerLost}},
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
					d.onLeavingCall = closeAt("to", 10, to)
				}
				complete := false
				t.Cleanup(func() { d.check(t, test.moved, complete) }) // runs after the gateway has stopped
				g, url := startGateway(t, Config{Dispatcher: d, Claims: newGrantingClaims(), Limits: Limits{MoveBytes: test.bytes}})
				kvClient := test.kvClient
				kvClient.Client = g.kvClient
				kvClient.imported = func() {
					to.SetFaults(standin.PartRequests, test.faults)
					if test.dies {
						to.Close()
					}
				}
				g.kvClient = &kvClient

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
				if hasErrorEvent := strings.Contains(string(got.body), codeStreamBroken); hasErrorEvent == complete {
					t.Errorf("error event: %t, complete: %t", hasErrorEvent, complete)
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

// TestMoveOutlastsEngine checks that a stream survives the stop of its leaving
// engine, unless moves are off or the stream was expected to end within the drain
// time.
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
			// The cut ensures that the engine has not sent all events before it
			// stops.
			d.from.SetFaults(standin.PartRequests, standin.Faults{CutAnswers: 1})
			d.onLeavingCall = func(name string, calls int) {
				closeAt("from", 40, d.from)(name, calls)
				closeAt("to", 20, d.from)(name, calls)
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

// TestMoveManyStreams checks that many streams that move at the same time are
// complete and not mixed up.
func TestMoveManyStreams(t *testing.T) {
	const streams = 48
	d := newLeavingDispatcher(t)
	d.streams = streams
	t.Cleanup(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.granted["to"] != d.returned["to"] || d.served["to"] == 0 || d.served["from"]+d.served["to"] != streams {
			t.Errorf("grants taken %v, returned %v, served %v", d.granted, d.returned, d.served)
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
				return errors.Errorf("stream %d is not complete", number)
			}
			return checkStandInTokens(glaze, text, prompt, movedTokens, complete)
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// TestExpectedRemaining checks the estimate from the token limit and the speed so
// far.
func TestExpectedRemaining(t *testing.T) {
	start := time.Unix(0, 0)
	for _, test := range []struct {
		maxTokens, events int
		want              time.Duration
	}{
		{maxTokens: 0, events: 11, want: unlimitedTime},
		{maxTokens: math.MaxInt, events: 11, want: unlimitedTime},
		{maxTokens: 111, events: 11, want: 10 * time.Second},
		{maxTokens: 5, events: 11, want: 0},
	} {
		s := &eventStream{attempt: &attempt{call: &call{firstEvent: start}}, events: test.events}
		s.attempt.call.parsed.MaxTokens = test.maxTokens
		if rest := s.expectedRemaining(start.Add(time.Second)); rest != test.want {
			t.Errorf("max_tokens %d, %d events in a second: %v, want %v", test.maxTokens, test.events, rest, test.want)
		}
	}
}

// checkOneRun checks that the engines together ran exactly one request, once.
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
