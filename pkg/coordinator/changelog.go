package coordinator

import (
	"cmp"
	"slices"
)

// changeLog is what is known of things by their IDs, with the order in which it changed, so that each node is told
// what changed since it was told last. The zero value is empty. For the holder's loop alone.
type changeLog[T any] struct {
	known  map[string]*changed[T]
	number uint64 // of the last change
}

// changed is one thing with the number of its last change.
type changed[T any] struct {
	value  T
	number uint64
}

// get returns what is known of a thing, nil if nothing is. What it points to may be set without a change.
func (l *changeLog[T]) get(id string) *T {
	if c := l.known[id]; c != nil {
		return &c.value
	}
	return nil
}

// set notes a change of a thing.
func (l *changeLog[T]) set(id string, value T) {
	if l.known == nil {
		l.known = make(map[string]*changed[T])
	}
	l.number++
	l.known[id] = &changed[T]{value, l.number}
}

// forget drops the things that a test tells are over.
func (l *changeLog[T]) forget(over func(id string, value T) bool) {
	for id, c := range l.known {
		if over(id, c.value) {
			delete(l.known, id)
		}
	}
}

// since returns the things that changed after a number and are still to be told, so many at most, the oldest changes
// first, and the number of the change up to which nothing is missing.
func (l *changeLog[T]) since(number uint64, most int, tells func(T) bool) ([]string, uint64) {
	if number >= l.number {
		return nil, l.number
	}
	var ids []string
	for id, c := range l.known {
		if c.number > number && tells(c.value) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(l.known[a].number, l.known[b].number) })
	if len(ids) <= most {
		return ids, l.number
	}
	return ids[:most], l.known[ids[most-1]].number
}
