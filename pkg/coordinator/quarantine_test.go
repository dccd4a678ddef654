package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// TestAFirstEndIsKnownToNodesThatItsNodeWasNotToldOf: a server ends under a request at a node
// that was told of no other node yet, as right after a holder begins. The holder knows all and
// passes it on, though one end changes nothing about what may be done with the request: a node
// that has not heard of it takes its own first end for one of the same round, and quarantine
// takes one server more.
func TestAFirstEndIsKnownToNodesThatItsNodeWasNotToldOf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		defer w.stopNodes()
		time.Sleep(5 * time.Second)
		var first *worldNode // that does not hold the lease
		for _, n := range w.nodes {
			if _, held := n.lease.Held(); !held {
				first = n
			}
		}
		first.member.nodes.Store(&[]Node{first.member.Self})
		f := quarantine.FingerprintOf("POST", "h", "/", nil)
		first.member.Ended(quarantine.Run{Request: f, Service: "s", Server: "server-0", Round: 1, RequestID: "id"})
		const spreads = 100 * time.Millisecond // a caller comes again after 200 ms and more
		time.Sleep(spreads)
		for _, n := range w.nodes {
			if round := n.member.NextRound(f); round != 2 {
				t.Errorf("%s takes the next run for round %d %v after the first end, want 2", n.name, round, spreads)
			}
		}
	})
}
