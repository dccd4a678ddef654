package control

import (
	"time"

	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/membership"
)

// claimEntry is the newest claim of a cell on the weight store.
type claimEntry struct {
	claim   weights.Claim
	term    uint64
	version uint64
}

// hearClaim takes over a newer claim of another owner.
func (c *cellControl) hearClaim(now time.Time, theirs membership.CellVersion) {
	if c.owner != nil {
		return
	}
	same := theirs.Term == c.newestClaim.term
	if theirs.Term < c.newestClaim.term || same && theirs.LoadsVersion <= c.newestClaim.version {
		return
	}
	c.newestClaim = claimEntry{
		term:    theirs.Term,
		version: theirs.LoadsVersion,
		claim: weights.Claim{
			Cell: c.name, Active: theirs.ActiveLoads, Wanted: theirs.WantedLoads, Urgent: theirs.UrgentLoads, Heard: now,
		},
	}
}

// refreshClaims renews the claims of the cells that this node owns.
func (m *Machine) refreshClaims() {
	if m.now.Before(m.claimsAt) {
		return
	}
	m.claimsAt = m.now.Add(m.timing.ClaimInterval)
	for _, name := range m.cellOrder {
		c := m.cells[name]
		if c.owner == nil {
			continue
		}
		claim := c.owner.Claim(m.now)
		version := c.newestClaim.version
		if c.newestClaim.term != c.owner.Term() {
			version = 0
		}
		if version == 0 || claim.Active+claim.Wanted > 0 || c.newestClaim.claim.Active+c.newestClaim.claim.Wanted > 0 {
			version++
		}
		c.newestClaim = claimEntry{claim: claim, term: c.owner.Term(), version: version}
	}
	m.updateDigest()
}

// allocation is the cell's part of the weight store's slots.
func (c *cellControl) allocation(now time.Time) weights.Allocation {
	m := c.machine
	budget := weights.Budget{Slots: 1, Rate: 1}
	if m.settings != nil {
		root := m.settings.Root()
		budget = weights.Budget{Slots: root.WeightFullSpeed, Rate: root.WeightLoadRate}
	}
	var others []weights.Claim
	for _, name := range m.cellOrder {
		if name != c.name {
			others = append(others, m.cells[name].claim(now))
		}
	}
	return weights.Share(now, budget, c.owner.Claim(now), others)
}

// claim returns the cell's claim on the weight store as known here.
func (c *cellControl) claim(now time.Time) weights.Claim {
	if c.owner != nil {
		return c.owner.Claim(now)
	}
	return c.newestClaim.claim
}
