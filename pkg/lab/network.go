package lab

import "time"

// network delivers messages between zones. A zone that is cut off reaches no other.
type network struct {
	clock  *clock
	delays Delays
	cut    []bool // by zone index
}

// newNetwork returns a network in which all zones are connected.
func newNetwork(c *clock, scenario *Scenario) *network {
	return &network{clock: c, delays: scenario.Delays, cut: make([]bool, len(scenario.Zones))}
}

// reaches reports whether messages pass between two zones.
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

// send delivers a message, unless the zones are cut off from each other when it is sent or when it
// would arrive.
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
