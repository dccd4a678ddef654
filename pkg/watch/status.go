package watch

import "time"

// The log lines of this file tell why a node lacks a change that others have: its role, whom it follows, when it last
// heard of them, and how its own calls of the store went.

// overdueLogInterval is the least time between log lines about the same overdue table.
const overdueLogInterval = 5 * time.Second

// overdueTable is a table whose rows have not been confirmed for longer than its bound.
type overdueTable struct {
	since    time.Time
	loggedAt time.Time
}

// logOverdue logs which tables have not been confirmed for longer than their bound, and which are again.
func (h *Hub) logOverdue(f *followState, now time.Time) {
	if f.overdue == nil {
		f.overdue = make(map[string]overdueTable)
	}
	for _, t := range h.Tables {
		late, was := f.overdue[t.Name]
		switch isLate := t.Overdue() && now.Sub(h.started) > t.Bound; {
		case isLate && !was:
			f.overdue[t.Name] = overdueTable{now, now}
			h.logStatus(f, t, now)
		case isLate && now.Sub(late.loggedAt) >= overdueLogInterval:
			f.overdue[t.Name] = overdueTable{late.since, now}
			h.logStatus(f, t, now)
		case !isLate && was:
			delete(f.overdue, t.Name)
			h.Logger.Info("table is confirmed again", "table", t.Name, "version", t.Version(), "overdue_ms", now.Sub(late.since).Milliseconds())
		}
	}
}

// logStatus logs all that decides when a node gets the changes of a table.
func (h *Hub) logStatus(f *followState, t *Table, now time.Time) {
	left, failures := h.breaker.pauseLeft(now, t.failurePauses())
	t.mu.Lock()
	failure, gap := t.lastFailure, t.gapSince
	t.mu.Unlock()
	h.Logger.Warn("table is overdue", "table", t.Name, "version", t.Version(), "age_ms", t.Age().Milliseconds(), "bound_ms", t.Bound.Milliseconds(),
		"role", f.role, "main", f.main, "main_heard_ms", h.sinceHeard(f.main, now), "second", f.second, "second_heard_ms", h.sinceHeard(f.second, now),
		"gap_ms", sinceKnown(now, gap), "store_failures", failures, "store_pause_ms", left.Milliseconds(),
		"store_error", failure.err, "store_failed_ms", sinceKnown(now, failure.at))
}

// sinceHeard returns the milliseconds since a node was last heard, never if it was not.
func (h *Hub) sinceHeard(address string, now time.Time) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.parents[address]; p != nil {
		return sinceKnown(now, p.lastHeard)
	}
	return never
}

// never is logged in place of the milliseconds since something that did not happen.
const never = -1

// sinceKnown returns the milliseconds since a time, never if the time is zero.
func sinceKnown(now, at time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return now.Sub(at).Milliseconds()
}
