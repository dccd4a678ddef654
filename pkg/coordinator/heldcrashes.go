package coordinator

import (
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// heldTime is how long a crash is held back at most while the node of its run lives: clearanceWaitByRecord and a
// heartbeat.
const heldTime = clearanceWaitByRecord + 800*time.Millisecond

// watchHeld has the holder count crashes that stay held back because the node of the run was lost. Reports that show
// another cause reach this node as well, unless it had just joined when it learned of the crash: after a loss of all nodes
// such reports may be lost with the nodes.
func (m *Member) watchHeld(list []quarantine.Evidence) {
	for _, e := range list {
		for _, server := range e.HeldServers() {
			since, held := m.Quarantine.HeldSince(m.Time.Now(), e.Request, server)
			run := isolatedRun{e.Request, server}
			if held && !m.isJoining(since) && m.held.begin(run) {
				time.AfterFunc(heldTime, func() { m.decideHeld(run) })
			}
		}
	}
}

// decideHeld counts a crash if it is still held back and this node is the holder.
func (m *Member) decideHeld(run isolatedRun) {
	m.held.end(run)
	if _, held := m.Lease.Held(); !held {
		return
	}
	change := m.Quarantine.Decide(m.Time.Now(), run.request, run.server)
	m.logStanding(change, "its server ended, and its node is lost")
	m.announceEvidence(change)
}
