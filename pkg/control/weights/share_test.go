package weights

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestShare checks the share of one cell for claims with known results.
func TestShare(t *testing.T) {
	budget := Budget{Slots: 8, Rate: 2}
	heard := testStart.Add(-time.Second)
	cases := []struct {
		name   string
		own    Claim
		others []Claim
		slots  int
		rate   float64
	}{
		{"alone", Claim{Cell: "a", Wanted: 20}, nil, 8, 2},
		{"alone and idle", Claim{Cell: "a"}, nil, 8, 2},
		{"equal claims", Claim{Cell: "a", Wanted: 9}, []Claim{{Cell: "b", Wanted: 9, UpdatedAt: heard}}, 4, 1},
		{
			"urgent loads weigh more",
			Claim{Cell: "a", Wanted: 9, Urgent: 9},
			[]Claim{{Cell: "b", Wanted: 9, UpdatedAt: heard}}, 7, 2 * 37.0 / 47,
		},
		{"slots that the other can't use are available", Claim{Cell: "a", Wanted: 9}, []Claim{{Cell: "b", Wanted: 1, UpdatedAt: heard}}, 7, 2 * 10.0 / 12},
		{"a lost owner's claim expires", Claim{Cell: "a", Wanted: 9}, []Claim{{Cell: "b", Wanted: 9, UpdatedAt: heard.Add(-ClaimExpiry)}}, 8, 2},
		{"one slot at least", Claim{Cell: "a"}, []Claim{{Cell: "b", Wanted: 50, Urgent: 50, UpdatedAt: heard}}, 1, 2 * 1.0 / 202},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Share(testStart, budget, c.own, c.others)
			if got.Slots != c.slots || got.Rate < c.rate-0.001 || got.Rate > c.rate+0.001 {
				t.Errorf("Share = %+v, want %d slots, rate %.3f", got, c.slots, c.rate)
			}
		})
	}
}

// TestSharesFitTheBudget checks that owners with the same claims together use no
// more slots than there are, apart from the one slot that each may always use.
func TestSharesFitTheBudget(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	properties := gopter.NewProperties(parameters)
	properties.Property("slots in use fit", prop.ForAll(
		func(wanted []int, slots int) bool {
			return usedSlots(wanted, slots) <= slots+len(wanted)-1
		},
		gen.SliceOfN(5, gen.IntRange(0, 30)), gen.IntRange(1, 20),
	))
	properties.TestingRun(t)
}

// usedSlots returns the total number of slots that the cells use.
func usedSlots(wanted []int, slots int) int {
	var claims []Claim
	for index, count := range wanted {
		claims = append(claims, Claim{Cell: api.CellName(rune('a' + index)), Wanted: count, Urgent: count / 2, UpdatedAt: testStart})
	}
	used := 0
	for _, claim := range claims {
		used += min(claim.need(), Share(testStart, Budget{Slots: slots, Rate: 1}, claim, claims).Slots)
	}
	return used
}
