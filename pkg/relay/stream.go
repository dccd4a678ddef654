package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
)

// Limits of streams.
const (
	streamReadBytes = 4 << 10
	maxEventBytes   = 1 << 20
	leastGap        = 900 * time.Millisecond
	gapFactor       = 3
	// leaveMargin is how long before a server is gone its streams move.
	leaveMargin = 500 * time.Millisecond
)

// Faults of a stream.
var (
	errMoved    = errors.New("relay: the server is about to be gone")
	errTooLong  = errors.New("relay: an event is too long")
	eventEnd    = []byte("\n\n")
	eventID     = []byte("id:")
	errNotWhole = errors.New("relay: the stream ended within an event")
)

// passStream passes events on as they come, whole ones only, until the stream
// ends. What went out before a break is kept: the next server goes on after it.
func (c *call) passStream(ctx context.Context, m *backend.Member, a *backend.Answer, impatience *time.Timer) (verdict, error) {
	ride := c.board(m)
	defer c.alight(ride)
	buffer := make([]byte, streamReadBytes)
	var pending []byte
	for {
		ride.look()
		if !ride.isMoving() && c.mustMove(m) {
			return mayRun, errMoved
		}
		c.boundGap(a, m)
		n, err := a.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if cut := bytes.LastIndex(pending, eventEnd); cut >= 0 {
			if impatience != nil {
				impatience.Stop()
			}
			cut += len(eventEnd)
			c.answers()
			if !c.sendEvents(a, pending[:cut]) {
				return gone, errors.New("the caller can't be written to")
			}
			if c.lastEvent != "" {
				ride.progress(c.relay.Time.Now(), bytes.Count(pending[:cut], eventEnd))
			}
			pending = append(pending[:0], pending[cut:]...)
		}
		switch {
		case err == io.EOF && !ride.endsByMove(a):
			return c.endStream(a, pending)
		case err != nil && ctx.Err() != nil:
			return gone, context.Cause(ctx)
		case err != nil:
			return c.brokeOff(ctx, ride, err)
		case len(pending) > maxEventBytes:
			return mayRun, errTooLong
		}
	}
}

// boundGap ends a read that takes too long when the stream could go on
// elsewhere.
func (c *call) boundGap(a *backend.Answer, m *backend.Member) {
	if !c.headSent || !c.mayRunAgain() || !c.hasOther(m) {
		a.ReadUnbounded()
		return
	}
	a.ReadWithin(max(leastGap, gapFactor*c.route.GapTarget))
}

// mustMove tells whether the server will be gone before the stream is likely to
// end, and another one can go on with it.
func (c *call) mustMove(m *backend.Member) bool {
	if !c.mayRunAgain() {
		return false
	}
	current := c.relay.Servers.Snapshot().Member(m.ID)
	if current == nil || current.LeaveAt.IsZero() || c.relay.Time.Until(current.LeaveAt) > leaveMargin {
		return false
	}
	return c.hasOther(m)
}

// sendEvents passes whole events on and remembers the last one's id.
func (c *call) sendEvents(a *backend.Answer, events []byte) bool {
	if !c.headSent {
		c.sendHead(a)
		c.w.WriteHeader(a.Status)
		c.record.firstByte = c.relay.Time.Since(c.arrived)
	}
	if _, err := c.w.Write(events); err != nil {
		return false
	}
	_ = http.NewResponseController(c.w).Flush()
	c.record.sent(c.relay.Time.Now(), len(events), bytes.Count(events, eventEnd))
	if id := lastEventID(events); id != "" {
		c.lastEvent = id
	}
	return true
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	last := ""
	for line := range bytes.Lines(events) {
		if rest, found := bytes.CutPrefix(line, eventID); found {
			last = string(bytes.TrimSpace(rest))
		}
	}
	return last
}

// endStream ends the answer of a stream that came to its end. What follows the
// last event belongs to the server's body.
func (c *call) endStream(a *backend.Answer, rest []byte) (verdict, error) {
	if len(rest) > 0 && !c.sendEvents(a, rest) {
		return gone, errNotWhole
	}
	if !c.headSent {
		c.sendHead(a)
		c.w.WriteHeader(a.Status)
	}
	return served, nil
}
