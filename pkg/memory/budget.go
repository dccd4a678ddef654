// Package memory bounds what a process holds for its requests at once. Limits of single messages are not enough for
// that: a crowd of messages that are all within their limits takes any amount.
package memory

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrUsedUp means that a budget has no room for what was to be held.
var ErrUsedUp = errors.New("memory: the budget for what requests hold is used up")

// FreeBytes is what each holder may hold beside the budget, so that ordinary requests are served whatever others hold.
// Their number is bounded by that of connections.
const FreeBytes = 4 << 10

// Budget bounds the bytes that all its holders hold at once. A nil budget, or one without a limit, bounds nothing. Safe
// for concurrent use.
type Budget struct {
	Limit int64 // bytes; zero: unlimited. Set before use.
	// Spare is the part of the limit that is left to holders of at most Small bytes. Set before use.
	Spare, Small int64
	// GroupFactor limits what the holders of one group hold to so many times what nobody holds, so that a group that
	// comes later finds room. Zero: groups have no limit. Set before use.
	GroupFactor int64

	mu       sync.Mutex
	used     int64
	groups   map[string]int64 // what each group holds of it; without groups that hold nothing
	most     int64
	refused  int64
	yielded  int64
	incoming map[*Incoming]struct{} // messages that may be told to give way
	returned chan struct{}          // closed when memory is returned; nil: nobody waits
}

// Usage is the state of a budget.
type Usage struct {
	Used    int64 // bytes that are held
	Most    int64 // the most that were held at once
	Refused int64 // how often something was not held
	Yielded int64 // how often a message that had stalled gave way
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Used: b.used, Most: b.most, Refused: b.refused, Yielded: b.yielded}
}

// take changes what one holder holds. It returns false, and changes nothing, if the budget has no room.
func (b *Budget) take(h *Hold, after int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	change, limit := after-h.charged, b.Limit
	if after > b.Small {
		limit -= b.Spare
	}
	if change > 0 && b.Limit > 0 && (b.used+change > limit || b.exceedsGroup(h.group, change)) {
		b.refused++
		return false
	}
	h.charged = after
	b.used += change
	b.addToGroup(h.group, change)
	b.most = max(b.most, b.used)
	if change < 0 && b.returned != nil {
		close(b.returned)
		b.returned = nil
	}
	return true
}

// exceedsGroup reports whether a group would hold too much after a change. The caller holds mu.
func (b *Budget) exceedsGroup(group string, change int64) bool {
	return b.GroupFactor > 0 && group != "" && b.groups[group]+change > b.GroupFactor*(b.Limit-b.used-change)
}

// addToGroup changes what a group holds. The caller holds mu.
func (b *Budget) addToGroup(group string, change int64) {
	if b.GroupFactor == 0 || group == "" || change == 0 {
		return
	}
	if b.groups == nil {
		b.groups = make(map[string]int64)
	}
	if b.groups[group] += change; b.groups[group] == 0 {
		delete(b.groups, group)
	}
}

// Hold is what one holder holds. It belongs to one goroutine at a time.
type Hold struct {
	budget  *Budget
	group   string // empty: none
	charged int64  // bytes beyond FreeBytes; guarded by the budget's mutex
}

// Hold returns a hold of nothing.
func (b *Budget) Hold() Hold { return Hold{budget: b} }

// Resize changes the hold to a number of bytes. It returns false, and changes nothing, if the budget has no room. A hold
// can always shrink.
func (h *Hold) Resize(bytes int) bool {
	return h.budget.take(h, max(int64(bytes)-FreeBytes, 0))
}

// Release returns all that is held.
func (h *Hold) Release() { h.Resize(0) }
