// Package weights divides the load slots of the weight store, which holds the
// models' weights, among the cells that load from it. Each owner computes the
// division itself from the claims that it last received, so that no coordinator
// is needed. Owners with different claims may briefly start a few loads too many,
// which only makes loads slower.
package weights

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
)

// ClaimExpiry is how long a cell's claim counts after it was last received. It
// bounds how long the share of a lost owner stays unused.
const ClaimExpiry = 5 * time.Second

// urgentWeight is the weight of a load that callers wait for, relative to other
// loads.
const urgentWeight = 4

// Budget is what the weight store allows to all cells together.
type Budget struct {
	Slots int     // concurrent loads at full speed
	Rate  float64 // load starts per second
}

// Claim is one cell's current and wanted use of the weight store.
type Claim struct {
	Cell      api.CellName
	Active    int       // loads in progress
	Wanted    int       // loads waiting for a slot
	Urgent    int       // loads among Wanted that callers wait for
	UpdatedAt time.Time // when the claim was last received
}

// Allocation is one cell's share of the budget.
type Allocation struct {
	Slots int     // concurrent loads, including those in progress
	Rate  float64 // load starts per second
}

// weight is the cell's weight in dividing the budget. It is never zero, so that
// an idle cell can start its next load immediately.
func (c Claim) weight() float64 {
	return 1 + float64(c.Active+c.Wanted) + (urgentWeight-1)*float64(c.Urgent)
}

// need returns the number of slots that the cell can use.
func (c Claim) need() int {
	return c.Active + c.Wanted
}

// Share returns the share of the cell in own. It depends only on its arguments:
// the slots go one by one to the cell that is furthest below its weighted share.
// A cell always gets at least one slot, and slots that no cell needs are
// available to every cell.
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

// liveClaims returns own and the claims that have not expired and need slots,
// sorted by cell.
func liveClaims(now time.Time, own Claim, others []Claim) []Claim {
	claims := []Claim{own}
	for _, claim := range others {
		wants := claim.need() > 0
		if claim.Cell != own.Cell && wants && now.Sub(claim.UpdatedAt) < ClaimExpiry {
			claims = append(claims, claim)
		}
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].Cell < claims[j].Cell })
	return claims
}

// splitSlots assigns the slots one by one and returns the number of slots of each
// claim.
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

// isFurtherBelow reports whether (given+1)/weight is lower for a than for b.
func isFurtherBelow(a Claim, givenA int, b Claim, givenB int) bool {
	return float64(givenA+1)*b.weight() < float64(givenB+1)*a.weight()
}
