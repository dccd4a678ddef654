package membership

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// The ring neighbours of a node that is cut off with its zone or region are
// often cut off with it. So deaths that come together start a sweep of their
// zone by all other nodes.

// zoneDeaths are the latest deaths in a zone.
type zoneDeaths struct {
	last       time.Time
	sweepUntil time.Time
}

// sweeps holds the zones in which somebody died lately.
type sweeps map[string]zoneDeaths

// recordDeath starts or prolongs a sweep if the death is not the first one
// within SweepWindow.
func (s sweeps) recordDeath(now time.Time, zone string) {
	deaths := s[zone]
	if !deaths.last.IsZero() && now.Sub(deaths.last) <= SweepWindow {
		deaths.sweepUntil = now.Add(SweepDuration)
	}
	deaths.last = now
	s[zone] = deaths
}

// forgetOld drops the zones in which nobody died lately.
func (s sweeps) forgetOld(now time.Time) {
	for zone, deaths := range s {
		if now.Sub(deaths.last) > SweepWindow {
			delete(s, zone)
		}
	}
}

// sweep probes a random live member of the zones that are swept. A node that
// is behind itself leaves that to others: its own delay may be what made
// members look dead.
func (m *Machine) sweep(now time.Time, packets []Packet) []Packet {
	m.sweeps.forgetOld(now)
	if len(m.sweeps) == 0 || m.lag.level > 0 {
		return packets
	}
	probed := make(map[api.NodeID]bool, len(m.probes))
	for _, waiting := range m.probes {
		probed[waiting.target.ID] = true
	}
	var candidates []api.NodeRef
	for _, id := range m.ids {
		known := m.table[id]
		swept := now.Before(m.sweeps[known.update.Ref.Zone].sweepUntil)
		if swept && known != m.self && known.update.State == StateAlive && !probed[id] {
			candidates = append(candidates, known.update.Ref)
		}
	}
	if len(candidates) == 0 {
		return packets
	}
	target := candidates[m.random.IntN(len(candidates))]
	return append(packets, m.probe(now, target, false))
}
