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

// randomFault is a fault in a form that gopter can shrink.
type randomFault struct {
	Kind     int // see apply
	Node     int
	Other    int
	Duration int // ticks until the next fault
}

const faultKinds = 6

// apply makes the fault happen. incarnation is that of a node that it restarts, and must grow from fault to
// fault.
func (m randomFault) apply(n *network, incarnation uint64) {
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

// TestAllAgreeAfterRandomFaults checks that after random faults all nodes see exactly the running ones, and
// that no node's view of another goes back to an earlier incarnation.
func TestAllAgreeAfterRandomFaults(t *testing.T) {
	t.Parallel()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	const nodes = 7
	sequences := gen.SliceOfN(6, gen.Struct(reflect.TypeFor[randomFault](), map[string]gopter.Gen{
		"Kind":     gen.IntRange(0, faultKinds-1),
		"Node":     gen.IntRange(0, nodes-1),
		"Other":    gen.IntRange(0, nodes-1),
		"Duration": gen.IntRange(1, 80),
	}))
	properties.Property("agreement after the faults end", prop.ForAll(
		func(sequence []randomFault, seed uint64) string {
			n := newNetwork(t, networkConfig{
				seed: seed, nodes: nodes, regions: 2, zones: 4,
				loss: 0.02, duplicates: 0.05, jitter: 20 * time.Millisecond,
			})
			problem := ""
			newest := make(map[[2]api.NodeID]uint64)
			n.onStep = func(node *testNode) {
				for id, seen := range node.machine.table {
					key := [2]api.NodeID{node.ref.ID + "/" + api.NodeID(fmt.Sprint(node.ref.Incarnation)), id}
					if seen.update.Ref.Incarnation < newest[key] {
						problem = fmt.Sprintf("%s went back to an earlier incarnation of %s", node.ref.ID, id)
					}
					newest[key] = seen.update.Ref.Incarnation
				}
			}
			n.run(3 * time.Second)
			for index, fault := range sequence {
				fault.apply(n, uint64(index+2))
			}
			n.cut = nil
			n.run(45 * time.Second) // the longest freeze is 24 s
			n.config.loss = 0       // lets open suspicions end
			n.run(5 * time.Second)
			if problem == "" {
				problem = n.disagreement(nodes)
			}
			return problem
		},
		sequences, gen.UInt64(),
	))
	properties.TestingRun(t)
}
