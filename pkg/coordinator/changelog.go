package coordinator

import (
	"cmp"
	"slices"
)

// changeLog holds values by ID in the order in which they changed, so that each node is sent what changed after its
// last answer. The zero value is empty. For the goroutine of Run alone.
type changeLog[T any] struct {
	entries map[string]*logEntry[T]
	number  uint64 // number of the last change
}

// logEntry is a value with the number of its last change.
type logEntry[T any] struct {
	value  T
	number uint64
}

// get returns a pointer to the value of an ID, nil if there is none. Writing through it does not count as a change.
func (l *changeLog[T]) get(id string) *T {
	if c := l.entries[id]; c != nil {
		return &c.value
	}
	return nil
}

// set sets the value of an ID and counts a change.
func (l *changeLog[T]) set(id string, value T) {
	if l.entries == nil {
		l.entries = make(map[string]*logEntry[T])
	}
	l.number++
	l.entries[id] = &logEntry[T]{value, l.number}
}

// deleteIf deletes the values for which match returns true.
func (l *changeLog[T]) deleteIf(match func(id string, value T) bool) {
	for id, c := range l.entries {
		if match(id, c.value) {
			delete(l.entries, id)
		}
	}
}

// since returns the IDs whose values changed after the change with the given number and for which include returns
// true, oldest changes first and no more than limit. It also returns the number of the last change that the list covers.
func (l *changeLog[T]) since(number uint64, limit int, include func(T) bool) ([]string, uint64) {
	if number >= l.number {
		return nil, l.number
	}
	var ids []string
	for id, c := range l.entries {
		if c.number > number && include(c.value) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return cmp.Compare(l.entries[a].number, l.entries[b].number) })
	if len(ids) <= limit {
		return ids, l.number
	}
	return ids[:limit], l.entries[ids[limit-1]].number
}
