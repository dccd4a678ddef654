package relay

import "bytes"

// Parts of a line of a stream of events.
var (
	idField       = []byte("id:")
	commentMarker = byte(':')
)

// maxEventIDBytes limits an event's ID, which goes into a header of the request that continues the stream. No caller may send a
// head of that size.
const maxEventIDBytes = 16 << 10

// wholeEvents describes the complete events at the start of a piece of a stream.
type wholeEvents struct {
	size   int    // bytes up to the end of the last one
	count  int    // without blocks that contain nothing but comments
	lastID string // ID of the last one that has an ID
}

// scanEvents finds the complete events at the start of b. As in the standard of server-sent events,
// a line ends with CR LF, LF or CR, and an event with an empty line. An event with too long an ID is never
// complete: without its ID, the stream could not be continued after it.
func scanEvents(b []byte) wholeEvents { return new(eventScanner).scan(b) }

// eventScanner finds complete events in a stream whose pieces are kept until an event is complete. It reads each line
// once, however many an event has.
type eventScanner struct {
	read     int // bytes of the kept part that were read, up to the end of a line
	id       string
	hasField bool // the incomplete event has more than comments
}

// scan finds the complete events at the start of b, which is what was kept since the last complete event and what has
// arrived since. The caller removes the complete events before the next call.
func (s *eventScanner) scan(b []byte) wholeEvents {
	var found wholeEvents
	for rest := b[s.read:]; len(rest) > 0; {
		line, after, ended := cutLine(rest)
		if !ended || len(line) > 0 && len(after) == 0 && rest[len(rest)-1] == '\r' { // an LF may follow the CR
			break
		}
		if len(line) > 0 && !s.addLine(line) {
			break
		}
		rest = after
		s.read = len(b) - len(rest)
		if len(line) > 0 {
			continue
		}
		found.size = s.read
		if s.hasField {
			found.count++
		}
		if s.id != "" {
			found.lastID = s.id
		}
		s.id, s.hasField = "", false
	}
	s.read -= found.size
	return found
}

// addLine reads a line of an event. It returns false if the line has too long an ID.
func (s *eventScanner) addLine(line []byte) bool {
	s.hasField = s.hasField || line[0] != commentMarker
	value, isID := bytes.CutPrefix(line, idField)
	if !isID {
		return true
	}
	value = bytes.TrimSpace(value)
	if len(value) > maxEventIDBytes {
		return false
	}
	s.id = string(value)
	return true
}

// cutLine returns the first line of b without its end, and what follows. A CR at the end of b ends
// the line; an LF that arrives after it is then read as an empty line, which changes no event.
func cutLine(b []byte) (line, after []byte, ended bool) {
	end := lineEnd(b)
	switch {
	case end < 0:
		return b, nil, false
	case b[end] == '\r' && end+1 < len(b) && b[end+1] == '\n':
		return b[:end], b[end+2:], true
	default:
		return b[:end], b[end+1:], true
	}
}

// lineEnd returns where the first line of b ends, -1 if it does not. It looks at little more than that line, as either
// mark may be missing in all that follows.
func lineEnd(b []byte) int {
	for size := firstWindow; ; size *= 2 {
		window := b[:min(size, len(b))]
		newline := bytes.IndexByte(window, '\n')
		if newline >= 0 {
			window = window[:newline]
		}
		if cr := bytes.IndexByte(window, '\r'); cr >= 0 {
			return cr
		}
		if newline >= 0 || size >= len(b) {
			return newline
		}
	}
}

// firstWindow is the number of bytes in which the end of a line is sought first.
const firstWindow = 128

// isWithinEvent reports whether rest, which follows the last complete event of a stream, begins
// another one. Whole lines of comments belong to no event.
func isWithinEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, after, ended := cutLine(rest)
		if !ended || len(line) > 0 && line[0] != commentMarker {
			return true
		}
		rest = after
	}
	return false
}
