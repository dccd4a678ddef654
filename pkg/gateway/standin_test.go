package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/traffic"
)

// startStandIn starts an engine stand-in that has loaded the models of the test
// catalog.
func startStandIn(t *testing.T) *standin.EngineServer {
	t.Helper()
	config := standin.DefaultEngineConfig()
	config.ID = "server-1"
	config.Speed = 100
	config.ResumeWindow = time.Hour // longer than any test, also on a slow machine
	server, err := standin.ListenEngine("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	for number, model := range testCatalog {
		order := engine.Order{
			ID:          fmt.Sprint("order-", number),
			Fence:       api.MakeFence(1, uint32(number+1)),
			Kind:        engine.OrderLoad,
			Model:       model.Name,
			Checkpoint:  string(model.Name),
			MemoryBytes: 1 << 30,
		}
		if result := server.Order(order); result.Status != engine.OrderAccepted {
			t.Fatalf("load order for %s: %+v", model.Name, result)
		}
	}
	for !allReady(server) {
		time.Sleep(time.Millisecond)
	}
	return server
}

func allReady(server *standin.EngineServer) bool {
	for _, item := range server.Inventory(engine.InventoryRequest{}).Items {
		if item.State != engine.ItemReady {
			return false
		}
	}
	return true
}

// standInText returns the text of a chat answer, streamed or not.
func standInText(got reply, stream bool) (text string, complete bool, err error) {
	if stream {
		result, err := readStream(got.body)
		return strings.Join(result.tokens, ""), result.done && result.broken == nil, err
	}
	var answer struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err := json.Unmarshal(got.body, &answer); err != nil || len(answer.Choices) == 0 {
		return "", false, err
	}
	return answer.Choices[0].Message.Content, true, nil
}

// TestAgainstStandIn runs many concurrent callers against an engine stand-in that
// cuts, truncates or mixes up answers. An answer that a caller receives as
// complete must be the whole answer to its own prompt; any other must be an
// explicit error.
func TestAgainstStandIn(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"cut":       {CutAnswers: 60},
		"truncated": {TruncateAnswers: 60},
		"mixed":     {MixAnswers: 60},
	} {
		t.Run(name, func(t *testing.T) { testConcurrentCallers(t, faults) })
	}
}

func testConcurrentCallers(t *testing.T, faults standin.Faults) {
	const (
		callers  = 24
		requests = 8
		tokens   = 40
	)
	server := startStandIn(t)
	server.SetFaults(standin.PartRequests, faults)
	dispatcher := &fakeDispatcher{targets: []traffic.Target{{Server: "server-1", Address: server.Address()}}, retries: 4}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	client := newClient(t)
	group := pool.New().WithErrors()
	for caller := range callers {
		group.Go(func() error {
			for number := range requests {
				prompt := fmt.Sprintf("prompt %d of %d", number, caller)
				stream := number%2 == 0
				got, err := tryPost(client, url+"/v1/chat/completions", boundedBody(glaze, prompt, stream, tokens), nil)
				if err != nil {
					return err
				}
				text, complete, err := standInText(got, stream)
				if err != nil {
					return err
				}
				if err := checkStandInTokens(glaze, text, prompt, tokens, complete); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// checkStandInTokens checks that each token carries the mark of the model's answer
// to the prompt and is in order, and that a complete answer has all tokens.
func checkStandInTokens(model, text, prompt string, tokens int, complete bool) error {
	mark := standin.Mark(model, "user\n"+prompt+"\n")
	received := strings.Fields(text)
	for number, token := range received {
		if !strings.HasPrefix(token, mark+".") || !strings.HasSuffix(token, fmt.Sprintf("-%d", number)) {
			return fmt.Errorf("token %d of %q is %q, want mark %s", number, prompt, token, mark)
		}
	}
	if complete && len(received) != tokens {
		return fmt.Errorf("complete answer has %d of %d tokens", len(received), tokens)
	}
	return nil
}

// TestUnsafeRunsOnceAtStandIn checks under various faults that the engine runs an
// unsafe request at most once, and not at all if the caller is told that it was
// not run.
func TestUnsafeRunsOnceAtStandIn(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		leave  bool
		stream bool
	}{
		{"no fault", standin.Faults{}, false, false},
		{"answer cut", standin.Faults{CutAnswers: 1}, false, false},
		{"answer truncated", standin.Faults{TruncateAnswers: 1}, false, false},
		{"answers mixed", standin.Faults{MixAnswers: 1}, false, false},
		{"answer lost", standin.Faults{LoseAnswers: 1}, false, false},
		{"request lost", standin.Faults{LoseRequests: 1}, false, false},
		{"engine refuses", standin.Faults{Refuse: true}, false, false},
		{"engine leaves", standin.Faults{}, true, false},
		{"stream cut", standin.Faults{CutAnswers: 1}, false, true},
		{"stream truncated", standin.Faults{TruncateAnswers: 1}, false, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := startStandIn(t)
			server.SetFaults(standin.PartRequests, test.faults)
			if test.leave {
				server.Leave()
			}
			dispatcher := &fakeDispatcher{targets: []traffic.Target{{Server: "server-1", Address: server.Address()}}, retries: 2}
			_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: newGrantingClaims()})
			got := chat(t, url, chatBody("slots", "kiln 4", test.stream), map[string]string{HeaderIdempotencyKey: "booking-1"})
			ran := server.Executed()["booking-1"]
			if ran > 1 {
				t.Errorf("the engine ran the request %d times", ran)
			}
			if got.status == 200 && ran != 1 {
				t.Errorf("the request was answered, but ran %d times", ran)
			}
			if got.status != 200 && apiErrorOf(t, got).NotRun && ran != 0 {
				t.Errorf("the request ran %d times, but the caller was told that it was not run: %s", ran, got.body)
			}
			t.Logf("status %d, ran %d times", got.status, ran)
		})
	}
}
