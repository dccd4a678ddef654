package keeper

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestMetricsTellWhoAbstains(t *testing.T) {
	keeper := NewKeeper(testMembers[0], DefaultLimits(), func() time.Time { return simStart })
	keeper.SetConfiguration(testConfiguration())
	if _, _, err := keeper.HandleMessage(ClaimRequest{testClaim("k", "1"), 1, 1}); err != nil {
		t.Fatal(err)
	}
	other := testConfiguration()
	other.Cell, other.Version = "desk@gulf-south", 1<<32+1 // a newly formed group, whose members abstain
	keeper.SetConfiguration(other)
	want := `
# HELP martenwheel_keeper_granting 1 if this keeper grants claims, 0 while it abstains.
# TYPE martenwheel_keeper_granting gauge
martenwheel_keeper_granting{cell="desk@gulf-south"} 0
martenwheel_keeper_granting{cell="fuel@gulf-south"} 1
# HELP martenwheel_keeper_records Keys of unsafe requests that this node remembers as a keeper.
# TYPE martenwheel_keeper_records gauge
martenwheel_keeper_records{cell="desk@gulf-south"} 0
martenwheel_keeper_records{cell="fuel@gulf-south"} 1
`
	if err := testutil.CollectAndCompare(keeper, strings.NewReader(want)); err != nil {
		t.Error(err)
	}
}
