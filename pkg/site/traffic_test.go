package site

import (
	"fmt"
	"slices"
	"testing"

	"martenwheel.dev/pkg/peer"
)

// TestTrafficIsLoggedByKind checks that only traffic after the last log line counts, and that the kinds with the
// most bytes come first.
func TestTrafficIsLoggedByKind(t *testing.T) {
	before := map[string]peer.Traffic{"example.org/pkg/watch.News": {BytesSent: 10}, "control": {BytesSent: 5}}
	now := map[string]peer.Traffic{"example.org/pkg/watch.News": {BytesSent: 110, BytesReceived: 7}, "control": {BytesSent: 5}}
	if got := trafficSince(before, now); !slices.Equal(got, []kindTraffic{{"watch.News", 100, 7}}) {
		t.Errorf("the traffic is %+v", got)
	}
	for i := range 2 * trafficKinds {
		now[fmt.Sprint("kind", i)] = peer.Traffic{BytesReceived: uint64(i)}
	}
	if got := trafficSince(before, now); len(got) != trafficKinds || got[1].Kind != "kind11" {
		t.Errorf("the traffic is %+v", got)
	}
}
