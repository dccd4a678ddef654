package membership

import "time"

// lag measures how far this node is behind its schedule. A node that is short of processor time finds the
// answers of others late in its own queues, and must not take the delay for silence.
type lag struct {
	level  int // 0 to MaxLag
	inTime int // ticks in time in a row
}

// tick updates the lag by the time between two ticks.
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

// extend returns a timeout extended by the current lag.
func (l *lag) extend(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+l.level)
}
