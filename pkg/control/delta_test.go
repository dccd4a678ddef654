package control

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
)

// TestDeltasRebuildViews checks that a view plus the delta to the next view
// equals the next view.
func TestDeltasRebuildViews(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	properties := gopter.NewProperties(parameters)
	properties.Property("delta applies", prop.ForAll(
		func(seed uint64) bool {
			random := rand.New(rand.NewPCG(seed, 1))
			from, to := randomView(random, 1), randomView(random, 2)
			delta, ok := makeDelta(from, to)
			return ok && reflect.DeepEqual(delta.apply(from), to)
		},
		gen.UInt64(),
	))
	properties.TestingRun(t)
}

func randomView(random *rand.Rand, version uint64) api.CellView {
	view := api.CellView{
		Cell: "c", Term: 1, Version: version,
		Servers: []api.ServerView{}, Replicas: []api.Replica{},
	}
	for server := range 4 {
		id := api.ServerID(fmt.Sprint("s", server))
		if random.IntN(3) > 0 {
			view.Servers = append(view.Servers, api.ServerView{ID: id, ReservedBytes: random.Uint64N(2)})
		}
		for model := range 4 {
			if random.IntN(2) > 0 {
				view.Replicas = append(view.Replicas, api.Replica{
					Server: id, Model: api.ModelName(fmt.Sprint("m", model)), State: api.ReplicaState(1 + random.IntN(3)),
				})
			}
		}
	}
	return view
}

// TestMissedViewIsAskedFor checks that a node requests the whole view when it
// lacks the base of a delta, and that it ignores outdated deltas.
func TestMissedViewIsAskedFor(t *testing.T) {
	s := newHarness(1, 1)
	owner := api.NodeRef{ID: "owner"}
	s.machine.Step(s.now, PeerReceived{From: owner, Message: ViewPush{View: api.CellView{Cell: "c@r", Term: 9, Version: 3}}})
	effects := s.machine.Step(s.now, PeerReceived{From: owner, Message: ViewDelta{Cell: "c@r", Term: 9, Base: 4, Version: 5}})
	want := Effect(SendPeer{To: owner, Message: ViewRequest{Cell: "c@r"}})
	if len(effects) != 1 || !reflect.DeepEqual(effects[0], want) {
		t.Errorf("effects = %+v, want %+v", effects, want)
	}
	if effects := s.machine.Step(s.now, PeerReceived{From: owner, Message: ViewDelta{Cell: "c@r", Term: 8, Base: 1, Version: 9}}); len(effects) > 0 {
		t.Errorf("effects of an outdated delta = %+v, want none", effects)
	}
}
