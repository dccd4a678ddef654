package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/operator/operatortest"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

const sampleTree = `services: {assistant: {families: {llama: {models: {glaze-7b: {memory: 16GiB}}}}}}`

// fixedStatus is a StatusSource with a fixed status.
type fixedStatus struct {
	status Status
	ready  error
}

func (s *fixedStatus) Status() Status { return s.status }
func (s *fixedStatus) Ready() error   { return s.ready }

// echoAuthorizer accepts keys that begin with "key-" and uses the key as the name of
// the operator. If a change kept a request's buffer, its author would change when the
// buffer is reused.
type echoAuthorizer struct{}

func (echoAuthorizer) Authorize(key string) (string, bool) {
	return key, strings.HasPrefix(key, "key-")
}

// fixture is a running server with its tree and status.
type fixture struct {
	trees  *operatortest.Trees
	status *fixedStatus
	base   string
}

func (f *fixture) client(key string) *Client {
	return NewClient(f.base, key, &http.Client{Timeout: 10 * time.Second})
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	initial, err := tree.Parse([]byte(sampleTree))
	if err != nil {
		t.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewGauge(prometheus.GaugeOpts{Name: "martenwheel_test", Help: "For tests."}))
	fixture := &fixture{trees: operatortest.NewTrees(initial), status: &fixedStatus{}}
	server := New(Config{
		Trees: fixture.trees, Status: fixture.status, Authorizer: echoAuthorizer{}, Metrics: registry,
		Logger: hclog.NewNullLogger(), Now: func() time.Time { return time.Unix(1, 0).UTC() },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fixture.base = "http://" + listener.Addr().String()
	var serving conc.WaitGroup
	serving.Go(func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		serving.Wait()
	})
	return fixture
}

// wantCode checks that err is an error response with the given status and code.
func wantCode(t *testing.T, err error, status int, code ErrorCode) ErrorDetail {
	t.Helper()
	var refused *RequestError
	if !errors.As(err, &refused) || refused.Status != status || refused.Detail.Code != code {
		t.Fatalf("got %v, want %d %s", err, status, code)
	}
	return refused.Detail
}

func TestReadAndEditTheTree(t *testing.T) {
	fixture, ctx := newFixture(t), context.Background()
	client := fixture.client("key-ana")
	edit := tree.Edit{Path: "/assistant", Key: "keep_alive", Value: "5m"}
	answer, err := client.Edit(ctx, EditRequest{ID: "one", Edits: []tree.Edit{edit}})
	if err != nil || answer.Revision != 1 {
		t.Fatalf("got %+v, %v", answer, err)
	}
	current, err := client.Tree(ctx)
	if err != nil || current.Revision() != 1 || current.Digest() != fixture.trees.Current().Digest() {
		t.Fatalf("tree: %v, %v", current, err)
	}
	explained, err := client.Explain(ctx, "/assistant/llama/glaze-7b")
	if err != nil || !containsOrigin(explained.Origins, tree.Origin{Key: "keep_alive", Value: "5m", From: "/assistant"}) {
		t.Fatalf("explain: %+v, %v", explained, err)
	}
	history, err := client.History(ctx, 5)
	if err != nil || len(history.Changes) != 1 || history.Changes[0].Author != "key-ana" || !reflect.DeepEqual(history.Changes[0].Edits, []tree.Edit{edit}) {
		t.Fatalf("history: %+v, %v", history, err)
	}
	diff, err := client.Diff(ctx, 0, 0)
	if err != nil || diff.To != 1 || !reflect.DeepEqual(diff.Edits, []tree.Edit{edit}) {
		t.Fatalf("diff: %+v, %v", diff, err)
	}
	older, err := client.TreeAt(ctx, 0)
	if err != nil || len(tree.Diff(older, current)) != 1 {
		t.Fatalf("older tree: %v", err)
	}
}

func containsOrigin(origins []tree.Origin, wanted tree.Origin) bool {
	for _, origin := range origins {
		if origin == wanted {
			return true
		}
	}
	return false
}

func TestFiveFaultsAreReportedTogetherAndChangeNothing(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.client("key-ana").Edit(context.Background(), EditRequest{ID: "one", Edits: []tree.Edit{
		{Path: "/assistant", Key: "keep_alive", Value: "10"},
		{Path: "/assistant", Key: "keep_alife", Value: "10m"},
		{Path: "/assistant/llama/kiln-7b", Key: "max_replicas", Value: "x"},
		{Path: "/assistant/llama", Key: "max_body", Value: "1MiB"},
		{Path: "/booking", Key: "fair_share", Value: "0"},
		{Path: "/booking", Key: "keep_alive", Value: "1m"},
	}})
	detail := wantCode(t, err, http.StatusUnprocessableEntity, CodeInvalid)
	if len(detail.Findings) != 5 {
		t.Errorf("got %d findings: %v", len(detail.Findings), detail.Findings)
	}
	if fixture.trees.Current().Revision() != 0 {
		t.Error("a refused change was applied")
	}
}

func TestFailuresOfCommitsAndReads(t *testing.T) {
	conflict := &tree.ConflictError{Path: "/assistant", Key: "keep_alive", Yours: `"5m"`, Theirs: `"6m"`, Author: "ben", Revision: 4}
	cases := []struct {
		name   string
		err    error
		status int
		code   ErrorCode
	}{
		{"conflict", conflict, http.StatusConflict, CodeConflict},
		{"table service down", platform.ErrUnavailable, http.StatusServiceUnavailable, CodeUnavailable},
		{"throttled", platform.ErrThrottled, http.StatusServiceUnavailable, CodeUnavailable},
		{"outcome unknown", platform.ErrUnknownOutcome, http.StatusServiceUnavailable, CodeOutcomeUnknown},
		{"anything else", errors.New("disk on fire"), http.StatusInternalServerError, CodeInternal},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.trees.Fail(test.err)
			client := fixture.client("key-ana")
			_, err := client.Edit(context.Background(), EditRequest{ID: "one", Edits: []tree.Edit{{Path: "/a"}}})
			detail := wantCode(t, err, test.status, test.code)
			if test.code == CodeConflict && !reflect.DeepEqual(detail.Conflict, conflict) {
				t.Errorf("conflict: %+v", detail.Conflict)
			}
			if _, err := client.Tree(context.Background()); err != nil {
				t.Errorf("cannot read the tree in force: %v", err)
			}
			if test.code == CodeUnavailable && !strings.Contains(detail.Message, "nothing was changed") {
				t.Errorf("message: %s", detail.Message)
			}
		})
	}
}

func TestRequestsThatAreNoEdits(t *testing.T) {
	fixture := newFixture(t)
	cases := map[string]struct {
		method, path, body string
		status             int
	}{
		"no JSON":       {http.MethodPost, PathEdits, "{", 400},
		"unknown field": {http.MethodPost, PathEdits, `{"id":"a","edit":[]}`, 400},
		"two changes":   {http.MethodPost, PathEdits, `{"id":"a"}{"id":"b"}`, 400},
		"no edits":      {http.MethodPost, PathEdits, `{"id":"a"}`, 422},
		"bad path":      {http.MethodGet, PathExplain + "?path=x", "", 400},
		"no such node":  {http.MethodGet, PathEffective + "?path=/x", "", 404},
		"no number":     {http.MethodGet, PathHistory + "?n=x", "", 400},
		"future":        {http.MethodGet, PathTree + "?revision=9", "", 400},
		"no such path":  {http.MethodGet, "/v1/loads", "", 404},
		"no command":    {http.MethodDelete, PathTree, "", 405},
		"write status":  {http.MethodPost, PathStatus, "", 405},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequest(test.method, fixture.base+test.path, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Authorization", "Bearer key-ana")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, _ := io.ReadAll(response.Body)
			if response.StatusCode != test.status || !strings.Contains(string(body), `"error":{"code":"`) {
				t.Errorf("got %d %s, want %d", response.StatusCode, body, test.status)
			}
		})
	}
}

func TestOversizedBodyIsRefusedBeforeItIsSent(t *testing.T) {
	fixture := newFixture(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(fixture.base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-ana\r\nContent-Length: %d\r\n\r\n", PathEdits, maxBodyBytes+1)
	answer, err := bufio.NewReader(connection).ReadString('\n')
	if err != nil || !strings.Contains(answer, "413") {
		t.Errorf("got %q, %v", answer, err)
	}
}

func TestShutdownBeforeServe(t *testing.T) {
	server := New(Config{Metrics: prometheus.NewRegistry()})
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := server.Serve(listener); err != nil {
		t.Fatal(err)
	}
}

func TestOnlyHealthIsAnsweredWithoutAKey(t *testing.T) {
	fixture := newFixture(t)
	fixture.status.ready = errors.New("no tree yet")
	want := map[string]int{
		PathHealth: 200, PathReady: 503,
		PathTree: 401, PathEffective: 401, PathExplain: 401, PathHistory: 401, PathDiff: 401, PathEdits: 401, PathStatus: 401, PathMetrics: 401,
	}
	for path, status := range want {
		response, err := http.Get(fixture.base + path)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != status {
			t.Errorf("%s: got %d, want %d", path, response.StatusCode, status)
		}
	}
	_, err := fixture.client("other").Status(context.Background())
	wantCode(t, err, http.StatusUnauthorized, CodeUnauthorized)
}

func TestStatusAndMetrics(t *testing.T) {
	fixture := newFixture(t)
	fixture.status.status = Status{Node: "node-a", Cells: []CellStatus{{Name: "assistant@uy-south", Owner: "node-b", Term: 3}}}
	status, err := fixture.client("key-ana").Status(context.Background())
	if err != nil || !reflect.DeepEqual(status, fixture.status.status) {
		t.Fatalf("got %+v, %v", status, err)
	}
	metrics, err := fixture.client("key-ana").call(context.Background(), http.MethodGet, PathMetrics, nil, nil)
	if err != nil || !strings.Contains(string(metrics), "martenwheel_test 0") {
		t.Fatalf("got %s, %v", metrics, err)
	}
}

// TestChangesKeepNoBufferOfTheirRequest checks that stored changes do not alias the
// buffers of the HTTP library, which later requests overwrite.
func TestChangesKeepNoBufferOfTheirRequest(t *testing.T) {
	fixture, ctx := newFixture(t), context.Background()
	first := EditRequest{ID: "first-change", Edits: []tree.Edit{{Path: "/service-a", Key: "keep_alive", Value: "11m11s"}}}
	if _, err := fixture.client("key-first").Edit(ctx, first); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		if _, err := fixture.client("key-XXXXX").Edit(ctx, EditRequest{ID: "XXXXXXXXXXXX", Edits: []tree.Edit{{Path: "/XXXXXXXXX", Key: "keep_alive", Value: "22m22s"}}}); err != nil {
			t.Fatal(err)
		}
	}
	changes, err := fixture.trees.History(ctx, 100)
	if err != nil {
		t.Fatal(err)
	}
	oldest := changes[len(changes)-1]
	if oldest.ID != first.ID || oldest.Author != "key-first" || !reflect.DeepEqual(oldest.Edits, first.Edits) {
		t.Fatalf("the first change became %+v", oldest)
	}
}

func TestClientTellsUnreachableFromUnanswered(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient("http://"+listener.Addr().String(), "", &http.Client{Transport: &http.Transport{}})
	var serving conc.WaitGroup
	serving.Go(func() {
		connection, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := connection.Read(make([]byte, 1)); err != nil {
			t.Error(err)
		}
		connection.Close()
	})
	if _, err := client.Edit(context.Background(), EditRequest{ID: "a"}); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("closed connection: got %v, want ErrNoAnswer", err)
	}
	serving.Wait()
	listener.Close()
	if _, err := client.Edit(context.Background(), EditRequest{ID: "a"}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("closed port: got %v, want ErrUnreachable", err)
	}
}
