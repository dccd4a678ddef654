package peer

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

type testQuestion struct {
	Text string
}

type testAnswer struct {
	Text string
}

type unregistered struct {
	Text string
}

func init() {
	Register(testQuestion{}, testAnswer{})
}

// recorder is a Handler that records the messages it receives.
type recorder struct {
	answer func(ctx context.Context, question testQuestion) (Message, error) // nil: echo

	mutex sync.Mutex
	from  []api.NodeRef
	texts []string
	heard chan string // gets the text of each message
}

func newRecorder() *recorder {
	return &recorder{heard: make(chan string, 10_000)}
}

func (r *recorder) HandleMessage(ctx context.Context, from api.NodeRef, message Message) (Message, error) {
	question, ok := message.(testQuestion)
	if !ok {
		return nil, errors.Errorf("unexpected %T", message)
	}
	r.mutex.Lock()
	r.from = append(r.from, from)
	r.texts = append(r.texts, question.Text)
	r.mutex.Unlock()
	r.heard <- question.Text
	if r.answer != nil {
		return r.answer(ctx, question)
	}
	return testAnswer(question), nil
}

func (r *recorder) received() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]string(nil), r.texts...)
}

// testConfig returns a configuration with timeouts that no test reaches, even on a
// slow machine.
func testConfig(id api.NodeID) Config {
	return Config{
		Timeouts: Timeouts{Dial: time.Minute, Write: time.Minute, Idle: time.Hour, Ping: time.Minute},
		Self:     api.NodeRef{ID: id, Incarnation: 7, Zone: "a", Region: "uy-south"},
		Address:  "127.0.0.1:0",
		SourceIP: "127.0.0.1",
	}
}

func startTestServer(t *testing.T, config Config, handler Handler) *Server {
	t.Helper()
	server, err := Listen(config)
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(handler)
	t.Cleanup(func() { server.Close() })
	return server
}

func startTestClient(t *testing.T, config Config) *Client {
	t.Helper()
	client := NewClient(config)
	t.Cleanup(func() { client.Close() })
	return client
}

func TestMessagesCarryIdentitiesAndAnswers(t *testing.T) {
	handler := newRecorder()
	server := startTestServer(t, testConfig("server"), handler)
	client := startTestClient(t, testConfig("client"))
	address := server.Self().PeerAddress

	answer, err := client.Call(t.Context(), address, testQuestion{Text: "one"})
	if err != nil || answer != (testAnswer{Text: "one"}) {
		t.Fatalf("got %v, %v", answer, err)
	}
	client.Send(address, testQuestion{Text: "two"})
	<-handler.heard
	if text := <-handler.heard; text != "two" {
		t.Errorf("second message is %q, want two", text)
	}
	if from := handler.from[0]; from.ID != "client" || from.Incarnation != 7 || from.Zone != "a" {
		t.Errorf("sender is %+v", from)
	}
	sent := client.config.Counters.ByType()["martenwheel.dev/pkg/peer.testQuestion"]
	received := server.config.Counters.ByType()["martenwheel.dev/pkg/peer.testQuestion"]
	if sent.MessagesSent != 2 || received.MessagesReceived != 2 || sent.BytesSent == 0 {
		t.Errorf("counted %+v sent, %+v received", sent, received)
	}
}

func TestCallsAreAnsweredOutOfOrder(t *testing.T) {
	release := make(chan struct{})
	handler := newRecorder()
	handler.answer = func(_ context.Context, question testQuestion) (Message, error) {
		if question.Text == "slow" {
			<-release
		}
		return testAnswer(question), nil
	}
	server := startTestServer(t, testConfig("server"), handler)
	client := startTestClient(t, testConfig("client"))
	slow := make(chan error, 1)
	var calls sync.WaitGroup
	calls.Go(func() {
		_, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "slow"})
		slow <- err
	})
	<-handler.heard
	if _, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "quick"}); err != nil {
		t.Fatal(err)
	}
	close(release)
	calls.Wait()
	if err := <-slow; err != nil {
		t.Fatal(err)
	}
}

func TestHandlerOutcomes(t *testing.T) {
	handler := newRecorder()
	handler.answer = func(_ context.Context, question testQuestion) (Message, error) {
		switch question.Text {
		case "nothing":
			return nil, nil
		case "error":
			return nil, errors.New("no such cell")
		case "panic":
			panic("boom")
		case "unregistered":
			return unregistered{}, nil
		default:
			return testAnswer{Text: strings.Repeat("x", MaxMessageBytes)}, nil
		}
	}
	server := startTestServer(t, testConfig("server"), handler)
	client := startTestClient(t, testConfig("client"))
	for _, test := range []struct{ text, wantError string }{
		{"nothing", ""},
		{"error", "no such cell"},
		{"panic", "handler failed"},
		{"unregistered", "not registered"},
		{"huge", "too large"},
		{"nothing", ""}, // the connection still works
	} {
		answer, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: test.text})
		var remote *RemoteError
		switch {
		case test.wantError == "" && (err != nil || answer != nil):
			t.Errorf("%s: got %v, %v", test.text, answer, err)
		case test.wantError != "" && (!errors.As(err, &remote) || !strings.Contains(remote.Text, test.wantError)):
			t.Errorf("%s: got %v, want a remote error with %q", test.text, err, test.wantError)
		}
	}
}

func TestTooLargeAndUnregisteredMessagesFailAlone(t *testing.T) {
	handler := newRecorder()
	server := startTestServer(t, testConfig("server"), handler)
	client := startTestClient(t, testConfig("client"))
	address := server.Self().PeerAddress
	huge := testQuestion{Text: strings.Repeat("x", MaxMessageBytes)}
	if _, err := client.Call(t.Context(), address, huge); !errors.Is(err, ErrTooLarge) {
		t.Errorf("huge message: got %v", err)
	}
	if _, err := client.Call(t.Context(), address, unregistered{Text: "x"}); err == nil {
		t.Error("unregistered message was sent")
	}
	client.Send(address, unregistered{Text: "x"})
	if _, err := client.Call(t.Context(), address, testQuestion{Text: "fine"}); err != nil {
		t.Errorf("message after the failed ones: %v", err)
	}
	if texts := handler.received(); len(texts) != 1 {
		t.Errorf("handler got %d messages, want 1", len(texts))
	}
}

func TestQueueDropsOldestSendAndKeepsCalls(t *testing.T) {
	config := testConfig("client")
	config.Limits.QueueLength = 2
	client := startTestClient(t, config)
	waiting := &link{client: client, wake: make(chan struct{}, 1), running: true}
	now := time.Unix(1_700_000_000, 0)
	call := &outgoing{typeName: "call", reply: make(chan reply, 1)}
	for _, item := range []*outgoing{{typeName: "first"}, call, {typeName: "second"}} {
		if accepted, _ := waiting.add(item, now); !accepted {
			t.Fatalf("%s was refused", item.typeName)
		}
	}
	if got := []string{waiting.queue[0].typeName, waiting.queue[1].typeName}; got[0] != "call" || got[1] != "second" {
		t.Errorf("queue is %v", got)
	}
	waiting.add(&outgoing{typeName: "call", reply: make(chan reply, 1)}, now)
	if accepted, _ := waiting.add(&outgoing{typeName: "third"}, now); accepted {
		t.Error("a message displaced a call")
	}
	if !call.withdraw() || waiting.next() == call {
		t.Error("a withdrawn call was sent")
	}
}

func TestBackOffGrowsAndEnds(t *testing.T) {
	client := startTestClient(t, testConfig("client"))
	now := time.Unix(1_700_000_000, 0)
	target := &link{client: client, wake: make(chan struct{}, 1)}
	client.clock = func() time.Time { return now }
	for failure := 1; failure <= 20; failure++ {
		target.stopAfterFailure(ErrUnreachable)
		wait := target.retryAt.Sub(now)
		longest := min(longestBackoff, firstBackoff<<min(failure-1, 10))
		if wait < longest/2 || wait > longest {
			t.Errorf("failure %d: wait %v, want %v to %v", failure, wait, longest/2, longest)
		}
		if accepted, _ := target.add(&outgoing{}, target.retryAt.Add(-1)); accepted {
			t.Errorf("failure %d: message accepted before the wait is over", failure)
		}
	}
	if accepted, start := target.add(&outgoing{}, target.retryAt); !accepted || !start {
		t.Error("no new try after the wait")
	}
}

func TestConnectionLimit(t *testing.T) {
	config := testConfig("server")
	config.Limits.Connections = 1
	server := startTestServer(t, config, newRecorder())
	first := startTestClient(t, testConfig("first"))
	if _, err := first.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "x"}); err != nil {
		t.Fatal(err)
	}
	second := startTestClient(t, testConfig("second"))
	_, err := second.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "x"})
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("second connection: got %v", err)
	}
}

func TestConcurrentCallsGetTheirOwnAnswers(t *testing.T) {
	server := startTestServer(t, testConfig("server"), newRecorder())
	client := startTestClient(t, testConfig("client"))
	var callers sync.WaitGroup
	for caller := range 16 {
		callers.Go(func() {
			for range 100 {
				text := strings.Repeat("x", caller)
				answer, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: text})
				if err != nil || answer != (testAnswer{Text: text}) {
					t.Errorf("caller %d: got %v, %v", caller, answer, err)
				}
			}
		})
	}
	callers.Wait()
}
