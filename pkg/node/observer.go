package node

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// Pace and bounds of the observation of engines.
const (
	observeInterval = time.Second
	observeTimeout  = 800 * time.Millisecond
	observeAtOnce   = 16
)

// observer asks the engines that this node sends requests to for their load
// and their cache events. Engines that it has not used since the last round are
// left alone, so that the cost follows the node's own traffic and not the
// number of servers.
type observer struct {
	engines engine.Client
	router  *traffic.Router
	view    *view
	granted map[api.ModelName]uint64 // at the last round
	events  map[api.ServerID]uint64  // sequence of the last cache event seen
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

// run observes until ctx ends.
func (o *observer) run(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.round(ctx)
		}
	}
}

// round asks all servers in use at once and waits for their answers.
func (o *observer) round(ctx context.Context) {
	servers := o.serversInUse()
	o.forgetOthers(servers)
	asked := pool.NewWithResults[observation]().WithMaxGoroutines(observeAtOnce)
	for _, server := range servers {
		after := o.events[server.ID]
		asked.Go(func() observation { return o.observe(ctx, server, after) })
	}
	for _, seen := range asked.Wait() {
		o.take(seen)
	}
}

// serversInUse returns the servers with a replica of a model that this node
// sent requests to since the last round or that has some running.
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

// forgetOthers drops the sequences of servers that are not in the directory.
func (o *observer) forgetOthers(servers map[api.ServerID]api.ServerView) {
	known := o.view.Directory().Servers
	for id := range o.events {
		_, inUse := servers[id]
		if _, present := known[id]; !present && !inUse {
			delete(o.events, id)
		}
	}
}

// observation is what one engine told. A nil field was not told.
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

// take hands an observation to the router.
func (o *observer) take(seen observation) {
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
