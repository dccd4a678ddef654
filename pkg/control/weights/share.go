// Package weights splits the weight store's slots among the cells that load
// from it. Each owner computes the split by itself from what it last heard of
// the others, so that no one has to be asked. Owners that know different things
// may start a few loads too many for a moment, which only makes loads slower.
package weights

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
)

// ClaimExpiry is how long the claim of a cell counts after it was last heard.
// It bounds how long the share of a lost owner stays unused.
const ClaimExpiry = 5 * time.Second

// urgentWeight is how much more a load counts that callers wait for.
const urgentWeight = 4

// Budget is what the weight store allows to all cells together.
type Budget struct {
	Slots int     // loads at once at full speed
	Rate  float64 // loads started a second
}

// Claim is what one cell has under way and wants.
type Claim struct {
	Cell   api.CellName
	Active int // loads under way
	Wanted int // loads waiting for a slot
	Urgent int // of these, ones that callers wait for
	Heard  time.Time
}

// Allocation is the part of the budget that one cell may use.
type Allocation struct {
	Slots int // including the loads under way
	Rate  float64
}

// weight is the cell's part of a contended budget. A cell that wants nothing
// keeps a small one, so that its next load can start at once.
func (c Claim) weight() float64 {
	return 1 + float64(c.Active+c.Wanted) + (urgentWeight-1)*float64(c.Urgent)
}

// need is the number of slots that the cell can use.
func (c Claim) need() int {
	return c.Active + c.Wanted
}

// Share returns the part of the budget of the cell own. It is a function of its
// arguments alone: the slots go one by one to the cell that is furthest below
// its weighted part. A cell always gets one slot, and slots that no cell needs
// are open to all.
func Share(now time.Time, budget Budget, own Claim, others []Claim) Allocation {
	claims := liveClaims(now, own, others)
	slots := splitSlots(budget.Slots, claims)
	total := 0.0
	spare := budget.Slots
	for index, claim := range claims {
		total += claim.weight()
		spare -= slots[index]
	}
	for index, claim := range claims {
		if claim.Cell == own.Cell {
			return Allocation{
				Slots: max(1, slots[index]+max(0, spare)),
				Rate:  budget.Rate * claim.weight() / total,
			}
		}
	}
	return Allocation{Slots: 1, Rate: budget.Rate}
}

// liveClaims returns the claims that still count, sorted by cell.
func liveClaims(now time.Time, own Claim, others []Claim) []Claim {
	claims := []Claim{own}
	for _, claim := range others {
		wants := claim.need() > 0
		if claim.Cell != own.Cell && wants && now.Sub(claim.Heard) < ClaimExpiry {
			claims = append(claims, claim)
		}
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Cell < claims[j].Cell })
	return claims
}

// splitSlots gives out slots one by one and returns how many each claim got.
func splitSlots(slots int, claims []Claim) []int {
	given := make([]int, len(claims))
	for ; slots > 0; slots-- {
		best := -1
		for index, claim := range claims {
			if given[index] >= claim.need() {
				continue
			}
			if best < 0 || isFurtherBelow(claim, given[index], claims[best], given[best]) {
				best = index
			}
		}
		if best < 0 {
			break
		}
		given[best]++
	}
	return given
}

// isFurtherBelow compares (given+1)/weight of two claims.
func isFurtherBelow(a Claim, givenA int, b Claim, givenB int) bool {
	return float64(givenA+1)*b.weight() < float64(givenB+1)*a.weight()
}
