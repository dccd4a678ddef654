package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

func cellVersion(name string, version uint64) CellVersion {
	return CellVersion{Cell: api.CellName(name), Term: 1, Version: version}
}

// TestDigestsReachNeighboursAndFollowChanges checks, with and without packet loss, that each neighbour has
// the sender's last digest, without its cells if it is in another region.
func TestDigestsReachNeighboursAndFollowChanges(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		n := newNetwork(t, networkConfig{seed: 21, nodes: 12, regions: 2, zones: 4, loss: loss, duplicates: loss, jitter: 20 * time.Millisecond})
		n.run(10 * time.Second)
		changes := []Digest{
			{TreeRevision: 1},
			{TreeRevision: 2, Cells: []CellVersion{cellVersion("a@r", 1), cellVersion("b@r", 1)}},
			{TreeRevision: 2, Cells: []CellVersion{cellVersion("a@r", 2), cellVersion("b@r", 1)}},
			{TreeRevision: 2, Cells: []CellVersion{cellVersion("b@r", 1), cellVersion("c@r", 1)}},
			{TreeRevision: 3, Cells: nil},
		}
		for _, digest := range changes {
			sender := n.node("n005")
			sender.machine.SetDigest(digest)
			n.run(5 * time.Second)
			for _, neighbour := range sender.machine.Neighbours() {
				want := digest
				if neighbour.Region != sender.ref.Region {
					want.Cells = nil
				}
				got, known := n.node(neighbour.ID).machine.Digest("n005")
				if !known || got.TreeRevision != want.TreeRevision || !reflect.DeepEqual(cellsByName(got.Cells), cellsByName(want.Cells)) {
					t.Errorf("loss %v: %s has %v of n005, want %v", loss, neighbour.ID, got, want)
				}
			}
		}
	}
}

// TestDigestOfAnEarlierIncarnationIsDropped checks that the digest of a node that was restarted is forgotten.
func TestDigestOfAnEarlierIncarnationIsDropped(t *testing.T) {
	n := newNetwork(t, networkConfig{seed: 22, nodes: 3, regions: 1, zones: 3})
	n.run(5 * time.Second)
	n.node("n001").machine.SetDigest(Digest{TreeRevision: 9})
	n.run(2 * time.Second)
	n.kill("n001")
	n.start(1, 2)
	n.run(2 * time.Second)
	if got, known := n.node("n000").machine.Digest("n001"); known {
		t.Errorf("digest of the earlier incarnation is still known: %v", got)
	}
	n.node("n001").machine.SetDigest(Digest{TreeRevision: 4})
	n.run(2 * time.Second)
	if got, _ := n.node("n000").machine.Digest("n001"); got.TreeRevision != 4 {
		t.Errorf("got %v, want revision 4", got)
	}
}

// TestDigestNewsCarryChangesOnly checks that a change of one cell does not cause the other cells to be sent
// again.
func TestDigestNewsCarryChangesOnly(t *testing.T) {
	var state digestState
	digest := Digest{TreeRevision: 1}
	for index := range 10 {
		digest.Cells = append(digest.Cells, cellVersion(fmt.Sprint(index), 1))
	}
	state.set(digest)
	if news := state.newsSince(0, true); len(news.Cells) != 10 {
		t.Errorf("the first news has %d cells, want 10", len(news.Cells))
	}
	known := state.serial
	if news := state.newsSince(known, true); news != nil {
		t.Errorf("news without a change: %v", news)
	}
	digest.Cells = append([]CellVersion(nil), digest.Cells...)
	digest.Cells[3].ActiveLoads = 2
	state.set(digest)
	news := state.newsSince(known, true)
	if len(news.Cells) != 1 || news.Cells[0].ActiveLoads != 2 || news.Base != known {
		t.Errorf("news of one change: %+v", news)
	}
	state.set(Digest{TreeRevision: 1, Cells: digest.Cells[1:]})
	if news := state.newsSince(known, true); news.Base != 0 || len(news.Cells) != 9 {
		t.Errorf("news after a removal: %+v", news)
	}
}
