package lab

import "time"

// network carries messages between zones. A cut zone reaches no other.
type network struct {
	clock  *clock
	delays Delays
	cut    []bool // by zone
}

// newNetwork returns a whole network.
func newNetwork(c *clock, scenario *Scenario) *network {
	return &network{clock: c, delays: scenario.Delays, cut: make([]bool, len(scenario.Zones))}
}

// reaches tells whether messages pass between two zones.
func (n *network) reaches(from, to int) bool {
	return from == to || !n.cut[from] && !n.cut[to]
}

// delay returns the one-way delay between two zones.
func (n *network) delay(from, to int) time.Duration {
	if from == to {
		return n.delays.WithinZone
	}
	return n.delays.BetweenZones
}

// send delivers a message unless the zones are cut from each other when it is
// sent or would arrive.
func (n *network) send(from, to int, deliver func()) {
	if !n.reaches(from, to) {
		return
	}
	n.clock.after(n.delay(from, to), func() {
		if n.reaches(from, to) {
			deliver()
		}
	})
}
