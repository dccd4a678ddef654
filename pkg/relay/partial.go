package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
)

// relayPartially passes an answer that can't be held on as it arrives, beginning with the part that was read. The request
// can't be retried then. Until the end of the answer nothing looks as if it were complete.
func (c *call) relayPartially(ctx context.Context, r *run, first []byte) (attemptResult, error) {
	c.passedOn = true
	c.dropHedge()
	c.disarmSilence()
	c.sendPartialHead(r)
	_, err := c.w.Write(first)
	c.record.bytes += len(first)
	r.releaseHeld()
	for err == nil {
		u, nextErr := c.next(ctx, r)
		if nextErr != nil {
			return mayHaveRun, nextErr
		}
		if c.record.bytes += len(u.data); c.record.bytes > maxAnswerBytes {
			return mayHaveRun, errAnswerTooLong
		}
		_, err = c.w.Write(u.data)
		switch {
		case err != nil:
		case u.err == io.EOF:
			c.streamIsComplete()
			return served, nil
		case u.err != nil:
			return readFailed(ctx, u.err)
		}
	}
	return aborted, err
}

// sendPartialHead sends the head of an answer whose content follows as it arrives.
func (c *call) sendPartialHead(r *run) {
	a := r.answer
	c.sendHead(a)
	if a.Length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	} else {
		c.resetUnlessComplete()
	}
	c.w.WriteHeader(a.Status)
	_ = http.NewResponseController(c.w).Flush()
	c.record.firstByte = c.relay.Time.Since(c.arrived)
}
