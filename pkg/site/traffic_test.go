package site

import (
	"fmt"
	"slices"
	"testing"

	"martenwheel.dev/pkg/peer"
)

// TestTrafficIsToldByKind: what was said since the last line, the kinds with the most bytes first.
func TestTrafficIsToldByKind(t *testing.T) {
	before := map[string]peer.Traffic{"example.org/pkg/watch.News": {BytesSent: 10}, "control": {BytesSent: 5}}
	now := map[string]peer.Traffic{"example.org/pkg/watch.News": {BytesSent: 110, BytesReceived: 7}, "control": {BytesSent: 5}}
	if got := since(before, now); !slices.Equal(got, []kindTraffic{{"watch.News", 100, 7}}) {
		t.Errorf("the traffic is %+v", got)
	}
	for i := range 2 * trafficKinds {
		now[fmt.Sprint("kind", i)] = peer.Traffic{BytesReceived: uint64(i)}
	}
	if got := since(before, now); len(got) != trafficKinds || got[1].Kind != "kind11" {
		t.Errorf("the traffic is %+v", got)
	}
}
