package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/membership"
)

// oracle is a membership that knows the truth with a delay, and is wrong about
// nodes that the schedule says look dead.
type oracle struct {
	node  *node
	world *world
}

const deathDelay = 2 * time.Second

func (o *oracle) Tick(time.Time) []membership.Packet                      { return nil }
func (o *oracle) Receive(time.Time, api.NodeRef, any) []membership.Packet { return nil }
func (o *oracle) Leave(time.Time) []membership.Packet                     { return nil }
func (o *oracle) SetDigest(digest membership.Digest)                      { o.node.digest = digest }

func (o *oracle) Members() []membership.Member {
	var members []membership.Member
	for _, n := range o.world.nodes {
		if n.life == 0 {
			continue
		}
		state := membership.StateAlive
		if n.machine == nil && o.world.now.Sub(n.downAt) > deathDelay {
			state = membership.StateDead
		}
		if n != o.node && (o.world.now.Before(n.presumed) || o.world.cut(o.node.address(), n.address())) {
			state = membership.StateDead
		}
		members = append(members, membership.Member{Ref: n.ref(), State: state, Since: o.world.now})
	}
	return members
}

func (o *oracle) Digest(id api.NodeID) (membership.Digest, bool) {
	for _, n := range o.world.nodes {
		if n.id == id && n.machine != nil && !o.world.cut(o.node.address(), n.address()) {
			return n.digest, true
		}
	}
	return membership.Digest{}, false
}
