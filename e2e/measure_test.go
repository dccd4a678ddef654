package e2e

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/standin"
)

var measure = flag.Bool("measure", false, "run the measurements, which check nothing and take minutes")

// skipUnlessMeasuring skips a measurement unless -measure is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("runs with -measure only")
	}
}

// report logs the median, minimum and maximum of durations.
func report(t *testing.T, label string, durations []time.Duration) {
	t.Helper()
	slices.Sort(durations)
	t.Logf("%s: n=%d, median %s, least %s, most %s", label, len(durations),
		durations[len(durations)/2].Round(time.Millisecond),
		durations[0].Round(time.Millisecond),
		durations[len(durations)-1].Round(time.Millisecond))
}

// TestMeasureTakeover measures the time from the death of the owner until another node sees a new
// owner.
func TestMeasureTakeover(t *testing.T) {
	skipUnlessMeasuring(t)
	const runs = 7
	for _, table := range []struct {
		name   string
		faults standin.Faults
	}{{"table service up", standin.Faults{}}, {"table service down", standin.Faults{Refuse: true}}} {
		c := startCluster(t)
		askUntilServed(t, c.nodes[0], "firing-13b")
		setFaults(t, c.platformAddress, standin.PartTable, table.faults)
		var takeovers []time.Duration
		for range runs {
			c.waitForCompleteGroup(t)
			owner, other := c.owner(t)
			killed := time.Now()
			owner.kill()
			c.waitForOtherOwner(t, other, owner.id)
			takeovers = append(takeovers, time.Since(killed))
			c.replaceNode(t, owner)
		}
		report(t, "takeover, "+table.name, takeovers)
	}
}

// waitForCompleteGroup waits until the cell's quorum group has all three members, and then for it to
// settle.
func (c *cluster) waitForCompleteGroup(t *testing.T) {
	t.Helper()
	const settled = 3 * time.Second
	waitFor(t, "the group is complete", func() bool {
		cells := c.status(t, c.nodes[0]).Cells
		return len(cells) == 1 && len(cells[0].Members) == len(zones)
	})
	time.Sleep(settled)
}

// TestMeasureEdit measures how long an edit takes to be applied on the last node, both from the
// request and from its acceptance.
func TestMeasureEdit(t *testing.T) {
	skipUnlessMeasuring(t)
	const runs = 30
	c := startCluster(t)
	c.owner(t)
	var fromRequest, fromAcceptance []time.Duration
	for i := range runs {
		value := fmt.Sprintf("%dm", 10+i)
		asked := time.Now()
		if _, err := c.operatorClient(c.nodes[i%len(c.nodes)]).Edit(t.Context(), keepAliveEdit(0, value)); err != nil {
			t.Fatal(err)
		}
		accepted := time.Now()
		for _, node := range c.nodes {
			for present := ""; present != value; present, _ = c.keepAlive(t, node) {
				time.Sleep(time.Millisecond)
			}
		}
		appliedAt := time.Now()
		fromRequest = append(fromRequest, appliedAt.Sub(asked))
		fromAcceptance = append(fromAcceptance, appliedAt.Sub(accepted))
	}
	report(t, "edit, from the request until applied on the last node", fromRequest)
	report(t, "edit, from its acceptance until applied on the last node", fromAcceptance)
}

// TestMeasureLeaving measures the time from the stop signal of an engine to the last request that
// it had to refuse.
func TestMeasureLeaving(t *testing.T) {
	skipUnlessMeasuring(t)
	const runs = 5
	c := startClusterWith(t, options{tree: doubleTree, engineFlags: []string{"--tokens", "20"}})
	var last []time.Duration
	for run := range runs {
		waitFor(t, "two replicas are ready", func() bool { return c.readyReplicas(t, c.nodes[0], "glaze-7b") == 2 })
		leaving := c.holder(t, "glaze-7b")
		prefix := fmt.Sprintf("run-%d-", run)
		stop := make(chan struct{})
		callers := pool.New()
		for caller := range 12 {
			node := c.nodes[caller%len(c.nodes)]
			callers.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
						askUnstreamed(t, node, "glaze-7b", fmt.Sprintf("%s%d-%d", prefix, caller, i))
					}
				}
			})
		}
		time.Sleep(2 * time.Second)
		signalled := time.Now()
		leaving.signal(syscall.SIGTERM)
		time.Sleep(6 * time.Second)
		close(stop)
		callers.Wait()
		last = append(last, c.lastRepeat(t, prefix, signalled))
		<-leaving.exited
		index := slices.Index(c.engines, leaving)
		c.engines[index] = c.startEngine(t, zones[index], anyPort)
	}
	report(t, "from the stop signal of an engine to the last request that it got", last)
}

// lastRepeat returns the time from since to the end of the last request that took more than one
// attempt.
func (c *cluster) lastRepeat(t *testing.T, prefix string, since time.Time) time.Duration {
	t.Helper()
	last := time.Duration(0)
	for _, line := range c.requestLines(t, prefix) {
		attempts, _ := line["attempts"].(float64)
		text, _ := line["@timestamp"].(string)
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			t.Fatal(err)
		}
		if attempts > 1 {
			last = max(last, at.Sub(since))
		}
	}
	return last
}

// TestMeasureColdStart measures the time to the first token of an idle model, and how much of it is
// spent outside the load on the engine.
func TestMeasureColdStart(t *testing.T) {
	skipUnlessMeasuring(t)
	const models = 12
	tree := "weight_load_rate: 100\n" + // high enough that loads don't wait for the weight store's rate limit
		strings.Replace(narrowTree, "          glaze-7b: {memory: 4GiB}\n", "", 1)
	for i := range models {
		tree += fmt.Sprintf("          cold-%d: {memory: 2GiB}\n", i)
	}
	c := startClusterWith(t, options{tree: tree})
	askUntilServed(t, c.nodes[0], "cold-0")
	var first, loads, overheads []time.Duration
	for i := 1; i < models; i++ {
		model := fmt.Sprintf("cold-%d", i)
		var load time.Duration
		watch := pool.New()
		watch.Go(func() { load = c.loadDuration(t, api.ModelName(model)) })
		asked := time.Now()
		client := newClient(c.nodes[i%len(c.nodes)])
		stream := client.Chat.Completions.NewStreaming(t.Context(), parameters(model))
		if !stream.Next() {
			t.Fatal(stream.Err())
		}
		took := time.Since(asked)
		stream.Close()
		watch.Wait()
		first, loads, overheads = append(first, took), append(loads, load), append(overheads, took-load)
	}
	report(t, "cold start, to the first token", first)
	report(t, "cold start, load time seen in the engines' inventories", loads)
	report(t, "cold start, time outside the load", overheads)
}

// loadDuration polls the engines until a model is loaded and returns how long the load took.
func (c *cluster) loadDuration(t *testing.T, model api.ModelName) time.Duration {
	began := time.Time{}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, e := range c.engines {
			if began.IsZero() && e.holds(t, model) {
				began = time.Now()
			}
			ready := func(item engine.Item) bool { return item.Model == model && item.State == engine.ItemReady }
			if slices.ContainsFunc(e.items(t), ready) {
				return time.Since(began)
			}
		}
	}
	t.Errorf("%s was not loaded", model)
	return 0
}
