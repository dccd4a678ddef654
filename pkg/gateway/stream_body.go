package gateway

import (
	"io"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/traffic"
)

// coalesceBytes is the size in bytes at which events that are already available
// are no longer combined into one write.
const coalesceBytes = 4 << 10

// streamBody is the body of a streamed answer to a caller. The HTTP server sends
// the result of each Read immediately.
type streamBody struct {
	attempt *attempt
	pending []byte // part of buffer that Read has not returned yet
	buffer  []byte
	kept    []byte // stream of an unsafe request so far, for its repeats
	ended   bool   // no events follow pending
	failure error  // error that broke the stream
	closed  bool
}

func newStreamBody(a *attempt) *streamBody {
	return &streamBody{attempt: a, buffer: make([]byte, 0, coalesceBytes)}
}

// Read waits for the next event and returns it together with those already
// available.
func (b *streamBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		b.collect()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// collect waits for the next event and sets pending to it and those already
// available.
func (b *streamBody) collect() {
	stream := b.attempt.stream
	b.buffer = b.buffer[:0]
	for {
		event, err := stream.next()
		if err != nil {
			b.end(err)
			break
		}
		b.buffer = append(b.buffer, event...)
		if len(b.buffer) >= coalesceBytes || !stream.ready() {
			break
		}
	}
	b.keep()
	b.pending = b.buffer
}

// end ends the stream for the caller, with an error event if it broke.
func (b *streamBody) end(err error) {
	b.ended = true
	if err == errStreamEnd {
		return
	}
	b.failure = err
	b.buffer = append(b.buffer, errorEvent()...)
}

// errorEvent returns the event that callers receive at the end of a broken stream.
func errorEvent() []byte {
	broken := &APIError{
		Message: "the stream broke off",
		Type:    typeServer,
		Code:    codeStreamBroken,
	}
	return append(append([]byte("data: "), broken.body()...), "\n\n"...)
}

// keep adds the buffer to the kept stream of an unsafe request, until the size
// limit is exceeded.
func (b *streamBody) keep() {
	if b.attempt.call.claim == nil {
		return
	}
	limit := b.attempt.call.gateway.config.Limits.KeptAnswerBytes
	if len(b.kept) <= limit {
		b.kept = append(b.kept, b.buffer...)
	}
}

// Close ends the call. The HTTP server calls it when all is sent or the caller
// hung up.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended && b.attempt.call.request.Unsafe {
		b.attempt.call.gateway.background.Go(b.finishWithoutCaller)
		return nil
	}
	b.finish()
	return nil
}

// finishWithoutCaller reads the rest of an unsafe request's stream after its
// caller hung up, so that a repeat gets the answer.
func (b *streamBody) finishWithoutCaller() {
	for !b.ended {
		b.collect()
	}
	b.finish()
}

// finish ends the attempt and the call and reports their outcome.
func (b *streamBody) finish() {
	a := b.attempt
	a.stream.close()
	outcome := traffic.Outcome{
		Kind:         traffic.OutcomeServed,
		FirstToken:   a.call.firstEvent.Sub(a.call.record.sentAt),
		Tokens:       a.stream.tokens(),
		CachedTokens: a.stream.usage.PromptTokensDetails.CachedTokens,
	}
	var apiError *APIError
	switch {
	case !b.ended || b.failure != nil && a.call.isAnswerUnwanted():
		outcome.Kind = traffic.OutcomeCancelled
		apiError = callerHungUp(false)
		a.abandon()
	case b.failure != nil:
		outcome.Kind = traffic.OutcomeUnknown
		apiError = engineFailed(false, b.failure)
		a.abandon()
	default:
		a.call.completeClaim(keeper.Answer{
			Status:      fiber.StatusOK,
			ContentType: mimeEventStream,
			Body:        b.kept,
		})
	}
	a.done(outcome)
	a.call.record.tokens = outcome.Tokens
	a.call.end(outcome.Kind, apiError)
}

// finishWhole ends an attempt and call whose answer was not streamed.
func (a *attempt) finishWhole() {
	a.done(traffic.Outcome{
		Kind:         traffic.OutcomeServed,
		Tokens:       a.whole.usage.CompletionTokens,
		CachedTokens: a.whole.usage.PromptTokensDetails.CachedTokens,
	})
	a.call.record.tokens = a.whole.usage.CompletionTokens
	a.call.completeClaim(keeper.Answer{
		Status:      fiber.StatusOK,
		ContentType: fiber.MIMEApplicationJSON,
		Body:        a.whole.body.Bytes(),
	})
	a.call.end(traffic.OutcomeServed, nil)
}
