package coordinator

import (
	"bytes"
	"context"
	"encoding/gob"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/prompt"
)

// overloadedKey is the model that two servers of the simulation hold.
var overloadedKey = admission.Key{Service: "s", Model: "m0"}

// withSimulation runs f on a simulation with three nodes.
func withSimulation(t *testing.T, f func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1)
		defer sim.stopNodes()
		time.Sleep(5 * time.Second)
		f(sim)
	})
}

// holderAndOther returns the node that holds the lease and another node.
func (sim *simulation) holderAndOther() (holder, other *simNode) {
	for _, n := range sim.nodes {
		if _, held := n.lease.Held(); held {
			holder = n
		} else {
			other = n
		}
	}
	return holder, other
}

// newOverloadedRequest returns a request to the overloaded model, with a prompt of 6,000 tokens.
func newOverloadedRequest(m *Member) *admission.Request {
	return &admission.Request{Place: admission.Place{ID: m.NewPlaceID()}, Key: overloadedKey, Need: "m0", Work: admission.Work{Tokens: 6000, Out: 54},
		Rank: 1, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Left: 5 * time.Second, Servers: []string{"server-0", "server-1"}}
}

// sendToOverloaded has a node send a request to a server and returns the request's ID.
func sendToOverloaded(m *Member, server string) uint64 {
	r := newOverloadedRequest(m)
	m.ReportPlaceSent(admission.Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: server, Work: r.Work, Rank: r.Rank, Target: r.Target, Left: 30 * time.Second})
	return r.Place.ID
}

// overload has all nodes send requests until the model counts as overloaded.
func (sim *simulation) overload() {
	sim.t.Helper()
	for range 6 {
		for _, n := range sim.nodes {
			sendToOverloaded(n.member, "server-0")
			sendToOverloaded(n.member, "server-1")
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range sim.nodes {
		if n.member.places.ledger.Check(time.Now(), newOverloadedRequest(n.member)) != admission.Ask {
			sim.t.Errorf("%s does not know of the overload", n.name)
		}
	}
}

// requestPlace asks for a place at a node and checks that the answer does not take long.
func (sim *simulation) requestPlace(m *Member, r *admission.Request) admission.Verdict {
	return requestPlaceWithin(sim.t, m, r, 2*drawTimeout)
}

func requestPlaceWithin(t testing.TB, m *Member, r *admission.Request, bound time.Duration) admission.Verdict {
	t.Helper()
	began := time.Now()
	v, _ := m.RequestPlace(t.Context(), r)
	if took := time.Since(began); took > bound {
		t.Errorf("the verdict took %v", took)
	}
	return v
}

// TestNodesAskForOverloadedModelsOnly checks that the holder decides on requests to overloaded
// models, and that nodes send other requests without asking.
func TestNodesAskForOverloadedModelsOnly(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		_, other := sim.holderAndOther()
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind != admission.Stand {
			t.Errorf("before the overload: %v", v.Kind)
		}
		sim.overload()
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind != admission.Refuse && v.Kind != admission.Wait {
			t.Errorf("at servers with 36 prompts to read: %v", v.Kind)
		}
		elsewhere := newOverloadedRequest(other.member)
		elsewhere.Key.Model = "m3"
		if v := sim.requestPlace(other.member, elsewhere); v.Kind != admission.Stand {
			t.Errorf("for a model without overload: %v", v.Kind)
		}
	})
}

// TestAllNodesLearnOfAnOverloadAtOnce checks that nodes need not wait for their next heartbeats.
func TestAllNodesLearnOfAnOverloadAtOnce(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		holder, other := sim.holderAndOther()
		for range 20 {
			sendToOverloaded(other.member, "server-0")
			sendToOverloaded(other.member, "server-1")
		}
		for known := false; !known; time.Sleep(10 * time.Millisecond) {
			if err := holder.holder.runOnLoop(sim.t.Context(), func() { known = len(holder.holder.places.announced) > 0 }); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
		for _, n := range sim.nodes {
			if n.member.places.ledger.Check(time.Now(), newOverloadedRequest(n.member)) != admission.Ask {
				t.Errorf("%s does not know of the overload", n.name)
			}
		}
	})
}

// TestAnOverloadEnds checks that an overload ends when the nodes report that their requests have
// ended, and that nodes then stop asking.
func TestAnOverloadEnds(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		var ids []uint64
		_, other := sim.holderAndOther()
		for range 20 {
			ids = append(ids, sendToOverloaded(other.member, "server-0"), sendToOverloaded(other.member, "server-1"))
		}
		time.Sleep(2 * time.Second)
		for _, id := range ids {
			other.member.ReportPlaceAnswered(id)
			other.member.ReleasePlace(id, overloadedKey)
		}
		time.Sleep(200 * time.Millisecond)
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind != admission.Go {
			t.Errorf("once all have ended: %v", v.Kind)
		}
		time.Sleep(8 * time.Second)
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind != admission.Stand {
			t.Errorf("some seconds later: %v", v.Kind)
		}
	})
}

// TestAHolderIsLostDuringOverload checks that nodes continue at once, for a moment by the holder's
// last announcement, and that the next holder learns of the running requests from their heartbeats.
func TestAHolderIsLostDuringOverload(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		sim.overload()
		holder, other := sim.holderAndOther()
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind == admission.Stand {
			t.Error("the holder does not decide")
		}
		sim.crash(holder)
		began := time.Now()
		for range 10 {
			sim.requestPlace(other.member, newOverloadedRequest(other.member))
		}
		if took := time.Since(began); took > 2*drawTimeout {
			t.Errorf("ten requests waited %v in all for a holder that is gone", took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			sendToOverloaded(other.member, "server-0")
			sendToOverloaded(other.member, "server-1")
		}
		time.Sleep(4 * time.Second)
		next, _ := sim.holderAndOther()
		if next == nil || next == holder {
			t.Fatal("nobody took over")
		}
		if err := next.holder.runOnLoop(sim.t.Context(), func() {
			if len(next.holder.places.announced) == 0 {
				t.Error("the next holder does not know of the overload")
			}
		}); err != nil {
			t.Error(err)
		}
	})
}

// TestASilentNodeHasNoPlaces checks that a node's places are free once it counts as silent.
func TestASilentNodeHasNoPlaces(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		_, other := sim.holderAndOther()
		for range 20 {
			sendToOverloaded(other.member, "server-0")
			sendToOverloaded(other.member, "server-1")
		}
		time.Sleep(1500 * time.Millisecond)
		sim.crash(other)
		time.Sleep(nodeExpiry + time.Second)
		_, third := sim.holderAndOther()
		third.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{overloadedKey})
		if v := sim.requestPlace(third.member, newOverloadedRequest(third.member)); v.Kind != admission.Go {
			t.Errorf("after the node with all places became silent: %v", v.Kind)
		}
	})
}

// TestLostReportsAreRepairedByHeartbeats checks that the next heartbeat makes up for a lost report
// of ended requests.
func TestLostReportsAreRepairedByHeartbeats(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		_, other := sim.holderAndOther()
		var ids []uint64
		for range 20 {
			ids = append(ids, sendToOverloaded(other.member, "server-0"), sendToOverloaded(other.member, "server-1"))
		}
		time.Sleep(2 * time.Second)
		for _, id := range ids {
			other.member.ReleasePlace(id, overloadedKey)
		}
		other.member.places.ledger.NewReports(time.Now()) // takes the reports as if they had been sent and lost
		time.Sleep(3 * time.Second)
		other.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{overloadedKey})
		if v := sim.requestPlace(other.member, newOverloadedRequest(other.member)); v.Kind != admission.Go {
			t.Errorf("three seconds after the reports were lost: %v", v.Kind)
		}
	})
}

// logLines collects log output.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestAbsurdPlacesAreLoggedAndIgnored has nodes ask for and report places with impossible values.
func TestAbsurdPlacesAreLoggedAndIgnored(t *testing.T) {
	withSimulation(t, func(sim *simulation) {
		holder, other := sim.holderAndOther()
		lines := &logLines{}
		holder.holder.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true, DisableTime: true})
		bad := newOverloadedRequest(other.member)
		bad.Work.Tokens = -7
		unknown := newOverloadedRequest(other.member)
		unknown.Servers = []string{"nobody"}
		for _, r := range []*admission.Request{bad, unknown} {
			other.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{overloadedKey})
			if v := sim.requestPlace(other.member, r); v.Kind != admission.Stand {
				t.Errorf("%+v: %v", r, v.Kind)
			}
			time.Sleep(2 * time.Second)
		}
		news := PlaceNews{Node: "x", News: []admission.Report{{ID: 1, Key: overloadedKey, Server: "server-0", Sent: -1}}}
		if _, err := holder.member.HandleMessage(context.Background(), api.NodeRef{}, news); err != nil {
			t.Error(err)
		}
		if got := strings.Count(lines.String(), "place not believed"); got != 3 {
			t.Errorf("%d log lines: %s", got, lines)
		}
	})
}

// TestPlacesGoOverTheWire checks that messages about places survive encoding and decoding.
func TestPlacesGoOverTheWire(t *testing.T) {
	r := admission.Request{Place: admission.Place{Node: "n/1", ID: 7}, Key: overloadedKey, Need: "m0/a",
		Work: admission.Work{Tokens: 9, Out: 5, Parts: []prompt.Part{{ID: "c", Tokens: 3}}}, Rank: 1, Target: -time.Second, Servers: []string{"s"}}
	list := []admission.Report{{ID: 7, Key: overloadedKey, Server: "s", Work: r.Work, First: time.Second, Ended: true}}
	for _, m := range []peer.Message{
		AskPlace{r, list}, PlaceAnswer{3, admission.Verdict{Kind: admission.Wait, Server: "s", After: time.Second}},
		PlaceNews{"n/1", list}, CrowdNotice{3, []admission.Key{overloadedKey}}, Beat{Places: list}, BeatAnswer{Crowded: []admission.Key{overloadedKey}},
	} {
		var b bytes.Buffer
		got := reflect.New(reflect.TypeOf(m))
		if err := gob.NewEncoder(&b).Encode(m); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&b).DecodeValue(got); err != nil || !reflect.DeepEqual(got.Elem().Interface(), m) {
			t.Errorf("%+v was decoded as %+v, %v", m, got, err)
		}
	}
}
