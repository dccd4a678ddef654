package indexedheap

import (
	"container/heap"
	"testing"
)

type entry struct {
	rank, position int
}

func (e *entry) Before(other *entry) bool { return e.rank < other.rank }
func (e *entry) SetPosition(position int) { e.position = position }

func TestEntriesAreMovedAndRemovedAnywhere(t *testing.T) {
	var entries Heap[*entry]
	byRank := make(map[int]*entry)
	for _, rank := range []int{50, 10, 40, 20, 30} {
		byRank[rank] = &entry{rank: rank}
		heap.Push(&entries, byRank[rank])
	}
	heap.Remove(&entries, byRank[40].position)
	byRank[50].rank = 15
	heap.Fix(&entries, byRank[50].position)
	for _, want := range []int{10, 15, 20, 30} {
		if first := heap.Pop(&entries).(*entry); first.rank != want || first.position != NoPosition {
			t.Errorf("got %+v, want rank %d at no position", first, want)
		}
	}
	if byRank[40].position != NoPosition || len(entries) != 0 {
		t.Errorf("removed entry at %d, %d entries left", byRank[40].position, len(entries))
	}
}
