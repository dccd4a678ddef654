package control

import (
	"time"

	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/membership"
)

// claimEntry is the newest known claim of a cell on the weight store, with the
// owner's term and the claim's version in that term.
type claimEntry struct {
	claim   weights.Claim
	term    uint64
	version uint64
}

// updateClaim stores the claim from a peer's digest if it is newer. An owner
// keeps its own claim.
func (c *cellControl) updateClaim(now time.Time, theirs membership.CellVersion) {
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
			Cell: c.name, Active: theirs.ActiveLoads, Wanted: theirs.WantedLoads, Urgent: theirs.UrgentLoads, UpdatedAt: now,
		},
	}
}

// refreshClaims recomputes the claims of the cells that this node owns and
// publishes them in the digest.
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

// allocation returns the cell's share of the weight store's load slots and load
// rate.
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

// claim returns the cell's claim on the weight store: the owner's current one if
// this node owns the cell, else the newest one received.
func (c *cellControl) claim(now time.Time) weights.Claim {
	if c.owner != nil {
		return c.owner.Claim(now)
	}
	return c.newestClaim.claim
}
