package e2e

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
)

// requestTimeout is the timeout of one request.
const requestTimeout = 30 * time.Second

// newClient returns a client of the published OpenAI library, with its retries disabled.
func newClient(node *nodeProcess) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+node.Callers+"/v1/"),
		option.WithAPIKey("none"),
		option.WithMaxRetries(0),
	)
}

func parameters(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("When may I glaze?")},
	}
}

// streamOf returns a request for a number of tokens.
func streamOf(tokens int64) openai.ChatCompletionNewParams {
	request := parameters("glaze-7b")
	request.MaxTokens = openai.Int(tokens)
	return request
}

// askUnstreamed sends a request that is not streamed and returns its text; errors fail the test.
func askUnstreamed(t *testing.T, node *nodeProcess, model, requestID string) string {
	t.Helper()
	content, err := unstreamedAnswer(t.Context(), node, model, requestID)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// unstreamedAnswer is askUnstreamed for goroutines other than the test's, which must not call t.Fatal.
func unstreamedAnswer(ctx context.Context, node *nodeProcess, model, requestID string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := newClient(node)
	completion, err := client.Chat.Completions.New(ctx, parameters(model), option.WithHeader("X-Request-Id", requestID))
	if err != nil {
		return "", errors.Wrap(err, model)
	}
	if len(completion.Choices) != 1 || completion.Choices[0].FinishReason == "" {
		return "", errors.Errorf("%s: incomplete answer %s", model, completion.RawJSON())
	}
	return completion.Choices[0].Message.Content, nil
}

// askStreamed sends a streamed request and returns its text.
func askStreamed(t *testing.T, node *nodeProcess, model, requestID string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	client := newClient(node)
	stream := client.Chat.Completions.NewStreaming(ctx, parameters(model), option.WithHeader("X-Request-Id", requestID))
	defer stream.Close()
	text, finished := "", false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
			finished = finished || choice.FinishReason != ""
		}
	}
	if stream.Err() != nil || !finished {
		t.Fatalf("%s: stream ended (%v), finished: %t, text %q", model, stream.Err(), finished, text)
	}
	return text
}

// TestWholePath sends requests through three nodes that run as separate processes: to an idle and
// to a loaded model, streamed and not, and to an adapter. A shorter keep-alive then unloads the
// replicas, and one request must appear in the logs of the node, the engine and the owner.
func TestWholePath(t *testing.T) {
	t.Parallel()
	c := startCluster(t)

	if text := askStreamed(t, c.nodes[0], "glaze-7b", "idle-streamed"); text == "" {
		t.Error("idle model, streamed: no text")
	}
	if text := askUnstreamed(t, c.nodes[1], "glaze-7b", "loaded-whole"); text == "" {
		t.Error("loaded model, whole: no text")
	}
	if text := askStreamed(t, c.nodes[2], "glaze-7b:studio-3", "adapter-streamed"); text == "" {
		t.Error("idle adapter on a loaded base, streamed: no text")
	}
	if text := askUnstreamed(t, c.nodes[2], "firing-13b", "idle-whole"); text == "" {
		t.Error("idle model, whole: no text")
	}
	if count := c.replicas(t, c.nodes[0], "glaze-7b"); count != 1 {
		t.Errorf("glaze-7b has %d replicas, want 1", count)
	}

	c.setTree(t, "/", "keep_alive=1s")
	for _, node := range c.nodes {
		waitFor(t, "all replicas are unloaded as seen by "+string(node.id), func() bool {
			return len(c.status(t, node).Replicas) == 0
		})
	}
	wantRequestLogged(t, c, "idle-streamed")
	wantOneRevision(t, c)
}

// wantOneRevision checks that every node's status shows all nodes at the same tree revision.
func wantOneRevision(t *testing.T, c *cluster) {
	t.Helper()
	for _, asked := range c.nodes {
		status := c.status(t, asked)
		if len(status.Nodes) != len(c.nodes) {
			t.Errorf("%s shows %d nodes, want %d", asked.id, len(status.Nodes), len(c.nodes))
		}
		for _, node := range status.Nodes {
			if node.TreeRevision != status.TreeRevision || node.TreeRevision == 0 {
				t.Errorf("%s shows revision %d of %s, its own is %d", asked.id, node.TreeRevision, node.ID, status.TreeRevision)
			}
		}
	}
}

// wantRequestLogged checks that a request can be traced across processes, and that all logs are
// JSON lines.
func wantRequestLogged(t *testing.T, c *cluster, requestID string) {
	t.Helper()
	served := 0
	for _, node := range c.nodes {
		for _, line := range node.lines(t) {
			if line["request_id"] == requestID && line["outcome"] == "served" {
				served++
				wantFields(t, line, "node", "model", "revision", "server")
			}
		}
	}
	if served != 1 {
		t.Errorf("request %s is served in %d log lines, want 1", requestID, served)
	}
	atEngines, loads := 0, 0
	for _, engine := range c.engines {
		atEngines += countLines(t, engine.process, "request", requestID)
	}
	for _, node := range c.nodes {
		loads += countLines(t, node.process, "load ordered", requestID)
	}
	if atEngines != 1 || loads != 1 {
		t.Errorf("request %s is in %d log lines of engines and in %d about load orders, want 1 each", requestID, atEngines, loads)
	}
}

// countLines counts a process's log lines with a message about a request. Other processes log an ID
// that begins with the caller's request ID.
func countLines(t *testing.T, p *process, message, requestID string) int {
	t.Helper()
	count := 0
	for _, line := range p.lines(t) {
		id, _ := line["request_id"].(string)
		if line["@message"] == message && strings.HasPrefix(id, requestID) {
			count++
		}
	}
	return count
}

func wantFields(t *testing.T, line logLine, names ...string) {
	t.Helper()
	for _, name := range names {
		if value, present := line[name]; !present || value == "" {
			t.Errorf("log line lacks %s: %v", name, line)
		}
	}
}
