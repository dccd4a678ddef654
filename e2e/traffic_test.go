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

// narrowTree allows one replica with one running request.
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

// getJSON reads from a stand-in's control API.
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

// executions counts how often the engines started requests whose key or ID begins with prefix.
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

// running counts the requests that run on an engine. Load reports lag, so it waits for one that
// covers the moment of the call.
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

// beginStream starts a stream of tokens and returns after its first event, with a function that
// reads the rest. The stream runs until it is read to its end or the context ends.
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

// TestCallersThatLeave disconnects callers while their requests are queued and while a stream runs.
// The queued requests must never run, and the stream must be cancelled on the engine long before
// its end.
func TestCallersThatLeave(t *testing.T) {
	t.Parallel()
	const (
		slowTokens       = "10" // simulated tokens per second; at this speed, 100 per second
		longStreamTokens = 8000 // tokens; takes longer than waitTimeout
	)
	c := startClusterWith(t, options{tree: narrowTree, engineFlags: []string{"--tokens", slowTokens}})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	holder := c.holder(t, "glaze-7b")

	streamContext, cancelStream := context.WithCancel(t.Context())
	defer cancelStream()
	finishStream := beginStream(streamContext, t, c.nodes[0], longStreamTokens)
	queueContext, cancelQueued := context.WithCancel(t.Context())
	callers := pool.New()
	for i := range 10 {
		callers.Go(func() {
			_, err := tryUnstreamed(queueContext, c.nodes[0], "glaze-7b",
				option.WithHeader("X-Request-Id", fmt.Sprintf("left-%d", i)),
				option.WithHeader("X-Deadline-Ms", strconv.FormatInt((4*waitTimeout).Milliseconds(), 10)))
			if err == nil {
				t.Error("a request was served although its caller had disconnected")
			}
		})
	}
	waitFor(t, "the requests are queued", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") == 10 })
	cancelQueued()
	callers.Wait()
	waitFor(t, "the queue is empty", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") == 0 })
	if running(t, holder) != 1 {
		t.Error("the stream no longer runs")
	}

	cancelStream()
	if finishStream() == nil {
		t.Error("the stream completed although its caller had disconnected")
	}
	waitFor(t, "the stream is cancelled at the engine", func() bool { return running(t, holder) == 0 })
	askUntilServed(t, c.nodes[0], "glaze-7b") // queued after the cancelled requests
	if count := c.executions(t, "left-"); count != 0 {
		t.Errorf("%d requests ran although their callers had disconnected", count)
	}
}

// waiting counts the queued requests for a model at a node.
func (c *cluster) waiting(t *testing.T, node *nodeProcess, model api.ModelName) int {
	t.Helper()
	for _, queue := range c.status(t, node).Queues {
		if queue.Model == model {
			return queue.Waiting
		}
	}
	return 0
}

// TestUrgentRequestsPassAFlood floods one model with requests of low priority. Urgent requests that
// arrive later must be served before most of the flood.
func TestUrgentRequestsPassAFlood(t *testing.T) {
	t.Parallel()
	const flood, urgent = 120, 10
	c := startClusterWith(t, options{tree: narrowTree})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	// A long deadline, so that the node doesn't refuse requests that it expects to miss a shorter
	// one.
	deadlineHeader := option.WithHeader("X-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	var floodServed atomic.Int64
	callers := pool.New()
	for range flood {
		callers.Go(func() {
			if _, err := tryUnstreamed(t.Context(), c.nodes[0], "glaze-7b", option.WithHeader("X-Priority", "-10"), deadlineHeader); err != nil {
				t.Errorf("flood: %v", err)
			}
			floodServed.Add(1)
		})
	}
	waitFor(t, "the flood is queued", func() bool { return c.waiting(t, c.nodes[0], "glaze-7b") > flood/2 })
	before := floodServed.Load()
	urgentCallers := pool.New()
	for range urgent {
		urgentCallers.Go(func() {
			if _, err := tryUnstreamed(t.Context(), c.nodes[0], "glaze-7b", option.WithHeader("X-Priority", "10"), deadlineHeader); err != nil {
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

// TestBrokenAnswersReachNobody makes an engine cut off, truncate or mix up its answers to many
// concurrent requests, each with a marked prompt. An answer that counts as served must be complete
// and belong to its request. Each fault has its own round, because an engine with several of them
// cuts answers before it mixes any.
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

// askWhileBroken sends requests with marked prompts, streamed and not, through all nodes while an
// engine breaks a number of answers.
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
		t.Errorf("some faults were not injected: %+v", left)
	}
	if served.Load() < int64(requests-broken) {
		t.Errorf("%d of %d requests are served, though only %d answers were broken", served.Load(), requests, broken)
	}
}

// askMarked sends a request whose answer must carry the mark of its prompt. It returns false for an
// explicit error. It fails the test if an incomplete answer counts as served, or if an answer
// carries tokens of another request.
func askMarked(t *testing.T, node *nodeProcess, prompt string, streamed bool) bool {
	const tokens = 40
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
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
		t.Errorf("an answer that counts as complete has %d tokens, want %d", len(words), tokens)
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

// refusalOf returns the API error and its Retry-After time.
func refusalOf(err error) (apiError *openai.Error, retryAfter time.Duration) {
	if !errors.As(err, &apiError) || apiError.Response == nil {
		return nil, 0
	}
	seconds, _ := strconv.Atoi(apiError.Response.Header.Get("Retry-After")) // a missing header counts as zero
	return apiError, time.Duration(seconds) * time.Second
}

// TestHopelessRequestIsRefusedAtOnce requests a model whose load takes longer than the deadline.
// The refusal must arrive long before the deadline, with a usable Retry-After.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	const deadline = 20 * time.Second
	c := startClusterWith(t, options{tree: strings.Replace(narrowTree, "load_time: 1s", "load_time: 2m", 1)})
	c.owner(t)
	setFaults(t, c.platformAddress, standin.PartWeights, standin.Faults{SlowFactor: 1000})
	for _, node := range c.nodes {
		began := time.Now()
		_, err := tryUnstreamed(t.Context(), node, "glaze-7b", option.WithHeader("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
		took := time.Since(began)
		refusal, retryAfter := refusalOf(err)
		if refusal == nil || !notRun(err) || refusal.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s answers %v, want a refusal marked as not run", node.id, err)
		}
		if took > deadline/2 {
			t.Errorf("%s refuses after %s, with a deadline of %s", node.id, took, deadline)
		}
		if retryAfter < deadline || retryAfter > 10*time.Minute {
			t.Errorf("%s gives Retry-After %s for a load of two minutes", node.id, retryAfter)
		}
	}
}

// TestSlowWeightStore slows the weight store down to a tenth without notice. Each request must be
// served, or refused by its deadline with a Retry-After; a caller that waits that long must be
// served in the end.
func TestSlowWeightStore(t *testing.T) {
	t.Parallel()
	const tolerance = 5 * time.Second // for delays on a busy machine
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
					_, err := tryUnstreamed(t.Context(), node, model, option.WithHeader("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
					if err == nil {
						return
					}
					refusal, retryAfter := refusalOf(err)
					if refusal == nil || !notRun(err) || retryAfter == 0 {
						t.Errorf("%s for %s: %v after %s, want a refusal with Retry-After", model, deadline, err, time.Since(began))
						return
					}
					if took := time.Since(began); took > deadline+tolerance {
						t.Errorf("%s is refused after %s with a deadline of %s", model, took, deadline)
					}
					t.Logf("%s, deadline %s, round %d: refused, Retry-After %s", model, deadline, round, retryAfter)
					time.Sleep(retryAfter)
				}
				t.Errorf("%s for %s: not served although the caller followed Retry-After", model, deadline)
			})
		}
	}
	callers.Wait()
}

// TestLeavingEngineGetsNoNewWork shuts down an engine while a long stream runs on it. Once the
// nodes know, they must not send it any request, not even one that it would refuse, and the stream
// must complete.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, options{tree: doubleTree, engineFlags: []string{"--tokens", "20"}})
	waitFor(t, "all nodes see two ready replicas", func() bool {
		for _, node := range c.nodes {
			if c.readyReplicas(t, node, "glaze-7b") != 2 {
				return false
			}
		}
		return true
	})
	finishStream := beginStream(t.Context(), t, c.nodes[0], 1500)
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
		waitFor(t, string(node.id)+" knows that the engine is leaving", func() bool { return c.knowsLeaving(t, node, leaving) })
	}
	// Sent concurrently: on a slow machine, sequential requests would take longer than the stream.
	callers := pool.New().WithMaxGoroutines(6)
	for i := range 60 {
		callers.Go(func() {
			if _, err := unstreamedAnswer(t.Context(), c.nodes[i%len(c.nodes)], "glaze-7b", fmt.Sprintf("after-%d", i)); err != nil {
				t.Error(err)
			}
		})
	}
	callers.Wait()
	c.wantOneAttemptEach(t, "after-", 60)
	if running(t, leaving) != 1 {
		t.Error("the stream ended before the other requests, so they prove nothing")
	}
	if err := finishStream(); err != nil {
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

// wantOneAttemptEach checks in the nodes' logs that each of count requests was sent to one engine
// only.
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

// requestLines returns the nodes' log lines of requests whose ID begins with prefix.
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
