package relay

import (
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/memory"
)

// Limits of what is read of a body after its request was refused. Closing a connection with unread bytes resets it and
// may lose the answer.
const (
	discardTime  = 5 * time.Second        // in all
	discardPause = 500 * time.Millisecond // without any bytes
	discardBytes = 4 << 20                // unless the table has a limit
	discardPiece = 4 << 10
)

// past is a deadline that makes reads return at once.
var past = time.Unix(1, 0)

// readBody reads the whole body within the limit of the table, the request's time and the budget of bodies.
func (c *call) readBody() bool {
	limit := c.table.Limits().BodyBytes
	if limit > 0 && c.http.ContentLength > limit {
		c.refuse(tooLarge)
		return false
	}
	if limit <= 0 {
		limit = math.MaxInt64
	}
	control := http.NewResponseController(c.w)
	c.incoming = memory.NewIncoming(c.relay.Bodies, func() { _ = control.SetReadDeadline(past) }) // fails only if the connection is closed
	end := time.AfterFunc(c.timeLeft(), c.incoming.Interrupt)
	defer end.Stop()
	err := c.incoming.Fill(c.http.Body, c.http.ContentLength, limit)
	c.record.bodyBytes = c.incoming.Len()
	if !end.Stop() || err != nil {
		return c.refuseBody(err)
	}
	c.body, c.bodyEnded = c.incoming.Bytes(), true
	return true
}

// refuseBody refuses a request whose body was not read, for one of the reasons that Incoming.Fill returns, or since the
// request's time is over. Nothing has run.
func (c *call) refuseBody(err error) bool {
	c.releaseBody()
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Time{}) // fails only if the connection is closed
	switch {
	case errors.Is(err, memory.ErrTooLong):
		c.refuse(tooLarge)
	case errors.Is(err, memory.ErrUsedUp):
		c.refuse(c.notServed(reasonMemory, defaultRetryAfter))
	case errors.Is(err, memory.ErrGaveWay) && c.relay.stop.Load() != nil:
		c.refuse(c.notServed(reasonStopping, stopping.after))
	case errors.Is(err, memory.ErrGaveWay):
		c.refuse(c.notServed(reasonStalled, defaultRetryAfter))
	case c.timeLeft() <= 0:
		c.refuse(c.notServed(reasonDeadline, defaultRetryAfter))
	default:
		c.record.setOutcome(outcomeUnread, err)
		panic(http.ErrAbortHandler)
	}
	return false
}

// releaseBody returns the memory of the body.
func (c *call) releaseBody() {
	if c.incoming != nil {
		c.incoming.Release()
		c.body = nil
	}
}

// hasUnread reports whether the caller may still be sending the body.
func (c *call) hasUnread() bool {
	return !c.bodyEnded && c.http.Body != nil && c.http.Body != http.NoBody
}

// answerUnread prepares an answer to a caller that may still be sending its body, and reports whether it may be. The answer
// is sent at once, and the connection ends with it.
func (c *call) answerUnread() bool {
	if !c.hasUnread() {
		return false
	}
	_ = http.NewResponseController(c.w).EnableFullDuplex() // not supported: the server reads a part of the body first
	c.w.Header().Set("Connection", "close")
	return true
}

// discardUnread reads on for a while after a refusal, so that it reaches a caller that sends its whole body first.
func (c *call) discardUnread() {
	if c.record.outcome != outcomeRefused || !c.hasUnread() {
		return
	}
	control := http.NewResponseController(c.w)
	interrupt := func() { _ = control.SetReadDeadline(past) } // fails only if the connection is closed
	defer interrupt()                                         // the HTTP server would go on to read, without a limit of time
	end := time.AfterFunc(discardTime, interrupt)
	defer end.Stop()
	pause := time.AfterFunc(discardPause, interrupt)
	defer pause.Stop()
	left := int64(discardBytes)
	if c.table != nil && c.table.Limits().BodyBytes > 0 {
		left = c.table.Limits().BodyBytes
	}
	for piece := make([]byte, discardPiece); left > 0; {
		n, err := c.http.Body.Read(piece)
		if err != nil || !pause.Reset(discardPause) {
			return
		}
		left -= int64(n)
	}
}

// describeUnread returns the fields about a body that was not read to its end.
func (c *call) describeUnread() []any {
	if c.incoming == nil || c.bodyEnded {
		return nil
	}
	usage := c.relay.Bodies.Usage()
	return []any{"body_bytes", c.record.bodyBytes, "announced_bytes", c.http.ContentLength, "bodies_held", usage.Used, "caller", c.caller()}
}
