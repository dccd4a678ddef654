package lease

import (
	"context"
	"time"

	"martenwheel.dev/pkg/clock"
)

// commitRequest asks the goroutine of Run to write intents.
type commitRequest struct {
	intents []Intent
	result  chan error
	started time.Time // start of the write that had the intents
}

// Permit allows the node to give the orders whose intents were written.
type Permit struct {
	Term    uint64
	Until   time.Time
	Offline bool // the intents are not in the stored record yet

	time clock.Clock
}

// Valid reports whether orders may still be given under the permit.
func (p Permit) Valid() bool { return p.time.Now().Before(p.Until) }

// Commit writes intents to the record and returns the permit for their orders. A holder that continues
// offline keeps the intents in memory and writes them once the store answers again.
func (l *Lease) Commit(ctx context.Context, intents []Intent) (Permit, error) {
	l.init()
	if permit, offline := l.commitOffline(intents); offline {
		return permit, nil
	}
	c := &commitRequest{intents: intents, result: make(chan error, 1)}
	select {
	case l.commits <- c:
	case <-ctx.Done():
		return Permit{}, ctx.Err()
	}
	select {
	case err := <-c.result:
		if err != nil {
			return Permit{}, err
		}
		term, held := l.Held()
		if !held {
			return Permit{}, ErrNotHeld
		}
		return Permit{Term: term, Until: c.started.Add(PermitTime), time: l.Time}, nil
	case <-ctx.Done():
		return Permit{}, ctx.Err()
	}
}

// serveCommits writes the intents of all waiting requests in one write.
func (l *Lease) serveCommits(ctx context.Context, first *commitRequest) {
	waiting := []*commitRequest{first}
	for more := true; more; {
		select {
		case c := <-l.commits:
			waiting = append(waiting, c)
		default:
			more = false
		}
	}
	var intents []Intent
	started := l.Time.Now()
	for _, c := range waiting {
		c.started = started
		intents = append(intents, c.intents...)
	}
	err := ErrNotHeld
	if _, held := l.heldTerm(); held {
		err = l.renew(ctx, intents)
	}
	for _, c := range waiting {
		c.result <- err
	}
}
