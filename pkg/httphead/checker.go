// Package httphead reads the heads of HTTP/1.x answers strictly.
//
// The libraries that parse answers are lenient, each in its own way: what one takes for the length of a body is an unknown
// field to the next. A head that leaves any doubt is no head, so that no library has to guess.
package httphead

import (
	"bytes"

	"github.com/pkg/errors"
)

// Errors of heads, see RFC 9112, sections 4 and 5, and RFC 9110, section 15.
var (
	errStatusLine = errors.New("httphead: malformed status line")
	errStatus     = errors.New("httphead: status outside of 100 to 599")
	errName       = errors.New("httphead: malformed name of a field")
	errValue      = errors.New("httphead: control byte in the value of a field")
	errEncoding   = errors.New("httphead: Transfer-Encoding in HTTP/1.0") // the framing is faulty, see RFC 9112, section 6.1
	errLineLength = errors.New("httphead: line too long")
)

// Status codes of RFC 9110.
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// maxLineBytes limits a line. Readers limit the whole head.
const maxLineBytes = 64 << 10

// Checker checks heads of answers as they arrive. Its zero value awaits one.
type Checker struct {
	line       []byte // what has arrived of the current line
	began      bool   // the status line was read
	interim    bool   // the status is an informational one
	oldVersion bool   // HTTP/1.0
	ended      bool   // the head of a final answer was read
	err        error  // why this is no head; nil: nothing shows that so far
}

// Reset makes the checker await the head of an answer to a new request.
func (c *Checker) Reset() { *c = Checker{line: c.line[:0]} }

// Check checks the next bytes of a connection. It ignores those behind the head of a final answer, and expects another head
// behind that of an informational one. Once it has returned an error, it goes on to do so until Reset.
func (c *Checker) Check(p []byte) error {
	for len(p) > 0 && !c.ended && c.err == nil {
		line, rest, whole := bytes.Cut(p, []byte{'\n'})
		p = rest
		if len(c.line)+len(line) > maxLineBytes {
			c.err = errLineLength
			break
		}
		c.line = append(c.line, line...)
		if whole {
			c.err = c.endLine(bytes.TrimSuffix(c.line, []byte{'\r'}))
			c.line = c.line[:0]
		}
	}
	return c.err
}

// endLine checks a line without its end.
func (c *Checker) endLine(line []byte) error {
	switch {
	case !c.began:
		return c.startHead(line)
	case len(line) == 0:
		c.ended, c.began = !c.interim, false
		return nil
	}
	return c.checkField(line)
}

// checkField checks a line of a header. A line that begins with a blank or a tab is refused, though it may continue the one
// before in the obsolete way: a gateway may refuse it (RFC 9112, section 5.2), and it looks like a field of its own.
func (c *Checker) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found || !IsToken(name):
		return errName
	case !isText(value):
		return errValue
	case c.oldVersion && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		return errEncoding
	}
	return nil
}

// IsToken reports whether a text is a token, as the name of a field has to be.
func IsToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(text) > 0
}

// isTokenByte tells which bytes a token consists of (RFC 9110, section 5.6.2).
var isTokenByte = tokenBytes()

func tokenBytes() (is [256]bool) {
	for b := '0'; b <= 'z'; b++ {
		is[b] = b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b
	}
	for _, b := range "!#$%&'*+-.^_`|~" {
		is[b] = true
	}
	return is
}

// startHead checks a status line.
func (c *Checker) startHead(line []byte) error {
	const version, blank = "HTTP/1.", ' '
	const codeAt, textAt = len(version) + 2, len(version) + 5
	if len(line) < textAt || string(line[:len(version)]) != version || !isDigit(line[len(version)]) || line[codeAt-1] != blank ||
		len(line) > textAt && line[textAt] != blank || !isText(line[textAt:]) {
		return errStatusLine
	}
	status := 0
	for _, digit := range line[codeAt:textAt] {
		if !isDigit(digit) {
			return errStatusLine
		}
		status = 10*status + int(digit-'0')
	}
	if status < minStatus || status > maxStatus {
		return errStatus
	}
	c.began, c.interim, c.oldVersion = true, status < minFinalStatus, line[len(version)] == '0'
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether a text has no control bytes but tabs.
func isText(text []byte) bool {
	const del = 0x7f
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}
