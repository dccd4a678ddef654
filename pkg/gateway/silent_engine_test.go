package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// engineSilence is how long sound engines fall silent in these tests.
const engineSilence = 2 * time.Second

// Guards against answers that are ended, or requests that run twice, because a sound engine is silent for a while.
func TestAnswersOutlastSilentEngine(t *testing.T) {
	t.Parallel()
	const tokens = 10
	for _, at := range []int{0, 1, tokens - 1} {
		for _, model := range []string{glaze, slots} {
			t.Run(fmt.Sprintf("%s, silent before token %d", model, at), func(t *testing.T) {
				t.Parallel()
				silent := startEngine(t, tokens)
				silent.pauseAt(at, func(*http.Request) { time.Sleep(engineSilence) })
				other := startEngine(t, tokens)
				dispatcher := silent.dispatcher()
				dispatcher.targets = append(dispatcher.targets, other.target())
				dispatcher.retries = 1
				_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: newGrantingClaims()})
				got := chat(t, url, chatBody(model, "ash", true), map[string]string{HeaderIdempotencyKey: "k"})
				checkStream(t, got.body, "ash", tokens)
				silent.mutex.Lock()
				defer silent.mutex.Unlock()
				if silent.received != 1 || silent.resumed != 0 || len(silent.cancelled) != 0 || other.requests() != 0 {
					t.Errorf("%d requests, %d resumptions, %d cancellations, %d requests at the other engine",
						silent.received, silent.resumed, len(silent.cancelled), other.requests())
				}
			})
		}
	}
}

// silentKVClient is an engine client whose engine falls silent before or after it carries out an order.
type silentKVClient struct {
	engine.Client
	beforeExport, afterExport, beforeImport, afterImport time.Duration
}

func (c *silentKVClient) ExportKV(ctx context.Context, address string, request engine.KVExportRequest) (engine.KVExport, error) {
	if err := silence(ctx, c.beforeExport); err != nil {
		return engine.KVExport{}, err
	}
	export, err := c.Client.ExportKV(ctx, address, request)
	if lost := silence(ctx, c.afterExport); lost != nil {
		return engine.KVExport{}, lost
	}
	return export, err
}

func (c *silentKVClient) ImportKV(ctx context.Context, address string, export engine.KVExport) error {
	if err := silence(ctx, c.beforeImport); err != nil {
		return err
	}
	err := c.Client.ImportKV(ctx, address, export)
	if lost := silence(ctx, c.afterImport); lost != nil {
		return lost
	}
	return err
}

// silence waits until the engine goes on. It returns an error if nobody waits for its answer any more.
func silence(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errAnswerLost
	case <-time.After(d):
		return nil
	}
}

// Guards against moves that end the only run of a stream before another engine certainly goes on with it.
func TestMovesOutlastSilentEngines(t *testing.T) {
	t.Parallel()
	const dark = DefaultMoveStep + time.Second
	for _, test := range []struct {
		name   string
		silent silentKVClient
		moved  bool
	}{
		{"before the export", silentKVClient{beforeExport: engineSilence}, true},
		{"after the export", silentKVClient{afterExport: engineSilence}, true},
		{"before the import", silentKVClient{beforeImport: engineSilence}, true},
		{"after the import", silentKVClient{afterImport: engineSilence}, true},
		{"beyond the time of an export", silentKVClient{beforeExport: dark}, false},
		{"beyond the time of an export that was done", silentKVClient{afterExport: dark}, false},
		{"beyond the time of an import", silentKVClient{beforeImport: dark}, false},
		{"beyond the time of an import that was done", silentKVClient{afterImport: dark}, false},
	} {
		for _, model := range []string{glaze, slots} {
			t.Run(test.name+", "+model, func(t *testing.T) {
				t.Parallel()
				d := newLeavingDispatcher(t)
				complete := false
				t.Cleanup(func() { d.check(t, test.moved, complete) }) // runs after the gateway has stopped
				g, url := startGateway(t, Config{Dispatcher: d, Claims: newGrantingClaims()})
				client := test.silent
				client.Client = g.kvClient
				g.kvClient = &client
				got := postMoving(t, url, model)
				var text string
				var err error
				if text, complete, err = standInText(got, true); err != nil {
					t.Fatal(err)
				}
				if !complete || strings.Contains(string(got.body), codeStreamBroken) {
					t.Errorf("complete: %t", complete)
				}
				if err := checkStandInTokens(model, text, "kiln 4", movedTokens, complete); err != nil {
					t.Error(err)
				}
				checkOneRun(t, d.from, d.to)
			})
		}
	}
}
