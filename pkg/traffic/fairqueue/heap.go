package fairqueue

// heapEntry is what an indexedHeap holds.
type heapEntry[E any] interface {
	before(other E) bool
	setPosition(position int)
}

// indexedHeap is a heap, for package heap, whose entries know their positions
// and so can be fixed or removed anywhere.
type indexedHeap[E heapEntry[E]] []E

func (h indexedHeap[E]) Len() int           { return len(h) }
func (h indexedHeap[E]) Less(i, j int) bool { return h[i].before(h[j]) }
func (h indexedHeap[E]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setPosition(i)
	h[j].setPosition(j)
}

// Push appends an entry; for package heap.
func (h *indexedHeap[E]) Push(added any) {
	entry := added.(E)
	entry.setPosition(len(*h))
	*h = append(*h, entry)
}

// Pop removes the last entry; for package heap.
func (h *indexedHeap[E]) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	var none E
	(*h)[last] = none
	*h = (*h)[:last]
	return entry
}
