package e2e

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"
)

// nodeList holds the nodes that callers use, as a load balancer would.
type nodeList struct {
	mutex sync.Mutex
	nodes []*nodeProcess
	next  int
}

func (l *nodeList) set(nodes []*nodeProcess) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nodes = nodes
}

// pick returns the next node, round-robin.
func (l *nodeList) pick() *nodeProcess {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.next++
	return l.nodes[l.next%len(l.nodes)]
}

// load generates a steady load during a test.
type load struct {
	nodes    nodeList
	stop     chan struct{}
	callers  *pool.Pool
	served   atomic.Int64
	refused  atomic.Int64
	streamed atomic.Int64
}

// startLoad sends streamed and other requests to all nodes until end is called.
func startLoad(t *testing.T, c *cluster) *load {
	const unstreamedCallers, streamCallers = 8, 4
	l := &load{stop: make(chan struct{}), callers: pool.New()}
	l.nodes.set(c.nodes)
	for range unstreamedCallers {
		l.callers.Go(func() { l.repeat(func() { l.unstreamedRequest(t) }) })
	}
	for range streamCallers {
		l.callers.Go(func() { l.repeat(func() { l.streamedRequest(t) }) })
	}
	return l
}

func (l *load) repeat(request func()) {
	for {
		select {
		case <-l.stop:
			return
		default:
			request()
		}
	}
}

// end stops the load and waits for the running requests.
func (l *load) end() {
	close(l.stop)
	l.callers.Wait()
}

// unstreamedRequest sends one request that is not streamed. It must be served, or fail in a way that proves
// that it did not run.
func (l *load) unstreamedRequest(t *testing.T) {
	_, err := tryUnstreamed(t.Context(), l.nodes.pick(), "glaze-7b")
	switch {
	case err == nil:
		l.served.Add(1)
	case surelyNotRun(err):
		l.refused.Add(1)
		time.Sleep(waitPoll)
	default:
		t.Errorf("a request ended with %v", err)
	}
}

// surelyNotRun reports whether a request was refused as not run, or could not be sent because the
// connection was refused.
func surelyNotRun(err error) bool {
	return notRun(err) || errors.Is(err, syscall.ECONNREFUSED)
}

// streamedRequest sends one streamed request. Once it has begun, it must complete.
func (l *load) streamedRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	client := newClient(l.nodes.pick())
	stream := client.Chat.Completions.NewStreaming(ctx, streamOf(400))
	defer stream.Close()
	events, finished := 0, false
	for stream.Next() {
		events++
		for _, choice := range stream.Current().Choices {
			finished = finished || choice.FinishReason != ""
		}
	}
	switch {
	case stream.Err() == nil && finished:
		l.streamed.Add(1)
	case events == 0 && stream.Err() != nil && surelyNotRun(stream.Err()):
		l.refused.Add(1)
		time.Sleep(waitPoll)
	default:
		t.Errorf("a stream ended after %d events, finished: %t, %v", events, finished, stream.Err())
	}
}

// TestRollingReplacement replaces all nodes one by one under a steady load. No stream may be cut,
// and each request must be served or refused as not run.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	c := startClusterWith(t, options{tree: doubleTree})
	askUntilServed(t, c.nodes[0], "glaze-7b")
	l := startLoad(t, c)
	for _, old := range c.nodes {
		before := l.served.Load() + l.streamed.Load()
		old.stop(t)
		l.nodes.set(c.nodesWithout(old))
		c.replaceNode(t, old)
		l.nodes.set(c.nodes)
		waitFor(t, "the load goes on", func() bool { return l.served.Load()+l.streamed.Load() > before+50 })
	}
	l.end()
	t.Logf("served %d, streams %d, refused as not run %d", l.served.Load(), l.streamed.Load(), l.refused.Load())
	if l.streamed.Load() == 0 {
		t.Error("no stream ran")
	}
}

// nodesWithout returns all nodes but one.
func (c *cluster) nodesWithout(excluded *nodeProcess) []*nodeProcess {
	var remaining []*nodeProcess
	for _, node := range c.nodes {
		if node != excluded {
			remaining = append(remaining, node)
		}
	}
	return remaining
}

// TestUnsafeRequestsGoOnWhileNodesAreReplacedAtOnce guards against planned stops that leave too few nodes that remember
// the keys of unsafe requests.
func TestUnsafeRequestsGoOnWhileNodesAreReplacedAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	askUntilServed(t, c.nodes[0], "glaze-7b")
	c.wantKeysRunOnce(t, c.nodes, "before")
	const rounds = 2
	for range rounds {
		for _, old := range c.nodes {
			old.stop(t)
			c.replaceNode(t, old)
		}
	}
	c.wantKeysRunOnce(t, c.nodes, "before") // repeats, which get the first answer
	c.wantKeysRunOnce(t, c.nodes, "after")
}
