package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/membership"
)

// oracle is a Membership that knows the true state of all nodes with a delay. It
// also reports a live node as dead until its presumedDeadUntil.
type oracle struct {
	node *node
	sim  *simulation
}

// deathDelay is the time until the oracle reports a stopped node as dead.
const deathDelay = 2 * time.Second

func (o *oracle) Tick(time.Time) []membership.Packet                      { return nil }
func (o *oracle) Receive(time.Time, api.NodeRef, any) []membership.Packet { return nil }
func (o *oracle) Leave(time.Time) []membership.Packet                     { return nil }
func (o *oracle) SetDigest(digest membership.Digest)                      { o.node.digest = digest }

func (o *oracle) Members() []membership.Member {
	var members []membership.Member
	for _, n := range o.sim.nodes {
		if n.incarnation == 0 {
			continue
		}
		state := membership.StateAlive
		if n.machine == nil && o.sim.now.Sub(n.downAt) > deathDelay {
			state = membership.StateDead
		}
		if n != o.node && (o.sim.now.Before(n.presumedDeadUntil) || o.sim.cut(o.node.address(), n.address())) {
			state = membership.StateDead
		}
		members = append(members, membership.Member{Ref: n.ref(), State: state, Since: o.sim.now})
	}
	return members
}

func (o *oracle) Digest(id api.NodeID) (membership.Digest, bool) {
	for _, n := range o.sim.nodes {
		if n.id == id && n.machine != nil && !o.sim.cut(o.node.address(), n.address()) {
			return n.digest, true
		}
	}
	return membership.Digest{}, false
}
