package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
)

const propertySeed = 20261202

// mishap is a random fault, in a form that gopter can shrink.
type mishap struct {
	Kind     int // see apply
	Node     int
	Other    int
	Duration int // ticks until the next mishap
}

const mishapKinds = 6

// apply lets the mishap happen. Incarnations count up.
func (m mishap) apply(n *network, incarnation uint64) {
	id, other := nodeName(m.Node), nodeName(m.Other)
	switch m.Kind {
	case 0:
		n.kill(id)
		n.start(m.Node, incarnation)
	case 1:
		n.freeze(id, time.Duration(m.Duration)*3*tickInterval)
	case 2:
		n.cut = cutZone(n.node(id).ref.Zone)
	case 3:
		n.cut = func(from, to api.NodeRef) bool { return from.ID == id && to.ID != other }
	case 4:
		n.cut = func(from, to api.NodeRef) bool { return to.ID == id && from.ID != other }
	default:
		n.cut = nil
	}
	n.run(time.Duration(m.Duration) * tickInterval)
}

// TestAllAgreeAfterAnyMishaps lets random faults happen and then asks that all
// nodes see exactly the running ones, and that what a node sees of a life
// never goes back.
func TestAllAgreeAfterAnyMishaps(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	const nodes = 7
	mishaps := gen.SliceOfN(6, gen.Struct(reflect.TypeFor[mishap](), map[string]gopter.Gen{
		"Kind":     gen.IntRange(0, mishapKinds-1),
		"Node":     gen.IntRange(0, nodes-1),
		"Other":    gen.IntRange(0, nodes-1),
		"Duration": gen.IntRange(1, 80),
	}))
	properties.Property("agreement after the faults end", prop.ForAll(
		func(happenings []mishap, seed uint64) string {
			n := newNetwork(t, networkConfig{
				seed: seed, nodes: nodes, regions: 2, zones: 4,
				loss: 0.02, duplicates: 0.05, jitter: 20 * time.Millisecond,
			})
			problem := ""
			lives := make(map[[2]api.NodeID]uint64)
			n.watch = func(node *testNode) {
				for id, seen := range node.machine.table {
					key := [2]api.NodeID{node.ref.ID + "/" + api.NodeID(fmt.Sprint(node.ref.Incarnation)), id}
					if seen.update.Ref.Incarnation < lives[key] {
						problem = fmt.Sprintf("%s went back to an earlier life of %s", node.ref.ID, id)
					}
					lives[key] = seen.update.Ref.Incarnation
				}
			}
			n.run(3 * time.Second)
			for index, happening := range happenings {
				happening.apply(n, uint64(index+2))
			}
			n.cut = nil
			n.run(45 * time.Second) // the longest freeze is 24 s
			n.config.loss = 0       // let open suspicions end
			n.run(5 * time.Second)
			if problem == "" {
				problem = n.disagreement(nodes)
			}
			return problem
		},
		mishaps, gen.UInt64(),
	))
	properties.TestingRun(t)
}
