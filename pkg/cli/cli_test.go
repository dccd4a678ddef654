package cli

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/operator/operatortest"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

const sampleTree = `services:
  assistant:
    families:
      llama:
        models:
          glaze-7b:
            memory: 16GiB
`

// fixedStatus provides a fixed state of the system.
type fixedStatus struct{}

func (fixedStatus) Ready() error { return nil }

func (fixedStatus) Status() operator.Status {
	return operator.Status{
		Node:     "node-a",
		Nodes:    []operator.NodeStatus{{ID: "node-b", State: "suspect", TreeRevision: 4}},
		Cells:    []operator.CellStatus{{Name: "assistant@uy-south", Owner: "node-b", Term: 3}},
		Servers:  []operator.ServerStatus{{ID: "server-1", CapacityBytes: 80 << 30, ReservedBytes: 17 << 30, Leaving: true}},
		Replicas: []operator.ReplicaStatus{{Model: "glaze-7b", Server: "server-1", State: "loading"}},
		Queues:   []operator.QueueStatus{{Model: "glaze-7b", Waiting: 12}},
	}
}

// startNode serves the operator API and returns its URL.
func startNode(t *testing.T, trees *operatortest.Trees) string {
	t.Helper()
	server := operator.New(operator.Config{
		Trees: trees, Status: fixedStatus{}, Metrics: prometheus.NewRegistry(),
		Logger: hclog.NewNullLogger(), Now: func() time.Time { return time.Unix(1, 0).UTC() },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving conc.WaitGroup
	serving.Go(func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
		serving.Wait()
	})
	return "http://" + listener.Addr().String()
}

// newTrees returns a store that holds the sample tree.
func newTrees(t *testing.T) *operatortest.Trees {
	t.Helper()
	initial, err := tree.Parse([]byte(sampleTree))
	if err != nil {
		t.Fatal(err)
	}
	return operatortest.NewTrees(initial)
}

// writeFile writes text to a new file and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// result is the outcome of a command.
type result struct {
	code     int
	out, err string
}

// execute runs a command line.
func execute(args ...string) result {
	var out, err bytes.Buffer
	code := Run(args, Streams{In: strings.NewReader(""), Out: &out, Err: &err})
	return result{code: code, out: out.String(), err: err.String()}
}

func TestTreeCommandsAgainstANode(t *testing.T) {
	trees := newTrees(t)
	address := startNode(t, trees)
	edited := writeFile(t, "revision: 1\n"+strings.Replace(sampleTree, "16GiB", "8GiB", 1))
	steps := []struct {
		command string
		out     string // expected part of the output; empty if the command must fail
	}{
		{"tree set /assistant keep_alive=5m", "accepted as revision 1"},
		{"tree explain /assistant/llama/glaze-7b", "keep_alive          5m        /assistant"},
		{"tree get /assistant", "keep_alive: 5m"},
		{"tree get", "keep_alive: 5m"},
		{"tree diff " + edited, "unset  /assistant keep_alive\nset    /assistant/llama/glaze-7b memory=8GiB"},
		{"tree apply " + edited, "accepted as revision 2"},
		{"tree unset /assistant/llama/glaze-7b memory", ""},
		{"tree set /assistant priority=-1 --base 2", "accepted as revision 3"},
		{"tree diff --from 1 --to 2", "set    /assistant/llama/glaze-7b memory=8GiB"},
		{"tree remove /assistant/llama", "accepted as revision 4"},
		{"tree history --count 1", "remove /assistant/llama"},
	}
	for _, step := range steps {
		got := execute(append(strings.Fields(step.command), "--address", address)...)
		wantCode := ExitOK
		if step.out == "" {
			wantCode = ExitRefused
		}
		if got.code != wantCode || !strings.Contains(got.out, step.out) {
			t.Errorf("%s: code %d, output %q, errors %q", step.command, got.code, got.out, got.err)
		}
	}
	if revision := trees.Current().Revision(); revision != 4 {
		t.Errorf("the tree is at revision %d, want 4", revision)
	}
}

func TestExitCodes(t *testing.T) {
	conflict := &tree.ConflictError{Path: "/assistant", Key: "keep_alive", Yours: `"5m"`, Theirs: `"6m"`, Author: "ben", Revision: 4}
	cases := []struct {
		name     string
		command  string
		failWith error
		code     int
		err      string
	}{
		{"findings", "tree set /assistant keep_alive=5", nil, ExitRefused, `/assistant keep_alive: "5" has no unit`},
		{"no assignment", "tree set /assistant keep_alive", nil, ExitUsage, "is not KEY=VALUE"},
		{"no subcommand", "tree", nil, ExitUsage, "tree needs one of"},
		{"no file", "tree apply missing.yaml", nil, ExitUsage, "missing.yaml"},
		{"no such output", "status --output xml", nil, ExitUsage, "neither table nor json"},
		{"table service down", "tree set /assistant keep_alive=5m", platform.ErrUnavailable, ExitUnreachable, "the table service is down"},
		{"outcome unknown", "tree set /assistant keep_alive=5m --id mine", platform.ErrUnknownOutcome, ExitUnreachable, "repeat the command with --id mine"},
		{"conflict", "tree set /assistant keep_alive=5m", conflict, ExitConflict, `you ask for "5m", but ben made it "6m" at revision 4`},
		{"no such node", "tree explain /x", nil, ExitRefused, "no such node"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			trees := newTrees(t)
			trees.Fail(test.failWith)
			args := strings.Fields(test.command)
			if len(args) > 1 {
				args = append(args, "--address", startNode(t, trees))
			}
			got := execute(args...)
			if got.code != test.code || !strings.Contains(got.err, test.err) {
				t.Errorf("code %d, want %d; errors %q", got.code, test.code, got.err)
			}
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	got := execute("tree", "set", "/a", "keep_alive=5m", "--address", "http://"+listener.Addr().String())
	if got.code != ExitUnreachable || strings.Contains(got.err, "outcome is unknown") {
		t.Errorf("no listener: %+v", got)
	}
}

func TestCheckReportsFiveFaultsOfAFile(t *testing.T) {
	files := map[string]string{
		"settings": "node: {id: node-a, zone: z 1, region: r}\nlisten: {callers: localhost:1, peers: 10.0.0.1:1, other: 1}\n" +
			"platform: {table: {endpoint: \"http://10.0.0.1:1\"}, objects: {endpoint: \"http://10.0.0.1:1\"}}\ndrain_time: 5\n",
		"tree": "keep_alive: 5\nmax_replicas: many\nservice: {}\nservices: {a: {weight_load_rate: 2, families: {b: {models: {c: {}}}}}}\n",
	}
	for kind, text := range files {
		file := writeFile(t, text)
		got := execute("check", file)
		if got.code != ExitRefused || strings.Count(got.err, file+":")+strings.Count(got.err, file+" ") != 5 {
			t.Errorf("%s: code %d, errors:\n%s", kind, got.code, got.err)
		}
	}
	if got := execute("check", writeFile(t, sampleTree)); got.code != ExitOK || !strings.Contains(got.out, "a valid tree") {
		t.Errorf("valid tree: %+v", got)
	}
}

func TestStatus(t *testing.T) {
	address := startNode(t, newTrees(t))
	table := execute("status", "--address", address)
	for _, part := range []string{"node-b  suspect", "assistant@uy-south  node-b  3", "17GiB     80GiB     leaving unreachable", "loading", "glaze-7b  12"} {
		if table.code != ExitOK || !strings.Contains(table.out, part) {
			t.Errorf("%q is missing in\n%s%s", part, table.out, table.err)
		}
	}
	encoded := execute("status", "--address", address, "--output", "json")
	if encoded.code != ExitOK || !strings.Contains(encoded.out, `"owner": "node-b"`) {
		t.Errorf("got %+v", encoded)
	}
}

func TestVersionAndAttachedCommands(t *testing.T) {
	if got := execute("version"); got.code != ExitOK || !strings.HasPrefix(got.out, "martenwheel ") {
		t.Errorf("got %+v", got)
	}
	subcommand := flaggy.NewSubcommand("node")
	name := ""
	subcommand.String(&name, "", "node-id", "name")
	var out bytes.Buffer
	code := Run([]string{"node", "--node-id", "a"}, Streams{Out: &out}, Extra{Command: subcommand, Run: func(streams Streams) int {
		fmt.Fprint(streams.Out, name)
		return 7
	}})
	if code != 7 || out.String() != "a" {
		t.Errorf("got %d, %q", code, out.String())
	}
}

func TestWrongCommandLinesEndWithHelp(t *testing.T) {
	flaggy.PanicInsteadOfExit = true
	defer func() { flaggy.PanicInsteadOfExit = false }()
	for _, line := range []string{"status --flog x", "tree set /a", "tree set /a keep_alive=1m surplus", "bogus"} {
		if code := exitCodeOf(strings.Fields(line)); code != ExitUsage {
			t.Errorf("%s: exit code %d, want %d", line, code, ExitUsage)
		}
	}
	if code := exitCodeOf([]string{"tree", "get", "--help"}); code != ExitOK {
		t.Errorf("--help: exit code %d", code)
	}
}

// exitCodeOf runs a command line and returns its exit code. When flaggy exits the process, it panics
// instead, with the exit code in the message.
func exitCodeOf(args []string) (code int) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, err := fmt.Sscanf(fmt.Sprint(reason), "Panic instead of exit with code: %d", &code); err != nil {
				panic(reason)
			}
		}
	}()
	return execute(args...).code
}
