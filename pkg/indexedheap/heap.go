// Package indexedheap is a heap whose entries know their positions, so that any
// of them can be moved or removed.
package indexedheap

// NoPosition is the position of an entry that is in no heap.
const NoPosition = -1

// Entry is what a Heap holds.
type Entry[E any] interface {
	// Before tells whether the entry comes out before other.
	Before(other E) bool
	// SetPosition notes the entry's position for heap.Fix and heap.Remove, or
	// NoPosition when it leaves the heap.
	SetPosition(position int)
}

// Heap implements heap.Interface; use it through package container/heap. The
// first entry is at index 0. It is not safe for concurrent use.
type Heap[E Entry[E]] []E

// Len implements heap.Interface.
func (h Heap[E]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h Heap[E]) Less(i, j int) bool { return h[i].Before(h[j]) }

// Swap implements heap.Interface.
func (h Heap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].SetPosition(i)
	h[j].SetPosition(j)
}

// Push implements heap.Interface.
func (h *Heap[E]) Push(added any) {
	entry := added.(E)
	entry.SetPosition(len(*h))
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *Heap[E]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	var none E
	(*h)[last] = none
	*h = (*h)[:last]
	entry.SetPosition(NoPosition)
	return entry
}
