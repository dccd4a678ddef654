package lease

import (
	"context"
	"time"

	"martenwheel.dev/pkg/clock"
)

// commit is a wish to write intents.
type commit struct {
	intents []Intent
	result  chan error
	started time.Time
}

// Permit allows the orders whose intents were written.
type Permit struct {
	Term    uint64
	Until   time.Time
	Offline bool // the intents are not in the store's record yet

	time clock.Clock
}

// Valid tells whether orders may still be given by the permit.
func (p Permit) Valid() bool { return p.time.Now().Before(p.Until) }

// Commit writes intents and returns the permit for their orders. A holder that goes on
// without the store notes them, to be written later.
func (l *Lease) Commit(ctx context.Context, intents []Intent) (Permit, error) {
	l.init()
	if permit, offline := l.commitOffline(intents); offline {
		return permit, nil
	}
	c := &commit{intents: intents, result: make(chan error, 1)}
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

// serveCommits writes the intents of all that wait in one write.
func (l *Lease) serveCommits(ctx context.Context, first *commit) {
	waiting := []*commit{first}
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
