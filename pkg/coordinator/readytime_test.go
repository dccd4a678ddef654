package coordinator

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/route"
)

// TestEstimateQueueOrdersLoadsByGain checks that models are loaded in the order of their gain, each
// on the server that has it ready first.
func TestEstimateQueueOrdersLoadsByGain(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	model := func(name string) *route.Model { return &route.Model{Name: name} }
	servers := func() []queueServer {
		return []queueServer{
			{freeAt: after(2 * time.Second), loadTime: func(m *route.Model) (time.Duration, bool) {
				if m.Name == "copied" {
					return time.Second, false // from its disk
				}
				return 4 * time.Second, true
			}},
			{freeAt: now, loadTime: func(*route.Model) (time.Duration, bool) { return 4 * time.Second, true }},
		}
	}
	first := queued{model: model("first"), gainRate: 3}
	onDisk := queued{model: model("copied"), gainRate: 2}
	last := queued{model: model("last"), gainRate: 1}
	if last.before(onDisk) < 0 || onDisk.before(first) < 0 {
		t.Error("the queue is out of order")
	}
	got := make(map[string]time.Time)
	estimateQueue(now, []queued{first, onDisk, last}, servers(), nil, got)
	want := map[string]time.Time{
		"first":  after(policy.IdleWait + unloadTime + 4*time.Second), // at the second server, which is free
		"copied": after(2*time.Second + unloadTime + time.Second),     // at the first server, which has it on disk
		"last":   after(3*time.Second + 2*unloadTime + 4*time.Second), // at the first server again
	}
	for name, at := range want {
		if got[name] != at {
			t.Errorf("%s is predicted to be ready after %v, want %v", name, got[name].Sub(now), at.Sub(now))
		}
	}
	none := make(map[string]time.Time)
	if estimateQueue(now, []queued{first}, nil, nil, none); len(none) != 0 {
		t.Errorf("without servers the prediction is %v, want none", none)
	}
}

// TestEstimateQueueWaitsForTheStore checks the prediction where servers are free, but the weight store
// serves one load at a time and one is in progress. Loads from a server's disk do not wait for it.
func TestEstimateQueueWaitsForTheStore(t *testing.T) {
	now := time.Now()
	var servers []queueServer
	for range 9 {
		servers = append(servers, queueServer{freeAt: now, loadTime: func(m *route.Model) (time.Duration, bool) {
			if m.Name == "copied" {
				return time.Second, false
			}
			return 4 * time.Second, true
		}})
	}
	var queue []queued
	for _, name := range []string{"first", "copied", "last"} {
		queue = append(queue, queued{model: &route.Model{Name: name}})
	}
	got := make(map[string]time.Time)
	estimateQueue(now, queue, servers, storeSlots{now.Add(3 * time.Second)}, got)
	want := map[string]time.Duration{
		"first":  3*time.Second + unloadTime + 4*time.Second,
		"copied": policy.IdleWait + unloadTime + time.Second,
		"last":   3*time.Second + 2*(unloadTime+4*time.Second),
	}
	for name, after := range want {
		if took := got[name].Sub(now); took != after {
			t.Errorf("%s is predicted to be ready after %v, want %v", name, took, after)
		}
	}
}

// TestReadyTimeCountsTheQueue requests many models at once from two servers. The longest predicted
// wait must be near the real one.
func TestReadyTimeCountsTheQueue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const loadRequests = 6
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := range loadRequests {
			n.requestLoad(t, fmt.Sprintf("m%d", 10+i))
		}
		time.Sleep(200 * time.Millisecond)
		last, longestWait := "", time.Duration(0)
		for i := range loadRequests {
			name := fmt.Sprintf("m%d", 10+i)
			if answer := n.requestLoad(t, name); answer.ReadyIn > longestWait {
				last, longestWait = name, answer.ReadyIn
			}
		}
		began := time.Now()
		requestUntilLoaded(t, n, last, 30*time.Second)
		took := time.Since(began)
		if longestWait < took/2 || longestWait > 3*took/2 {
			t.Errorf("the longest predicted wait is %v, the real one %v", longestWait, took)
		}
		n.stop()
	})
}

// TestRefusedLoadRequestsAreKept checks that a model is ready at the predicted time even if nobody
// repeated the load request meanwhile.
func TestRefusedLoadRequestsAreKept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		longestWait := time.Duration(0)
		for _, name := range []string{"m10", "m11", "m12"} {
			n.requestLoad(t, name)
			time.Sleep(200 * time.Millisecond)
			longestWait = max(longestWait, n.requestLoad(t, name).ReadyIn)
		}
		if longestWait < 2*loadTime {
			t.Fatalf("the longest predicted wait is %v", longestWait)
		}
		time.Sleep(longestWait + 2*time.Second)
		if loads := len(s.engines.loads()); loads != 3 {
			t.Errorf("%d of 3 requested models were loaded", loads)
		}
		n.stop()
	})
}

// TestLongWaitsAreLoggedOnce checks that a load request without an order for a second is logged
// exactly once.
func TestLongWaitsAreLoggedOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		var log bytes.Buffer
		s.logger = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
		n := s.start("a")
		time.Sleep(time.Second)
		for range 20 {
			n.requestLoad(t, "m10")
			n.requestLoad(t, "m11")
			time.Sleep(200 * time.Millisecond)
		}
		n.stop()
		if lines := strings.Count(log.String(), "load waits"); lines != 1 {
			t.Errorf("%d log lines for one load that waits for another one, want 1:\n%s", lines, log.String())
		}
	})
}

// TestReplicasFollowTheSlots checks that a model whose requests fill its slots on a server gets
// another replica, whatever the server's size.
func TestReplicasFollowTheSlots(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m1"})
		slots := s.table.Service("s").Engine.Slots
		n := s.start("a")
		time.Sleep(time.Second)
		for range 10 {
			beat := Beat{Node: Node{Name: "b"}, Uses: []Use{{Service: "s", Model: "m0", Running: []Running{{"server-0", slots}}}}}
			if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, beat); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if loads := s.engines.loads(); len(loads) != 1 || loads[0].order.Need.Model != "m0" {
			t.Errorf("%d loads, want 1 of m0: all slots of its only replica are taken", len(loads))
		}
		n.stop()
	})
}

// TestStoreSlotsFollowTheLoads checks that loads from the weight store take one of its slots until
// they are done, and that unloads and loads from disk don't. If more loads are in progress than the
// store serves at once, as after a slow one, the next starts only when enough of them are done.
func TestStoreSlotsFollowTheLoads(t *testing.T) {
	now := time.Now()
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	fetch := func(seconds int) *serverState {
		return &serverState{busy: &operation{order: order{load: true}, since: now, readyAt: after(seconds), fetch: true}}
	}
	cases := []struct {
		name    string
		servers []*serverState
		want    []time.Time
	}{
		{"idle", []*serverState{{}}, []time.Time{now, now, now, now}},
		{"others", []*serverState{{busy: &operation{order: order{load: true}}}, {busy: &operation{fetch: true}}}, []time.Time{now, now, now, now}},
		{"one", []*serverState{fetch(5)}, []time.Time{now, now, now, after(5)}},
		{"overdue", []*serverState{fetch(-1)}, []time.Time{now, now, now, now}},
		{"full", []*serverState{fetch(4), fetch(2), fetch(1), fetch(3)}, []time.Time{after(1), after(2), after(3), after(4)}},
		{"too many", []*serverState{fetch(4), fetch(2), fetch(1), fetch(3), fetch(5)}, []time.Time{after(2), after(3), after(4), after(5)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &Holder{servers: make(map[string]*serverState)}
			for i, s := range c.servers {
				h.servers[fmt.Sprint(i)] = s
			}
			if got := h.storeSlotsFrom(now); !slices.EqualFunc(got, c.want, time.Time.Equal) {
				t.Errorf("slots are %v, want %v", got, c.want)
			}
		})
	}
}
