package backend

import (
	"testing"
	"time"
)

// TestSlownessComparesServersByTheirModels: a server is slow by what others need
// for the same model, not because its models are large.
func TestSlownessComparesServersByTheirModels(t *testing.T) {
	d := &Directory{}
	d.Replace([]*Server{{ID: "fast", Service: "s"}, {ID: "slow", Service: "s"}, {ID: "large", Service: "s"}}, 1)
	slowness := func(id string) float64 { return d.Snapshot().Member(id).Slowness() }
	for range 20 {
		d.Paced("fast", "m", 20*time.Millisecond)
		d.Paced("slow", "m", 26*time.Millisecond)
		d.Paced("large", "n", 100*time.Millisecond)
	}
	for id, want := range map[string]float64{"fast": 1, "slow": 1.3, "large": 1} {
		if got := slowness(id); got < want-0.01 || got > want+0.01 {
			t.Errorf("the slowness of %s is %.3f, want %.3f", id, got, want)
		}
	}
	for range 20 {
		d.Paced("slow", "m", 20*time.Millisecond)
	}
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("a server that is fast again has the slowness %.3f", got)
	}
	d.Paced("slow", "m", 0)
	d.Paced("gone", "m", time.Second)
	if got := slowness("slow"); got > 1.02 {
		t.Errorf("a stream that tells no pace left the slowness %.3f", got)
	}
}
