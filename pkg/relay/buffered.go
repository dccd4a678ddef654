package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
)

// maxAnswerBytes limits an answer that is no stream.
const maxAnswerBytes = 4 << 20

var errAnswerTooLong = errors.New("relay: the answer is too long")

// relayBuffered reads an answer to its end and passes it on unchanged. Nothing is sent before the answer is complete, so
// that the request may be retried if it breaks off, unless there is no memory to hold it.
func (c *call) relayBuffered(ctx context.Context, r *run) (attemptResult, error) {
	u, err := c.next(ctx, r)
	a, body := r.answer, u.data
	switch {
	case err != nil:
		return mayHaveRun, err
	case u.err != nil && u.err != io.EOF:
		return readFailed(ctx, u.err)
	}
	if u.err == io.EOF && a.Status < http.StatusMultipleChoices { // others may come without work
		c.relay.durations.record(c.durationKey(), c.relay.Time.Since(r.try.started))
	}
	switch {
	case c.mayRetryFailure(a.Status):
		return failedAnswer, errors.Errorf("status %d", a.Status)
	case u.err == nil:
		return c.relayPartially(ctx, r, body)
	}
	c.sendHead(a)
	if c.http.Method != http.MethodHead {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	c.w.WriteHeader(a.Status)
	c.record.firstByte = c.relay.Time.Since(c.arrived)
	if _, err := c.w.Write(body); err != nil {
		return aborted, err
	}
	c.record.bytes += len(body)
	return served, nil
}

// readFailed returns the result of an attempt in which reading the answer failed.
func readFailed(ctx context.Context, err error) (attemptResult, error) {
	if ctx.Err() != nil {
		return aborted, context.Cause(ctx)
	}
	return mayHaveRun, err
}

// mayRetryFailure reports whether to retry a server's failure elsewhere rather than pass it on.
func (c *call) mayRetryFailure(status int) bool {
	return status >= http.StatusInternalServerError && (c.hedge != nil || c.mayRunAgain()) && c.timeLeft() > minRetryTime &&
		!c.stopForbidsRetry()
}

// stopForbidsRetry reports whether a planned stop leaves no time for the request at another server.
func (c *call) stopForbidsRetry() bool {
	return c.hedge == nil && (c.relay.stopped(c.route.Kind, false) || c.stopTooNear(0))
}

// mayRunAgain reports whether the request may go to another server.
func (c *call) mayRunAgain() bool {
	return c.continuable() && c.runs < max(c.route.MaxAttempts, 1)
}

// minRetryTime is the minimum remaining time for a retry.
const minRetryTime = 30 * time.Millisecond

// sendHead copies the head of a server's answer.
func (c *call) sendHead(a *backend.Answer) {
	h := c.w.Header()
	dropped := connectionHeaders(a.Header)
	for name, values := range a.Header {
		if !hopByHop[name] && !dropped[name] {
			h[name] = values
		}
	}
	if _, set := a.Header["Content-Type"]; !set {
		h["Content-Type"] = nil // prevents guessing
	}
	if _, set := a.Header["Date"]; !set {
		h["Date"] = nil
	}
	c.announceStop()
	c.headSent = true
}
