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

// crowdKey is the model that two servers of the test's world hold.
var crowdKey = admission.Key{Service: "s", Model: "m0"}

// crowdWorld runs three nodes and f.
func crowdWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stopNodes()
		time.Sleep(5 * time.Second)
		f(w)
	})
}

// holderAndOther returns the node that holds the lease, and another one.
func (w *world) holderAndOther() (holder, other *worldNode) {
	for _, n := range w.nodes {
		if _, held := n.lease.Held(); held {
			holder = n
		} else {
			other = n
		}
	}
	return holder, other
}

// crowdRequest is one of a crowd, with a prompt of 6,000 tokens.
func crowdRequest(m *Member) *admission.Request {
	return &admission.Request{Place: admission.Place{ID: m.NextPlace()}, Key: crowdKey, Need: "m0", Work: admission.Work{Tokens: 6000, Out: 54},
		Rank: 1, Target: 800 * time.Millisecond, Patience: 3200 * time.Millisecond, Left: 5 * time.Second, Servers: []string{"server-0", "server-1"}}
}

// sendToCrowd has a node send a request to a server and returns its ID.
func sendToCrowd(m *Member, server string) uint64 {
	r := crowdRequest(m)
	m.SentToPlace(admission.Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: server, Work: r.Work, Rank: r.Rank, Target: r.Target, Left: 30 * time.Second})
	return r.Place.ID
}

// crowd has all nodes send requests until the model counts as crowded.
func (w *world) crowd() {
	w.t.Helper()
	for range 6 {
		for _, n := range w.nodes {
			sendToCrowd(n.member, "server-0")
			sendToCrowd(n.member, "server-1")
		}
	}
	time.Sleep(2 * time.Second)
	for _, n := range w.nodes {
		if n.member.places.ledger.Check(time.Now(), crowdRequest(n.member)) != admission.Ask {
			w.t.Errorf("%s was not told of the crowd", n.name)
		}
	}
}

// takePlace asks for a place at a node, and checks that nothing waits for long.
func (w *world) takePlace(m *Member, r *admission.Request) admission.Verdict {
	return takeWithin(w.t, m, r, 2*drawTimeout)
}

func takeWithin(t testing.TB, m *Member, r *admission.Request, bound time.Duration) admission.Verdict {
	t.Helper()
	began := time.Now()
	v, _ := m.TakePlace(t.Context(), r)
	if took := time.Since(began); took > bound {
		t.Errorf("the verdict took %v", took)
	}
	return v
}

// TestNodesAskForCrowdedModelsOnly, and get the holder's word.
func TestNodesAskForCrowdedModelsOnly(t *testing.T) {
	crowdWorld(t, func(w *world) {
		_, other := w.holderAndOther()
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind != admission.Stand {
			t.Errorf("before there is a crowd: %v", v.Kind)
		}
		w.crowd()
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind != admission.Refuse && v.Kind != admission.Wait {
			t.Errorf("at servers with 36 prompts to read: %v", v.Kind)
		}
		elsewhere := crowdRequest(other.member)
		elsewhere.Key.Model = "m3"
		if v := w.takePlace(other.member, elsewhere); v.Kind != admission.Stand {
			t.Errorf("of a model without a crowd: %v", v.Kind)
		}
	})
}

// TestAllNodesAreToldOfACrowdAtOnce, not with their next beats only.
func TestAllNodesAreToldOfACrowdAtOnce(t *testing.T) {
	crowdWorld(t, func(w *world) {
		holder, other := w.holderAndOther()
		for range 20 {
			sendToCrowd(other.member, "server-0")
			sendToCrowd(other.member, "server-1")
		}
		for known := false; !known; time.Sleep(10 * time.Millisecond) {
			if err := holder.holder.do(w.t.Context(), func() { known = len(holder.holder.places.told) > 0 }); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(50 * time.Millisecond)
		for _, n := range w.nodes {
			if n.member.places.ledger.Check(time.Now(), crowdRequest(n.member)) != admission.Ask {
				t.Errorf("%s was not told", n.name)
			}
		}
	})
}

// TestACrowdEnds when the nodes tell that their requests have, and they ask no more.
func TestACrowdEnds(t *testing.T) {
	crowdWorld(t, func(w *world) {
		var ids []uint64
		_, other := w.holderAndOther()
		for range 20 {
			ids = append(ids, sendToCrowd(other.member, "server-0"), sendToCrowd(other.member, "server-1"))
		}
		time.Sleep(2 * time.Second)
		for _, id := range ids {
			other.member.AnsweredInPlace(id)
			other.member.LeftPlace(id, crowdKey)
		}
		time.Sleep(200 * time.Millisecond)
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind != admission.Go {
			t.Errorf("once all have ended: %v", v.Kind)
		}
		time.Sleep(8 * time.Second)
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind != admission.Stand {
			t.Errorf("some seconds later: %v", v.Kind)
		}
	})
}

// TestAHolderIsLostInACrowd: nodes go on at once, for a moment by its last word; the next holder
// learns from their beats what runs.
func TestAHolderIsLostInACrowd(t *testing.T) {
	crowdWorld(t, func(w *world) {
		w.crowd()
		holder, other := w.holderAndOther()
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind == admission.Stand {
			t.Error("the holder does not decide")
		}
		w.crash(holder)
		began := time.Now()
		for range 10 {
			w.takePlace(other.member, crowdRequest(other.member))
		}
		if took := time.Since(began); took > 2*drawTimeout {
			t.Errorf("ten requests waited %v in all for a holder that is gone", took)
		}
		time.Sleep(2 * time.Second)
		for range 20 {
			sendToCrowd(other.member, "server-0")
			sendToCrowd(other.member, "server-1")
		}
		time.Sleep(4 * time.Second)
		next, _ := w.holderAndOther()
		if next == nil || next == holder {
			t.Fatal("nobody took over")
		}
		if err := next.holder.do(w.t.Context(), func() {
			if len(next.holder.places.told) == 0 {
				t.Error("the next holder does not know of the crowd")
			}
		}); err != nil {
			t.Error(err)
		}
	})
}

// TestASilentNodeHasNoPlaces: what a node had is free once it is found silent.
func TestASilentNodeHasNoPlaces(t *testing.T) {
	crowdWorld(t, func(w *world) {
		_, other := w.holderAndOther()
		for range 20 {
			sendToCrowd(other.member, "server-0")
			sendToCrowd(other.member, "server-1")
		}
		time.Sleep(1500 * time.Millisecond)
		w.crash(other)
		time.Sleep(nodeExpiry + time.Second)
		_, third := w.holderAndOther()
		third.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{crowdKey})
		if v := w.takePlace(third.member, crowdRequest(third.member)); v.Kind != admission.Go {
			t.Errorf("after the node with all places was found silent: %v", v.Kind)
		}
	})
}

// TestLostNewsAreMadeUpFor by the next beat.
func TestLostNewsAreMadeUpFor(t *testing.T) {
	crowdWorld(t, func(w *world) {
		_, other := w.holderAndOther()
		var ids []uint64
		for range 20 {
			ids = append(ids, sendToCrowd(other.member, "server-0"), sendToCrowd(other.member, "server-1"))
		}
		time.Sleep(2 * time.Second)
		for _, id := range ids {
			other.member.LeftPlace(id, crowdKey)
		}
		other.member.places.ledger.NewReports(time.Now()) // they go out and get lost
		time.Sleep(3 * time.Second)
		other.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{crowdKey})
		if v := w.takePlace(other.member, crowdRequest(other.member)); v.Kind != admission.Go {
			t.Errorf("three seconds after the ends were lost: %v", v.Kind)
		}
	})
}

// logLines keeps what is logged.
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

// TestAbsurdPlacesAreLoggedAndIgnored.
func TestAbsurdPlacesAreLoggedAndIgnored(t *testing.T) {
	crowdWorld(t, func(w *world) {
		holder, other := w.holderAndOther()
		lines := &logLines{}
		holder.holder.Logger = hclog.New(&hclog.LoggerOptions{Output: lines, JSONFormat: true, DisableTime: true})
		bad := crowdRequest(other.member)
		bad.Work.Tokens = -7
		unknown := crowdRequest(other.member)
		unknown.Servers = []string{"nobody"}
		for _, r := range []*admission.Request{bad, unknown} {
			other.member.places.ledger.UpdateOverloaded(time.Now(), []admission.Key{crowdKey})
			if v := w.takePlace(other.member, r); v.Kind != admission.Stand {
				t.Errorf("%+v: %v", r, v.Kind)
			}
			time.Sleep(2 * time.Second)
		}
		news := PlaceNews{Node: "x", News: []admission.Report{{ID: 1, Key: crowdKey, Server: "server-0", Sent: -1}}}
		if _, err := holder.member.HandleMessage(context.Background(), api.NodeRef{}, news); err != nil {
			t.Error(err)
		}
		if got := strings.Count(lines.String(), "place not believed"); got != 3 {
			t.Errorf("%d log lines: %s", got, lines)
		}
	})
}

// TestPlacesGoOverTheWire as they are.
func TestPlacesGoOverTheWire(t *testing.T) {
	r := admission.Request{Place: admission.Place{Node: "n/1", ID: 7}, Key: crowdKey, Need: "m0/a",
		Work: admission.Work{Tokens: 9, Out: 5, Parts: []prompt.Part{{ID: "c", Tokens: 3}}}, Rank: 1, Target: -time.Second, Servers: []string{"s"}}
	list := []admission.Report{{ID: 7, Key: crowdKey, Server: "s", Work: r.Work, First: time.Second, Ended: true}}
	for _, m := range []peer.Message{
		AskPlace{r, list}, PlaceAnswer{3, admission.Verdict{Kind: admission.Wait, Server: "s", After: time.Second}},
		PlaceNews{"n/1", list}, CrowdNotice{3, []admission.Key{crowdKey}}, Beat{Places: list}, BeatAnswer{Crowded: []admission.Key{crowdKey}},
	} {
		var b bytes.Buffer
		got := reflect.New(reflect.TypeOf(m))
		if err := gob.NewEncoder(&b).Encode(m); err != nil {
			t.Fatal(err)
		}
		if err := gob.NewDecoder(&b).DecodeValue(got); err != nil || !reflect.DeepEqual(got.Elem().Interface(), m) {
			t.Errorf("%+v came as %+v, %v", m, got, err)
		}
	}
}
