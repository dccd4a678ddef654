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

// TestExpectTakesTurns: models go in the order of their gain, each to the server that
// has it ready first.
func TestExpectTakesTurns(t *testing.T) {
	now := time.Now()
	after := func(d time.Duration) time.Time { return now.Add(d) }
	model := func(name string) *route.Model { return &route.Model{Name: name} }
	lanes := func() []lane {
		return []lane{
			{free: after(2 * time.Second), load: func(m *route.Model) (time.Duration, bool) {
				if m.Name == "copied" {
					return time.Second, false // from its disk
				}
				return 4 * time.Second, true
			}},
			{free: now, load: func(*route.Model) (time.Duration, bool) { return 4 * time.Second, true }},
		}
	}
	first := queued{model: model("first"), gain: 3}
	copied := queued{model: model("copied"), gain: 2}
	last := queued{model: model("last"), gain: 1}
	if last.before(copied) < 0 || copied.before(first) < 0 {
		t.Error("the queue is out of order")
	}
	got := make(map[string]time.Time)
	expect(now, []queued{first, copied, last}, lanes(), nil, got)
	want := map[string]time.Time{
		"first":  after(policy.IdleWait + unloadTime + 4*time.Second), // at the second, which is free
		"copied": after(2*time.Second + unloadTime + time.Second),     // at the first, near its copy
		"last":   after(3*time.Second + 2*unloadTime + 4*time.Second), // at the first again
	}
	for name, at := range want {
		if got[name] != at {
			t.Errorf("%s is expected after %v, want %v", name, got[name].Sub(now), at.Sub(now))
		}
	}
	none := make(map[string]time.Time)
	if expect(now, []queued{first}, nil, nil, none); len(none) != 0 {
		t.Errorf("without servers %v is expected", none)
	}
}

// TestExpectWaitsForTheStore: servers are free, but the weight store serves one load at a
// time, and one is under way; what lies on a disk does not wait for it.
func TestExpectWaitsForTheStore(t *testing.T) {
	now := time.Now()
	var lanes []lane
	for range 9 {
		lanes = append(lanes, lane{free: now, load: func(m *route.Model) (time.Duration, bool) {
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
	expect(now, queue, lanes, storeSlots{now.Add(3 * time.Second)}, got)
	want := map[string]time.Duration{
		"first":  3*time.Second + unloadTime + 4*time.Second,
		"copied": policy.IdleWait + unloadTime + time.Second,
		"last":   3*time.Second + 2*(unloadTime+4*time.Second),
	}
	for name, after := range want {
		if took := got[name].Sub(now); took != after {
			t.Errorf("%s is expected after %v, want %v", name, took, after)
		}
	}
}

// TestOutlookCountsTheQueue wishes many models of two servers at once. What is
// told to the last is about what it takes.
func TestOutlookCountsTheQueue(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const wishes = 6
		s := newSite(t, []string{"m0", "m1"}, []string{"m2", "m3"})
		n := s.start("a")
		time.Sleep(time.Second)
		for i := range wishes {
			n.wish(t, fmt.Sprintf("m%d", 10+i))
		}
		time.Sleep(200 * time.Millisecond)
		last, told := "", time.Duration(0)
		for i := range wishes {
			name := fmt.Sprintf("m%d", 10+i)
			if answer := n.wish(t, name); answer.ReadyIn > told {
				last, told = name, answer.ReadyIn
			}
		}
		began := time.Now()
		wishUntil(t, n, last, 30*time.Second)
		took := time.Since(began)
		if told < took/2 || told > 3*took/2 {
			t.Errorf("the last was told %v and took %v", told, took)
		}
		n.stop()
	})
}

// TestRefusedWishesAreKept: who was told when to come back finds the model then,
// though nobody waited for it meanwhile.
func TestRefusedWishesAreKept(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		time.Sleep(time.Second)
		longest := time.Duration(0)
		for _, name := range []string{"m10", "m11", "m12"} {
			n.wish(t, name)
			time.Sleep(200 * time.Millisecond)
			longest = max(longest, n.wish(t, name).ReadyIn)
		}
		if longest < 2*loadTime {
			t.Fatalf("the longest wait is told as %v", longest)
		}
		time.Sleep(longest + 2*time.Second)
		if loads := len(s.engines.loads()); loads != 3 {
			t.Errorf("%d models were loaded of 3 that were wished", loads)
		}
		n.stop()
	})
}

// TestLongWaitsAreToldOnce: a wish without an order for a second has a line in the
// log, one only.
func TestLongWaitsAreToldOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		var log bytes.Buffer
		s.logger = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
		n := s.start("a")
		time.Sleep(time.Second)
		for range 20 {
			n.wish(t, "m10")
			n.wish(t, "m11")
			time.Sleep(200 * time.Millisecond)
		}
		n.stop()
		if lines := strings.Count(log.String(), "load waits"); lines != 1 {
			t.Errorf("%d lines of one load that waits for another one:\n%s", lines, log.String())
		}
	})
}

// TestReplicasFollowTheSlots: a model whose requests fill its share of a server
// gets another replica, whatever the servers' size.
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
			t.Errorf("%d loads while all slots of the only replica are taken", len(loads))
		}
		n.stop()
	})
}

// TestStoreSlotsFollowTheLoads: loads from the weight store take its slots until they are
// done, those from copies and unloads don't; with more under way than it serves at once,
// as after a slow one, the next begins when that is true again.
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
