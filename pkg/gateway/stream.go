package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/gateway/internal/sse"
	"martenwheel.dev/pkg/gateway/internal/upstream"
)

// Errors of an engine's stream.
var (
	errEngineError   = errors.New("the engine ended the stream with an error")
	errResumeRefused = errors.New("the engine refused to resume the stream")
)

// errStreamEnd is returned after the last event of a complete stream.
var errStreamEnd = io.EOF

// endTimeout is the timeout for the end of an answer's body after its last event.
const endTimeout = time.Second

// usageMarker occurs in events that carry token counts.
var usageMarker = []byte(`"usage":{`)

// eventStream reads the events of one request's stream and checks that they
// belong to this request. When the connection breaks, it resumes the stream; when
// the engine is leaving, it may move the stream to another replica.
type eventStream struct {
	attempt *attempt
	answer  *upstream.Answer
	reader  *sse.Reader
	first   []byte // events up to the first with data, read before the caller gets anything
	prefix  []byte // common start of the stream's events, which allows checking them without JSON decoding
	events  int    // events with data received so far; a resumption continues after them
	resumes int    // resume attempts so far
	moves   moveState
	usage   usage
	ended   bool // the final event was received
}

// newEventStream returns the stream that is the body of answer.
func (a *attempt) newEventStream(answer *upstream.Answer) *eventStream {
	return &eventStream{
		attempt: a,
		answer:  answer,
		reader:  sse.NewReader(answer, a.call.gateway.config.Limits.EventBytes),
	}
}

// readFirst reads up to the first event with data, until deadline. What comes before it may take as much as an event.
func (s *eventStream) readFirst(deadline time.Time) error {
	s.answer.SetReadDeadline(deadline)
	limit := 2 * s.attempt.call.gateway.config.Limits.EventBytes
	for s.events == 0 && !s.ended {
		event, err := s.nextFromConnection()
		if err != nil {
			return err
		}
		if len(s.first)+len(event) > limit {
			return sse.ErrEventTooLarge
		}
		s.first = append(s.first, event...)
	}
	s.answer.SetReadDeadline(time.Time{})
	s.attempt.call.firstEvent = s.attempt.call.gateway.config.Now()
	return nil
}

// next returns the next event, which is valid until the next call. After the
// last event it returns errStreamEnd. Any other error means that the stream
// broke and could not be resumed.
func (s *eventStream) next() ([]byte, error) {
	if len(s.first) > 0 {
		event := s.first
		s.first = nil
		return event, nil
	}
	for {
		if s.shouldMove() {
			if err := s.move(); err != nil {
				return nil, err
			}
		}
		event, err := s.nextFromConnection()
		if err == nil || s.ended {
			return event, err
		}
		if resumeErr := s.resume(err); resumeErr != nil {
			return nil, resumeErr
		}
	}
}

// ready reports whether next returns without waiting for the engine.
func (s *eventStream) ready() bool {
	return len(s.first) > 0 || s.ended || s.reader.HasEvent() || s.answer.ChunkBuffered()
}

// nextFromConnection returns the next event from the current connection, without
// resuming or moving the stream.
func (s *eventStream) nextFromConnection() ([]byte, error) {
	if s.ended {
		return nil, errStreamEnd
	}
	event, err := s.reader.Next()
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return event, s.check(event)
}

// check verifies that event belongs to the stream and counts it.
func (s *eventStream) check(event []byte) error {
	data, hasData := sse.Data(event)
	if !hasData {
		return nil
	}
	if string(data) == sse.Done {
		s.ended = true
		return nil
	}
	if s.prefix == nil || !bytes.HasPrefix(data, s.prefix) || data[len(data)-1] != '}' || bytes.Contains(data, usageMarker) {
		if err := s.checkFields(data); err != nil {
			return err
		}
	}
	s.events++
	return nil
}

// checkFields decodes the data of an event and checks its fields.
func (s *eventStream) checkFields(data []byte) error {
	var fields answerFields
	if json.Unmarshal(data, &fields) != nil {
		return errNotJSON
	}
	if fields.Error != nil {
		return errors.Wrap(errEngineError, fields.Error.Message)
	}
	if !belongsTo(fields.ID, s.attempt.engineID) {
		return errOtherAnswer
	}
	if fields.Usage != nil {
		s.usage = *fields.Usage
	}
	if s.prefix == nil {
		s.prefix = idPrefix(data, fields.ID)
	}
	return nil
}

// idPrefix returns a copy of data up to the end of its id, or nil if the id is
// not the first field.
func idPrefix(data []byte, id string) []byte {
	before, _, found := bytes.Cut(data, []byte(`"`+id+`"`))
	if !found || string(bytes.ReplaceAll(before, []byte(" "), nil)) != `{"id":` {
		return nil
	}
	return bytes.Clone(data[:len(before)+len(id)+len(`""`)])
}

// resume continues the stream on a new connection to the same engine. The
// request is not run again: the engine sends the remaining events or refuses.
func (s *eventStream) resume(cause error) error {
	s.answer.Close(false)
	for s.isResumable(cause) && s.attempt.waitToResume(s.resumes) {
		s.resumes++
		answer, err := s.attempt.send(s.events, s.attempt.call.gateway.stallDeadline())
		if err != nil {
			continue // the engine may be reachable again at the next attempt
		}
		status := answer.Response.StatusCode()
		if s.attempt.checkHeader(answer) == nil {
			s.answer = answer
			s.reader.Reset(answer)
			return nil
		}
		if status != fasthttp.StatusOK {
			return errResumeRefused
		}
	}
	return cause
}

// isResumable reports whether a stream that failed with cause may be resumed. If
// the engine ended it with an error there is nothing left, unless an export with
// unknown outcome may have stopped it.
func (s *eventStream) isResumable(cause error) bool {
	return s.moves.exportUnknown || !errors.Is(cause, errEngineError)
}

// stallDeadline returns the deadline for an engine's answer to a request to resume
// a stream.
func (g *Gateway) stallDeadline() time.Time {
	return g.config.Now().Add(g.config.Timeouts.EngineStall)
}

// tokens returns the engine's token count, or the number of events if the engine
// sent none.
func (s *eventStream) tokens() int {
	if s.usage.CompletionTokens > 0 {
		return s.usage.CompletionTokens
	}
	return s.events
}

// close stops reading. The connection of a complete stream is reused.
func (s *eventStream) close() {
	if !s.ended {
		s.answer.Close(false)
		return
	}
	if s.answer.EndBuffered() {
		s.readEnd()
		return
	}
	s.attempt.call.gateway.background.Go(s.readEnd)
}

// readEnd reads the end of the answer's body after the last event, so that the
// connection can be reused.
func (s *eventStream) readEnd() {
	var rest [1]byte
	s.answer.SetReadDeadline(time.Now().Add(endTimeout))
	_, err := s.answer.Read(rest[:])
	s.answer.Close(err == io.EOF)
}
