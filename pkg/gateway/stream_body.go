package gateway

import (
	"io"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/traffic"
)

// coalesceBytes is how much of a stream is passed on in one write, if that
// much is there, in bytes.
const coalesceBytes = 4 << 10

// streamBody is the body of a streamed answer to a caller. The HTTP server
// reads it and sends each read at once.
type streamBody struct {
	attempt *attempt
	pending []byte // to be read, within buffer
	buffer  []byte
	kept    []byte // of an unsafe request, for its repeats
	over    bool   // nothing follows pending
	failure error  // that broke the stream
	closed  bool
}

func newStreamBody(a *attempt) *streamBody {
	return &streamBody{attempt: a, buffer: make([]byte, 0, coalesceBytes)}
}

// Read waits for the next event and returns it with those that are there too.
func (b *streamBody) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		if b.over {
			return 0, io.EOF
		}
		b.collect()
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// collect fills pending with the next events.
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

// end ends the stream for the caller: in silence after its last event, with
// an error event if it broke.
func (b *streamBody) end(err error) {
	b.over = true
	if err == errStreamOver {
		return
	}
	b.failure = err
	b.buffer = append(b.buffer, errorEvent()...)
}

// errorEvent is what a caller receives in place of the end of a stream.
func errorEvent() []byte {
	broken := &APIError{
		Message: "the stream broke off",
		Type:    typeServer,
		Code:    codeStreamBroken,
	}
	return append(append([]byte("data: "), broken.body()...), "\n\n"...)
}

// keep remembers the stream of an unsafe request while it fits.
func (b *streamBody) keep() {
	if b.attempt.call.claim == nil {
		return
	}
	limit := b.attempt.call.gateway.config.Limits.KeptAnswerBytes
	if len(b.kept) <= limit {
		b.kept = append(b.kept, b.buffer...)
	}
}

// Close ends the call. It comes when the caller has received all, or has left.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.over && b.attempt.call.request.Unsafe {
		b.attempt.call.gateway.background.Go(b.finishAlone)
		return nil
	}
	b.finish()
	return nil
}

// finishAlone reads the rest of an unsafe request's stream, whose caller has
// left, so that its repeat gets the answer.
func (b *streamBody) finishAlone() {
	for !b.over {
		b.collect()
	}
	b.finish()
}

// finish reports the end of the attempt and of the call.
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
	case !b.over || b.failure != nil && a.call.isForNobody():
		outcome.Kind = traffic.OutcomeCancelled
		apiError = callerLeft(false)
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

// finishWhole reports the end of an attempt whose answer was not streamed.
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
		Body:        a.whole.body,
	})
	a.call.end(traffic.OutcomeServed, nil)
}
