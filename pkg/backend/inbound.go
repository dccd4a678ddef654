package backend

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/httphead"
)

const (
	// maxHeadBytes limits the head of a response, with the buffer that reads ahead of it.
	maxHeadBytes = 16 << 10
	// maxHeadLines limits the lines of a head, each of which takes some hundred bytes of memory however short it is.
	maxHeadLines = 256
	// maxForeignBytes limits the bodies of responses to other requests that are skipped before a response.
	maxForeignBytes = 4 << 20
)

var (
	errHeadTooLong    = errors.New("backend: the head of a response is too long")
	errForeignTooLong = errors.New("backend: a response to another request is too long")
)

var lineEnd = []byte{'\n'}

// unlimited is the headLeft of an inbound that reads no head.
const unlimited = -1

// inbound is what a server sends on a connection. Its reader is the connection's read loop or, within a body, whoever
// reads that; received may be read at any time.
type inbound struct {
	from     net.Conn
	onData   func()       // called when something arrived
	err      error        // with which from ended; nil: it lives
	received atomic.Int64 // bytes since the current exchange began
	headLeft int          // bytes that the current head may still take; unlimited: none is read
	lines    int          // that the current head has brought
	head     httphead.Checker
}

// Read implements io.Reader. It returns errHeadTooLong once a head has taken all that it may, and an error of package httphead
// in place of what makes it no head.
func (in *inbound) Read(p []byte) (int, error) {
	if in.headLeft == 0 || in.lines > maxHeadLines {
		return 0, errHeadTooLong
	}
	if in.headLeft > 0 {
		p = p[:min(len(p), in.headLeft)]
	}
	n, err := in.from.Read(p)
	if n > 0 {
		in.onData()
	}
	in.err = err
	in.received.Add(int64(n))
	if in.headLeft > 0 {
		in.headLeft -= n
		in.lines += bytes.Count(p[:n], lineEnd) // too many if the body begins here, but then the head is not read on
		if headErr := in.head.Check(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// startHead begins to check the next head, of which a part may have been read already, and to count what it takes.
func (in *inbound) startHead(read []byte) error {
	in.headLeft = maxHeadBytes
	in.head.Reset()
	return in.head.Check(read)
}

// endHead ends the limit at the end of a head. It returns errHeadTooLong if the head has too many lines.
func (in *inbound) endHead(h http.Header) error {
	in.headLeft, in.lines = unlimited, 0
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	if lines > maxHeadLines {
		return errHeadTooLong
	}
	return nil
}

const (
	// endWait is how long to look for the end of a connection right behind what was malformed: the server may have crashed.
	endWait = 20 * time.Millisecond
	// maxTailBytes is how much is thrown away meanwhile. A server that sends more lives.
	maxTailBytes = 64 << 10
)

// hasEnded reports whether the connection ended, at the latest right behind what was read.
func (in *inbound) hasEnded() bool {
	if in.err != nil {
		return true
	}
	_ = in.from.SetReadDeadline(time.Now().Add(endWait)) // if the connection is closed, the read returns the error
	_, err := io.CopyN(io.Discard, in.from, maxTailBytes)
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// explainBody returns the error of a response whose body could not be read.
func (in *inbound) explainBody(err error) error {
	broken := errors.Wrap(ErrBroken, shortText(err))
	if in.hasEnded() {
		return broken
	}
	return fmt.Errorf("%w: %w", ErrMalformed, broken)
}

// explain returns the error of an exchange in which reading a response failed.
func (in *inbound) explain(err error) error {
	if in.hasEnded() {
		return err
	}
	return errors.Wrap(ErrMalformed, shortText(err))
}

// maxErrorText limits the text of an error, in which a server's bytes may be repeated.
const maxErrorText = 160

// shortText returns the beginning of the text of an error.
func shortText(err error) string {
	text := err.Error()
	if len(text) > maxErrorText {
		text = strings.ToValidUTF8(text[:maxErrorText], "") + "..."
	}
	return text
}
