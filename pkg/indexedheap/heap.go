// Package indexedheap provides a heap whose entries know their positions, so that
// any of them can be moved or removed.
package indexedheap

// NoPosition is the position of an entry that is not in a heap.
const NoPosition = -1

// Entry is the interface of the entries of a Heap.
type Entry[E any] interface {
	// Before reports whether the entry is popped before other.
	Before(other E) bool
	// SetPosition stores the entry's position for heap.Fix and heap.Remove. It
	// is called with NoPosition when the entry leaves the heap.
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
