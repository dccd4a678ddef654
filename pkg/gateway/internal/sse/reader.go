// Package sse reads the server-sent events of OpenAI-style APIs, one complete
// event at a time.
package sse

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Done is the data of the last event of a complete stream.
const Done = "[DONE]"

// initialBuffer is the initial size of a Reader's buffer in bytes.
const initialBuffer = 8 << 10

// ErrEventTooLarge reports that an event exceeds the reader's limit.
var ErrEventTooLarge = errors.New("sse: event too large")

// Reader splits a stream into events. It must not be used concurrently.
type Reader struct {
	source   io.Reader
	buffer   []byte
	start    int   // offset of the first event that was not returned
	scanned  int   // offset up to which no event after start ends
	end      int   // offset of the end of the bytes read
	maxEvent int   // limit of an event in bytes
	err      error // error of the source, returned when no complete event is buffered
}

// NewReader returns a reader for the events of source, each of at most maxEvent
// bytes.
func NewReader(source io.Reader, maxEvent int) *Reader {
	return &Reader{source: source, buffer: make([]byte, initialBuffer), maxEvent: maxEvent}
}

// Reset makes the reader read from source. It discards all buffered bytes.
func (r *Reader) Reset(source io.Reader) {
	r.source = source
	r.start, r.scanned, r.end = 0, 0, 0
	r.err = nil
}

// Next returns the next event including the blank line that ends it. The bytes
// are valid until the next call. The error is io.EOF if the stream ended between
// events, io.ErrUnexpectedEOF if it ended within an event, ErrEventTooLarge, or
// the error of the source.
func (r *Reader) Next() ([]byte, error) {
	for {
		if event := r.buffered(); event != nil {
			if len(event) > r.maxEvent {
				return nil, ErrEventTooLarge
			}
			r.start += len(event)
			r.scanned = r.start
			return event, nil
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if r.end-r.start > r.maxEvent {
			return nil, ErrEventTooLarge
		}
		r.fill()
	}
}

// HasEvent reports whether Next returns an event without reading from the source.
func (r *Reader) HasEvent() bool {
	return r.buffered() != nil
}

// buffered returns the first complete event in the buffer, or nil.
func (r *Reader) buffered() []byte {
	for {
		newline := bytes.IndexByte(r.buffer[r.scanned:r.end], '\n')
		if newline < 0 {
			r.scanned = r.end
			return nil
		}
		position := r.scanned + newline
		if r.endsBlankLine(position) {
			return r.buffer[r.start : position+1]
		}
		r.scanned = position + 1
	}
}

// endsBlankLine reports whether the newline at position ends an empty line.
func (r *Reader) endsBlankLine(position int) bool {
	before := position - 1
	if before >= r.start && r.buffer[before] == '\r' {
		before--
	}
	return before >= r.start && r.buffer[before] == '\n'
}

// fill reads from the source once, after freeing buffer space if necessary.
func (r *Reader) fill() {
	if r.start == r.end {
		r.start, r.scanned, r.end = 0, 0, 0
	}
	if r.end == len(r.buffer) {
		r.growBuffer()
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
}

// growBuffer moves the unread bytes to the front of the buffer, or doubles a full
// buffer.
func (r *Reader) growBuffer() {
	target := r.buffer
	if r.start == 0 {
		target = make([]byte, 2*len(r.buffer))
	}
	copy(target, r.buffer[r.start:r.end])
	r.buffer = target
	r.end -= r.start
	r.scanned -= r.start
	r.start = 0
}

// endError returns the error of the source, as io.ErrUnexpectedEOF if it ended
// within an event.
func (r *Reader) endError() error {
	if r.err == io.EOF && r.end > r.start {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// Data returns the data of an event, or false if it has none. For several data
// lines, which no OpenAI-style API sends, it returns empty data.
func Data(event []byte) ([]byte, bool) {
	var data []byte
	found := false
	for len(event) > 0 {
		line := event
		if newline := bytes.IndexByte(event, '\n'); newline >= 0 {
			line = event[:newline]
			event = event[newline+1:]
		} else {
			event = nil
		}
		if payload, isData := bytes.CutPrefix(line, []byte("data:")); isData {
			if found {
				return nil, true
			}
			data = bytes.TrimSpace(payload)
			found = true
		}
	}
	return data, found
}
