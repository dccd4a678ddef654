package membership

import "time"

// lag tells how far this node is behind itself. A node that is short of
// processor time finds the answers of others late in its own queues; it must
// not take that for their silence.
type lag struct {
	level  int // 0 to MaxLag
	inTime int // ticks in a row
}

// tick takes over the time between two ticks.
func (l *lag) tick(gap time.Duration) {
	if gap > LateTick {
		l.raise()
		return
	}
	l.inTime++
	if l.inTime >= LagRecovery {
		l.inTime = 0
		l.level = max(l.level-1, 0)
	}
}

// raise records a sign of delay.
func (l *lag) raise() {
	l.inTime = 0
	l.level = min(l.level+1, MaxLag)
}

// prolong returns a time-out as this node is to apply it.
func (l *lag) prolong(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+l.level)
}
