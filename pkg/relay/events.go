package relay

import "bytes"

// Parts of a line of a stream of events.
var (
	idField       = []byte("id:")
	commentMarker = byte(':')
)

// wholeEvents describes the complete events at the start of a piece of a stream.
type wholeEvents struct {
	size   int    // bytes up to the end of the last one
	count  int    // without blocks that contain nothing but comments
	lastID string // ID of the last one that has an ID
}

// scanEvents finds the complete events at the start of b. As in the standard of server-sent events,
// a line ends with CR LF, LF or CR, and an event with an empty line.
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
		rest = after
		s.read = len(b) - len(rest)
		if len(line) > 0 {
			s.addLine(line)
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

// addLine reads a line of an event.
func (s *eventScanner) addLine(line []byte) {
	s.hasField = s.hasField || line[0] != commentMarker
	if value, isID := bytes.CutPrefix(line, idField); isID {
		s.id = string(bytes.TrimSpace(value))
	}
}

// cutLine returns the first line of b without its end, and what follows. A CR at the end of b ends
// the line; an LF that arrives after it is then read as an empty line, which changes no event.
func cutLine(b []byte) (line, after []byte, ended bool) {
	newline := bytes.IndexByte(b, '\n')
	line = b
	if newline >= 0 {
		line = b[:newline]
	}
	cr := bytes.IndexByte(line, '\r')
	switch {
	case cr < 0 && newline < 0:
		return b, nil, false
	case cr < 0:
		return line, b[newline+1:], true
	case cr+1 == newline:
		return line[:cr], b[newline+1:], true
	default:
		return line[:cr], b[cr+1:], true
	}
}

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
