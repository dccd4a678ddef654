package coordinator

import (
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// maxAnnouncementPause is the longest time between two simulated announcements by servers.
const maxAnnouncementPause = 2 * time.Second

// leaveAnnouncement is a server's announcement to one incarnation of a node that it leaves.
type leaveAnnouncement struct {
	node   *simNode
	server string // ID of its incarnation
	at     time.Duration
}

// announceLeaving makes a random server announce to a random node that it leaves.
func (sim *simulation) announceLeaving(random *rand.Rand) (leaveAnnouncement, bool) {
	sim.mu.Lock()
	n := sim.nodes[random.IntN(len(sim.nodes))]
	sim.mu.Unlock()
	if n.isFrozen() {
		return leaveAnnouncement{}, false
	}
	list := n.node.servers.Snapshot().Service("s")
	if len(list) == 0 {
		return leaveAnnouncement{}, false
	}
	id := list[random.IntN(len(list))].ID
	heard := n.node.servers.MergeSignals(id, backpressure.SharedState{Leaving: true})
	n.member.SignalsChanged(heard)
	sim.logEvent("%s announces to %s that it leaves", id, n.name)
	return leaveAnnouncement{n, id, time.Since(sim.leaseStore.started)}, true
}

// checkAnnouncements checks that all nodes know the announcements made to nodes that have not
// crashed since.
func (sim *simulation) checkAnnouncements(announcements []leaveAnnouncement) {
	for _, a := range announcements {
		select {
		case <-a.node.crashed:
			continue // it may have crashed before it passed the announcement on
		default:
		}
		for _, n := range sim.nodes {
			m := n.node.servers.Snapshot().Member(a.server)
			if m != nil && !m.SharedSignals().Leaving {
				sim.t.Errorf("%s does not know that %s leaves, which it announced to %s at %v", n.name, a.server, a.node.name, a.at)
			}
		}
	}
}

// TestServerAnnouncementsReachAllNodesInSchedules runs the explorer's faults, and crashes of all
// nodes at once, while servers announce to single nodes that they leave. All nodes must know it once
// the faults are over.
func TestServerAnnouncementsReachAllNodesInSchedules(t *testing.T) {
	explore(t, func(sim *simulation, seed uint64) {
		sim.keepNodeAddresses = seed%2 == 0
		random := rand.New(rand.NewPCG(seed, 7))
		announcements := make(chan []leaveAnnouncement)
		go func() {
			var list []leaveAnnouncement
			for time.Since(sim.leaseStore.started) < faultTime {
				time.Sleep(time.Duration(random.Int64N(int64(maxAnnouncementPause))))
				if a, announced := sim.announceLeaving(random); announced {
					list = append(list, a)
				}
			}
			announcements <- list
		}()
		sim.runFaultsAndCrashes()
		list := <-announcements
		time.Sleep(settleTime)
		sim.checkAnnouncements(list)
		time.Sleep(recoverTime) // virtual; lets pending load requests end
		sim.stopNodes()
	})
}
