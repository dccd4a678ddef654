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
func scanEvents(b []byte) wholeEvents {
	var found wholeEvents
	var id string
	hasField := false
	for rest := b; len(rest) > 0; {
		line, after, ended := cutLine(rest)
		if !ended {
			break
		}
		rest = after
		if len(line) > 0 {
			hasField = hasField || line[0] != commentMarker
			if value, isID := bytes.CutPrefix(line, idField); isID {
				id = string(bytes.TrimSpace(value))
			}
			continue
		}
		found.size = len(b) - len(rest)
		if hasField {
			found.count++
		}
		if id != "" {
			found.lastID = id
		}
		id, hasField = "", false
	}
	return found
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
