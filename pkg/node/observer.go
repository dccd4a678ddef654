package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// Interval, timeout and concurrency of observing engines.
const (
	observeInterval    = time.Second
	observeTimeout     = 800 * time.Millisecond
	maxConcurrentPolls = 16
)

// observer polls the load and the cache events of the engines that this node sends
// requests to. It skips engines that the node has not used since the last round, so
// that the cost depends on the node's own traffic and not on the number of servers.
type observer struct {
	engines engine.Client
	router  *traffic.Router
	view    *view
	granted map[api.ModelName]uint64 // requests granted per model until the last round
	events  map[api.ServerID]uint64  // sequence number of the last cache event received
}

func newObserver(engines engine.Client, router *traffic.Router, view *view) *observer {
	return &observer{
		engines: engines,
		router:  router,
		view:    view,
		granted: make(map[api.ModelName]uint64),
		events:  make(map[api.ServerID]uint64),
	}
}

// run polls the engines until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.pollAll(ctx)
		}
	}
}

// pollAll polls all servers in use concurrently and waits for their answers.
func (o *observer) pollAll(ctx context.Context) {
	servers := o.serversInUse()
	o.forgetOthers(servers)
	asked := pool.NewWithResults[observation]().WithMaxGoroutines(maxConcurrentPolls)
	for _, server := range servers {
		after := o.events[server.ID]
		asked.Go(func() observation { return o.observe(ctx, server, after) })
	}
	for _, seen := range asked.Wait() {
		o.report(seen)
	}
}

// serversInUse returns the reachable servers that have a replica of a model in use.
// A model is in use if this node has running requests for it or has sent some since
// the last round.
func (o *observer) serversInUse() map[api.ServerID]api.ServerView {
	directory := o.view.Directory()
	servers := make(map[api.ServerID]api.ServerView)
	granted := make(map[api.ModelName]uint64)
	for _, model := range o.router.Stats().Models {
		granted[model.Model] = model.Granted
		if model.Running == 0 && model.Granted == o.granted[model.Model] {
			continue
		}
		for _, replica := range directory.Replicas[model.Model] {
			if server, known := directory.Servers[replica.Server]; known && server.Reachable {
				servers[server.ID] = server
			}
		}
	}
	o.granted = granted
	return servers
}

// forgetOthers drops the sequence numbers of servers that are neither in use nor in
// the directory.
func (o *observer) forgetOthers(servers map[api.ServerID]api.ServerView) {
	known := o.view.Directory().Servers
	for id := range o.events {
		_, inUse := servers[id]
		if _, present := known[id]; !present && !inUse {
			delete(o.events, id)
		}
	}
}

// observation is the answer of one engine. A field is nil if its request failed.
type observation struct {
	server api.ServerID
	load   *engine.LoadReport
	events *engine.CacheEvents
}

func (o *observer) observe(ctx context.Context, server api.ServerView, after uint64) observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	seen := observation{server: server.ID}
	if load, err := o.engines.Load(ctx, server.Address); err == nil {
		seen.load = &load
	}
	if events, err := o.engines.CacheEvents(ctx, server.Address, after); err == nil {
		seen.events = &events
	}
	return seen
}

// report passes an observation to the router.
func (o *observer) report(seen observation) {
	now := time.Now()
	if seen.load != nil {
		o.router.ObserveLoad(now, seen.server, *seen.load)
		if seen.load.Leaving {
			o.router.ObserveLeaving(seen.server, seen.load.Instance)
		}
	}
	if seen.events == nil {
		return
	}
	o.router.ObserveCacheEvents(now, seen.server, *seen.events)
	for _, event := range seen.events.Events {
		o.events[seen.server] = max(o.events[seen.server], event.Sequence)
	}
}
