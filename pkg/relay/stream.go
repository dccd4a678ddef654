package relay

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/memory"
)

// Limits of streams.
const (
	streamReadBytes = 2 << 10
	maxEventBytes   = 1 << 20
	// leaveMargin is how long before a server is gone its streams are moved.
	leaveMargin = 500 * time.Millisecond
)

// Faults and markers of a stream.
var (
	errMoved        = errors.New("relay: the server is about to be gone")
	errEventTooLong = errors.New("relay: an event is too long")
	errPartialEvent = errors.WithMessage(backend.ErrBroken, "relay: the connection closed within the stream")
	errNotWritable  = errors.New("relay: the caller can't be written to")
)

// relayStream passes complete events on as they arrive until the stream ends. After a break, the
// next server continues after the last event sent.
func (c *call) relayStream(ctx context.Context, r *run) (attemptResult, error) {
	a := r.answer
	active := c.registerStream(r)
	r.active = active
	defer c.unregisterStream(active)
	pending := memory.NewGroupBuffer(c.relay.Answers, c.service)
	defer pending.Release()
	var scanner eventScanner
	for {
		active.evacuateIfLeaving()
		if !active.isMoving() && c.mustMove(r.member) && c.reserveRetry(ctx) {
			return mayHaveRun, errMoved
		}
		u, err := c.next(ctx, r)
		if err != nil {
			return mayHaveRun, err
		}
		if !pending.Append(u.data) {
			return mayHaveRun, memory.ErrUsedUp
		}
		if whole := scanner.scan(pending.Bytes()); whole.size > 0 {
			c.progressed(r)
			if !c.sendEvents(a, pending.Bytes()[:whole.size], whole) {
				return aborted, errNotWritable
			}
			if c.lastEvent != "" {
				active.noteProgress(c.relay.Time.Now(), whole.count)
			}
			pending.Discard(whole.size)
			r.try.events += whole.count
		}
		if u.err != nil {
			r.try.streamEnded(a.Framed, pending.Len())
		}
		if u.err == io.EOF && isPartialStream(a, r.try.events, pending.Bytes()) {
			u.err = errPartialEvent
		}
		switch {
		case u.err == io.EOF && !active.mayEndByMove(a):
			return c.endStream(a, pending.Bytes())
		case u.err != nil && ctx.Err() != nil:
			return aborted, context.Cause(ctx)
		case u.err != nil:
			return c.handleBreak(ctx, active, u.err)
		case pending.Len() > maxEventBytes:
			return mayHaveRun, errEventTooLong
		}
	}
}

// progressed records that a run brought events, which will be sent to the caller. A hedge, which would continue after
// earlier ones, ends.
func (c *call) progressed(r *run) {
	c.dropHedge()
	c.answerStarted()
	c.recordSettled(r)
	c.pin(r.member)
	c.watchSilence(r)
}

// isPartialStream reports whether an answer that ended with its connection is only a part of its
// stream: it contains no event, or ends within one. A server that crashes may close its connections in
// order, so that nothing else tells.
func isPartialStream(a *backend.Answer, events int, rest []byte) bool {
	return !a.Framed && isEventStream(a.Header) && (events == 0 || isWithinEvent(rest))
}

// isEventStream reports whether the content of an answer is a stream of events or not named.
func isEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, _ := mime.ParseMediaType(contentType) // parameters do not matter
	return mediaType == "text/event-stream"
}

// mustMove reports whether the server will be gone before the stream is likely to end and another
// server can continue it.
func (c *call) mustMove(m *backend.Member) bool {
	if !c.mayRunAgain() {
		return false
	}
	current := c.relay.Servers.Snapshot().Member(m.ID)
	if current == nil || current.LeaveAt.IsZero() || c.relay.Time.Until(current.LeaveAt) > leaveMargin {
		return false
	}
	return c.hasAlternative(m)
}

// sendEvents passes data of a stream on and remembers the ID of its last complete event.
func (c *call) sendEvents(a *backend.Answer, data []byte, whole wholeEvents) bool {
	if !c.headSent {
		c.sendHead(a)
		c.resetUnlessComplete()
		c.w.WriteHeader(a.Status)
		c.record.firstByte = c.relay.Time.Since(c.arrived)
	}
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	_ = http.NewResponseController(c.w).Flush()
	c.record.eventsSent(c.relay.Time.Now(), len(data), whole.count)
	if whole.lastID != "" {
		c.lastEvent = whole.lastID
	}
	return true
}

// endStream completes the answer of a stream that ended. Data after the last event is part of the
// server's body.
func (c *call) endStream(a *backend.Answer, rest []byte) (attemptResult, error) {
	if len(rest) > 0 && !c.sendEvents(a, rest, wholeEvents{}) {
		return aborted, errNotWritable
	}
	if !c.headSent {
		c.sendHead(a)
		c.w.WriteHeader(a.Status)
	}
	c.streamIsComplete()
	c.noteComplete()
	return served, nil
}
