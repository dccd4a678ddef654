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

// Faults of an engine's stream.
var (
	errEngineError   = errors.New("the engine ended the stream with an error")
	errResumeRefused = errors.New("the engine does not resume the stream")
)

// errStreamOver follows the last event of a complete stream.
var errStreamOver = io.EOF

// endTimeout bounds the wait for the end of an answer after its last event.
const endTimeout = time.Second

// usageMark is found in an event that counts tokens.
var usageMark = []byte(`"usage":{`)

// eventStream reads the events of one request's stream, checks that they are
// this request's, and resumes at the engine when its connection breaks.
type eventStream struct {
	attempt *attempt
	answer  *upstream.Answer
	reader  *sse.Reader
	first   []byte // up to the first event with data, read before the caller gets any byte
	prefix  []byte // what events of this stream start with, to check them fast
	events  int    // received, which a resumption goes on from
	resumes int
	moves   moves
	usage   usage
	over    bool // the event that ends the stream came
}

// newEventStream returns the stream in the body of answer.
func (a *attempt) newEventStream(answer *upstream.Answer) *eventStream {
	return &eventStream{
		attempt: a,
		answer:  answer,
		reader:  sse.NewReader(answer, a.call.gateway.config.Limits.EventBytes),
	}
}

// readFirst waits for the first event with data until deadline.
func (s *eventStream) readFirst(deadline time.Time) error {
	s.answer.ReadBy(deadline)
	for s.events == 0 && !s.over {
		event, err := s.nextUnbroken()
		if err != nil {
			return err
		}
		s.first = append(s.first, event...)
	}
	s.answer.ReadBy(time.Time{})
	s.attempt.call.firstEvent = s.attempt.call.gateway.config.Now()
	return nil
}

// next returns the next event, valid until the next call. After the last one
// it returns errStreamOver. Any other error means that the stream is broken
// for good.
func (s *eventStream) next() ([]byte, error) {
	if len(s.first) > 0 {
		event := s.first
		s.first = nil
		return event, nil
	}
	for {
		if s.mustMove() {
			if err := s.move(); err != nil {
				return nil, err
			}
		}
		event, err := s.nextUnbroken()
		if err == nil || s.over {
			return event, err
		}
		if resumeErr := s.resume(err); resumeErr != nil {
			return nil, resumeErr
		}
	}
}

// ready tells whether next returns without waiting for the engine.
func (s *eventStream) ready() bool {
	return len(s.first) > 0 || s.over || s.reader.HasEvent() || s.answer.ChunkBuffered()
}

// nextUnbroken returns the next event of the current connection.
func (s *eventStream) nextUnbroken() ([]byte, error) {
	if s.over {
		return nil, errStreamOver
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

// check checks that event belongs to the stream, and counts it.
func (s *eventStream) check(event []byte) error {
	data, hasData := sse.Data(event)
	if !hasData {
		return nil
	}
	if string(data) == sse.Done {
		s.over = true
		return nil
	}
	if s.prefix == nil || !bytes.HasPrefix(data, s.prefix) || data[len(data)-1] != '}' || bytes.Contains(data, usageMark) {
		if err := s.checkFields(data); err != nil {
			return err
		}
	}
	s.events++
	return nil
}

// checkFields checks an event by its decoded fields.
func (s *eventStream) checkFields(data []byte) error {
	var fields answerFields
	if json.Unmarshal(data, &fields) != nil {
		return errNotJSON
	}
	if fields.Error != nil {
		return errors.Wrap(errEngineError, fields.Error.Message)
	}
	if !belongsTo(fields.ID, s.attempt.engineID) {
		return errCrossedAnswer
	}
	if fields.Usage != nil {
		s.usage = *fields.Usage
	}
	if s.prefix == nil {
		s.prefix = idPrefix(data, fields.ID)
	}
	return nil
}

// idPrefix returns a copy of data up to the end of its id, if the id is its
// first field, else nil.
func idPrefix(data []byte, id string) []byte {
	before, _, found := bytes.Cut(data, []byte(`"`+id+`"`))
	if !found || string(bytes.ReplaceAll(before, []byte(" "), nil)) != `{"id":` {
		return nil
	}
	return bytes.Clone(data[:len(before)+len(id)+len(`""`)])
}

// resume goes on with the stream on a new connection to the same engine. This
// is no repeat of the request: the engine sends what is left of it, or refuses.
func (s *eventStream) resume(cause error) error {
	s.answer.Close(false)
	for s.mayBeResumed(cause) && s.attempt.mayResume(s.resumes) {
		s.resumes++
		answer, err := s.attempt.send(s.events, s.attempt.call.gateway.stallDeadline())
		if err != nil {
			continue // the engine may be back for the next one
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

// mayBeResumed tells whether the engine may send more of a stream that broke by
// cause. A stream that the engine itself ended is over, unless it was stopped for
// a move.
func (s *eventStream) mayBeResumed(cause error) bool {
	return s.moves.inDoubt || !errors.Is(cause, errEngineError)
}

// stallDeadline is the time by which an engine that was asked for the rest of a
// stream must answer.
func (g *Gateway) stallDeadline() time.Time {
	return g.config.Now().Add(g.config.Timeouts.EngineStall)
}

// tokens returns the number of tokens that the engine counted, or that of the
// events so far.
func (s *eventStream) tokens() int {
	if s.usage.CompletionTokens > 0 {
		return s.usage.CompletionTokens
	}
	return s.events
}

// close ends the reading. A stream that came to its end gives its connection
// back.
func (s *eventStream) close() {
	if !s.over {
		s.answer.Close(false)
		return
	}
	if s.answer.EndBuffered() {
		s.readEnd()
		return
	}
	s.attempt.call.gateway.background.Go(s.readEnd)
}

// readEnd reads the end of the answer, which follows the stream's last event.
func (s *eventStream) readEnd() {
	var rest [1]byte
	s.answer.ReadBy(time.Now().Add(endTimeout))
	_, err := s.answer.Read(rest[:])
	s.answer.Close(err == io.EOF)
}
