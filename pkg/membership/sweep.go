package membership

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// If a zone or region is cut off, the ring neighbours of its nodes are often cut off with it and can't report
// them. Therefore several deaths within a short time start a sweep of their zone by all other nodes.

// zoneDeaths has the times of the latest deaths in a zone.
type zoneDeaths struct {
	last       time.Time
	sweepUntil time.Time
}

// sweeps has the zones with recent deaths.
type sweeps map[string]zoneDeaths

// recordDeath starts or extends a sweep if the death is not the first one within SweepWindow.
func (s sweeps) recordDeath(now time.Time, zone string) {
	deaths := s[zone]
	if !deaths.last.IsZero() && now.Sub(deaths.last) <= SweepWindow {
		deaths.sweepUntil = now.Add(SweepDuration)
	}
	deaths.last = now
	s[zone] = deaths
}

// forgetOld removes the zones without recent deaths.
func (s sweeps) forgetOld(now time.Time) {
	for zone, deaths := range s {
		if now.Sub(deaths.last) > SweepWindow {
			delete(s, zone)
		}
	}
}

// sweep probes a random live member of the zones that are being swept. A node with a lag leaves this to
// others, as its own delay may be why members seem dead.
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
		sweeping := now.Before(m.sweeps[known.update.Ref.Zone].sweepUntil)
		if sweeping && known != m.self && known.update.State == StateAlive && !probed[id] {
			candidates = append(candidates, known.update.Ref)
		}
	}
	if len(candidates) == 0 {
		return packets
	}
	target := candidates[m.random.IntN(len(candidates))]
	return append(packets, m.probe(now, target, false))
}
