package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
)

// narrowTree lets one request at a time run on the only replica.
const narrowTree = `keep_alive: 1h
prewarm: false
load_time: 1s
services:
  assistant:
    deadline: 25s
    families:
      llama:
        max_concurrency: 1
        models:
          glaze-7b: {memory: 4GiB}
`

// doubleTree keeps two replicas loaded.
const doubleTree = `keep_alive: 1h
prewarm: false
load_time: 1s
services:
  assistant:
    deadline: 20s
    families:
      llama:
        min_replicas: 2
        max_replicas: 2
        models:
          glaze-7b: {memory: 4GiB}
`

// getJSON reads a stand-in's own API.
func getJSON[Answer any](t *testing.T, address, path string) Answer {
	t.Helper()
	var answer Answer
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer
}

// executions counts how often the engines in reach began requests whose key or
// ID begins with prefix.
func (c *cluster) executions(t *testing.T, prefix string) int {
	t.Helper()
	count := 0
	for _, e := range c.engines {
		for key, times := range getJSON[map[string]int](t, e.Address, standin.PathExecuted) {
			if strings.HasPrefix(key, prefix) {
				count += times
			}
		}
	}
	return count
}

// running counts the requests that run on an engine. The engine's reports lag,
// so that it waits for one that shows the moment of the call or a later one.
func running(t *testing.T, e *engineProcess) int {
	t.Helper()
	lag := standin.DefaultEngineConfig().LoadReportLag
	current := getJSON[engine.LoadReport](t, e.Address, engine.PathLoad).AsOf.Add(lag + lag/4)
	var report engine.LoadReport
	waitFor(t, "the engine reports its load", func() bool {
		report = getJSON[engine.LoadReport](t, e.Address, engine.PathLoad)
		return !report.AsOf.Before(current)
	})
	count := 0
	for _, model := range report.Models {
		count += model.Running
	}
	return count
}

// beginStream starts a stream of tokens and returns after its first event. The
// stream goes on until it is read to its end or the context ends.
func beginStream(ctx context.Context, t *testing.T, node *nodeProcess, tokens int64) func() error {
	t.Helper()
	client := newClient(node)
	stream := client.Chat.Completions.NewStreaming(ctx, streamOf(tokens))
	if !stream.Next() {
		t.Fatalf("no stream: %v", stream.Err())
	}
	return func() error {
		defer stream.Close()
		finished := false
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				finished = finished || choice.FinishReason != ""
			}
		}
		if stream.Err() == nil && !finished {
			return errors.New("the stream ended without its end mark")
		}
		return stream.Err()
	}
}

// TestCallersThatLeave lets callers leave while their requests wait and while
// a stream runs. The waiting ones never run, and the stream is cancelled at the
// engine long before its end.
func TestCallersThatLeave(t *testing.T) {
	t.Parallel()
	const (
		slowTokens = "10" // simulated tokens a second; with the speed 100 a second
		longer     = 8000 // tokens: longer than waitBound
	)
	c := startClusterWith(t, options{tree: narrowTree, engineFlags: []string{"--tokens", slowTokens}})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	holder := c.holder(t, "glaze-7b")

	streaming, leaveStream := context.WithCancel(t.Context())
	defer leaveStream()
	rest := beginStream(streaming, t, c.nodes[0], longer)
	waiting, leaveQueue := context.WithCancel(t.Context())
	callers := pool.New()
	for i := range 10 {
		callers.Go(func() {
			_, err := tryWhole(waiting, c.nodes[0], "glaze-7b",
				option.WithHeader("X-Request-Id", fmt.Sprintf("left-%d", i)),
				option.WithHeader("X-Deadline-Ms", strconv.FormatInt((4*waitBound).Milliseconds(), 10)))
			if err == nil {
				t.Error("a request was served although its caller had left")
			}
		})
	}
	waitFor(t, "the requests wait", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") == 10 })
	leaveQueue()
	callers.Wait()
	waitFor(t, "the requests wait no more", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") == 0 })
	if running(t, holder) != 1 {
		t.Error("the stream doesn't run any more")
	}

	leaveStream()
	if rest() == nil {
		t.Error("the stream ended although its caller had left")
	}
	waitFor(t, "the stream is cancelled at the engine", func() bool { return running(t, holder) == 0 })
	askUntilServed(t, c.nodes[0], "glaze-7b") // comes after the others in the queue
	if count := c.executions(t, "left-"); count != 0 {
		t.Errorf("%d requests ran whose callers had left", count)
	}
}

// waiting counts the requests for a model that wait at a node.
func (c *cluster) waiting(t *testing.T, node *nodeProcess, model api.ModelName) int {
	t.Helper()
	for _, queue := range c.status(t, node).Queues {
		if queue.Model == model {
			return queue.Waiting
		}
	}
	return 0
}

// TestUrgentRequestsPassAFlood floods one model with requests of low priority.
// Urgent ones that come after are served before most of the flood.
func TestUrgentRequestsPassAFlood(t *testing.T) {
	t.Parallel()
	const flood, urgent = 120, 10
	c := startClusterWith(t, options{tree: narrowTree})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	// The callers wait for so long: the node is not to refuse what it expects before that.
	patience := option.WithHeader("X-Deadline-Ms", strconv.FormatInt(requestBound.Milliseconds(), 10))
	var floodServed atomic.Int64
	callers := pool.New()
	for range flood {
		callers.Go(func() {
			if _, err := tryWhole(t.Context(), c.nodes[0], "glaze-7b", option.WithHeader("X-Priority", "-10"), patience); err != nil {
				t.Errorf("flood: %v", err)
			}
			floodServed.Add(1)
		})
	}
	waitFor(t, "the flood waits", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") > flood/2 })
	before := floodServed.Load()
	urgentCallers := pool.New()
	for range urgent {
		urgentCallers.Go(func() {
			if _, err := tryWhole(t.Context(), c.nodes[0], "glaze-7b", option.WithHeader("X-Priority", "10"), patience); err != nil {
				t.Errorf("urgent: %v", err)
			}
		})
	}
	urgentCallers.Wait()
	if passed := floodServed.Load() - before; passed > flood/4 {
		t.Errorf("%d requests of the flood were served before the last urgent one", passed)
	}
	callers.Wait()
}

// TestBrokenAnswersReachNobody lets an engine cut, truncate or mix up answers
// to many marked requests at once. What counts as served is whole and one's own.
// An engine that is told to do all at once cuts before it mixes, so each fault
// has its own round.
func TestBrokenAnswersReachNobody(t *testing.T) {
	t.Parallel()
	const broken = 8 // answers in each round
	c := startCluster(t)
	askUntilServed(t, c.nodes[0], "glaze-7b")
	holder := c.holder(t, "glaze-7b")
	for name, faults := range map[string]standin.Faults{
		"cut":       {CutAnswers: broken},
		"truncated": {TruncateAnswers: broken},
		"mixed":     {MixAnswers: broken},
	} {
		t.Run(name, func(t *testing.T) { c.askWhileBroken(t, holder, faults, broken) })
	}
}

// askWhileBroken sends marked requests, whole and streamed, through all nodes
// while an engine has faults that break a number of answers.
func (c *cluster) askWhileBroken(t *testing.T, holder *engineProcess, faults standin.Faults, broken int) {
	const requests = 60
	setFaults(t, holder.Address, standin.PartRequests, faults)
	var served atomic.Int64
	callers := pool.New().WithMaxGoroutines(20)
	for i := range requests {
		node := c.nodes[i%len(c.nodes)]
		callers.Go(func() {
			if askMarked(t, node, fmt.Sprintf("What of kiln %d?", i), i%2 == 0) {
				served.Add(1)
			}
		})
	}
	callers.Wait()
	left := getJSON[map[string]standin.Faults](t, holder.Address, standin.PathFaults)[standin.PartRequests]
	if left != (standin.Faults{}) {
		t.Errorf("not all answers were broken that should be: %+v", left)
	}
	if served.Load() < int64(requests-broken) {
		t.Errorf("%d of %d requests are served, though only %d answers were broken", served.Load(), requests, broken)
	}
}

// askMarked sends a request whose answer carries the mark of its prompt. It
// returns false for an explicit error, and fails the test for an answer that
// looks whole and isn't, or that holds another's.
func askMarked(t *testing.T, node *nodeProcess, prompt string, streamed bool) bool {
	const tokens = 40
	ctx, cancel := context.WithTimeout(t.Context(), requestBound)
	defer cancel()
	client := newClient(node)
	request := openai.CompletionNewParams{
		Model:     "glaze-7b",
		MaxTokens: openai.Int(tokens),
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	}
	text, err := "", error(nil)
	if streamed {
		text, err = readStream(ctx, client, request)
	} else {
		var completion *openai.Completion
		if completion, err = client.Completions.New(ctx, request); err == nil {
			text = completion.Choices[0].Text
		}
	}
	mark := standin.Mark("glaze-7b", prompt)
	words := strings.Fields(text)
	for i, word := range words {
		own := strings.HasPrefix(word, mark+".") && strings.HasSuffix(word, "-"+strconv.Itoa(i))
		if !own || strings.TrimSuffix(word, strconv.Itoa(i)) != strings.TrimSuffix(words[0], "0") {
			t.Errorf("token %d of the answer to %q is %q", i, prompt, word)
			return false
		}
	}
	if err == nil && len(words) != tokens {
		t.Errorf("an answer that counts as whole has %d tokens of %d", len(words), tokens)
	}
	return err == nil
}

func readStream(ctx context.Context, client openai.Client, request openai.CompletionNewParams) (text string, err error) {
	stream := client.Completions.NewStreaming(ctx, request)
	defer stream.Close()
	finished := false
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Text
			finished = finished || choice.FinishReason != ""
		}
	}
	if stream.Err() == nil && !finished {
		return text, errors.New("the stream ended without its end mark")
	}
	return text, stream.Err()
}

// refusalOf returns the API's error with its advice when to come back.
func refusalOf(err error) (apiError *openai.Error, retryAfter time.Duration) {
	if !errors.As(err, &apiError) || apiError.Response == nil {
		return nil, 0
	}
	seconds, _ := strconv.Atoi(apiError.Response.Header.Get("Retry-After")) // absent counts as zero
	return apiError, time.Duration(seconds) * time.Second
}

// TestHopelessRequestIsRefusedAtOnce asks for a model whose load takes longer
// than the deadline. The refusal comes long before the deadline and says when
// to come back.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const deadline = 20 * time.Second
	c := startClusterWith(t, options{tree: strings.Replace(narrowTree, "load_time: 1s", "load_time: 2m", 1)})
	c.owner(t)
	setFaults(t, c.platformAddress, standin.PartWeights, standin.Faults{SlowFactor: 1000})
	for _, node := range c.nodes {
		began := time.Now()
		_, err := tryWhole(t.Context(), node, "glaze-7b", option.WithHeader("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
		took := time.Since(began)
		refusal, retryAfter := refusalOf(err)
		if refusal == nil || !notRun(err) || refusal.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s answers %v, want a refusal that did not run", node.id, err)
		}
		if took > deadline/2 {
			t.Errorf("%s refuses after %s of %s", node.id, took, deadline)
		}
		if retryAfter < deadline || retryAfter > 10*time.Minute {
			t.Errorf("%s says to come back after %s for a load of two minutes", node.id, retryAfter)
		}
	}
}

// TestSlowWeightStore slows the weight store down ten times without notice.
// Each request is served, or refused by its deadline with advice; a caller that
// follows the advice is served.
func TestSlowWeightStore(t *testing.T) {
	t.Parallel()
	const late = 5 * time.Second // of an answer on a busy machine
	c := startCluster(t)
	c.owner(t)
	setFaults(t, c.platformAddress, standin.PartWeights, standin.Faults{SlowFactor: 10})
	callers := pool.New()
	for i, deadline := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		for _, model := range []string{"glaze-7b", "firing-13b", "glaze-7b:studio-3"} {
			node := c.nodes[i]
			callers.Go(func() {
				for round := range 10 {
					began := time.Now()
					_, err := tryWhole(t.Context(), node, model, option.WithHeader("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
					if err == nil {
						return
					}
					refusal, retryAfter := refusalOf(err)
					if refusal == nil || !notRun(err) || retryAfter == 0 {
						t.Errorf("%s for %s: %v after %s, want a refusal with advice", model, deadline, err, time.Since(began))
						return
					}
					if took := time.Since(began); took > deadline+late {
						t.Errorf("%s is refused after %s with a deadline of %s", model, took, deadline)
					}
					t.Logf("%s, deadline %s, round %d: refused, come back after %s", model, deadline, round, retryAfter)
					time.Sleep(retryAfter)
				}
				t.Errorf("%s for %s: not served by a caller that followed the advice", model, deadline)
			})
		}
	}
	callers.Wait()
}

// TestLeavingEngineGetsNoNewWork stops an engine while a long stream runs on
// it. Once the nodes know, no request is sent there, not even to be refused,
// and the stream ends whole.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, options{tree: doubleTree, engineFlags: []string{"--tokens", "20"}})
	waitFor(t, "two replicas are ready in all views", func() bool {
		for _, node := range c.nodes {
			if c.readyReplicas(t, node, "glaze-7b") != 2 {
				return false
			}
		}
		return true
	})
	rest := beginStream(t.Context(), t, c.nodes[0], 1500)
	var leaving *engineProcess
	waitFor(t, "the stream shows in a load report", func() bool {
		for _, e := range c.engines {
			if running(t, e) > 0 {
				leaving = e
			}
		}
		return leaving != nil
	})
	leaving.signal(syscall.SIGTERM)
	for _, node := range c.nodes {
		waitFor(t, string(node.id)+" knows that the engine leaves", func() bool { return c.knowsLeaving(t, node, leaving) })
	}
	// Several at once: on a slow machine one after the other would outlast the stream.
	callers := pool.New().WithMaxGoroutines(6)
	for i := range 60 {
		callers.Go(func() {
			if _, err := wholeAnswer(t.Context(), c.nodes[i%len(c.nodes)], "glaze-7b", fmt.Sprintf("after-%d", i)); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	c.wantOneAttemptEach(t, "after-", 60)
	if running(t, leaving) != 1 {
		t.Error("the stream was over too early to show anything")
	}
	if err := rest(); err != nil {
		t.Errorf("the stream on the leaving engine: %v", err)
	}
}

func (c *cluster) readyReplicas(t *testing.T, node *nodeProcess, model api.ModelName) int {
	t.Helper()
	count := 0
	for _, replica := range c.status(t, node).Replicas {
		if replica.Model == model && replica.State == api.ReplicaReady.String() {
			count++
		}
	}
	return count
}

func (c *cluster) knowsLeaving(t *testing.T, node *nodeProcess, e *engineProcess) bool {
	t.Helper()
	for _, server := range c.status(t, node).Servers {
		if server.ID == e.id {
			return server.Leaving
		}
	}
	return false
}

// wantOneAttemptEach checks in the nodes' logs that each of count requests was
// sent to one engine only.
func (c *cluster) wantOneAttemptEach(t *testing.T, prefix string, count int) {
	t.Helper()
	var lines []logLine
	waitFor(t, "all requests are logged", func() bool {
		lines = c.requestLines(t, prefix)
		return len(lines) == count
	})
	for _, line := range lines {
		if line["attempts"] != float64(1) {
			t.Errorf("request %v took %v attempts", line["request_id"], line["attempts"])
		}
	}
}

// requestLines returns the nodes' log lines of requests whose ID begins with
// prefix.
func (c *cluster) requestLines(t *testing.T, prefix string) []logLine {
	t.Helper()
	var found []logLine
	for _, node := range c.nodes {
		for _, line := range node.lines(t) {
			if id, _ := line["request_id"].(string); strings.HasPrefix(id, prefix) {
				found = append(found, line)
			}
		}
	}
	return found
}
