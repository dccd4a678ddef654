package site

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/memory"
)

// Limits of the heads of requests.
const (
	// defaultHeadBytes is the most that a head may have while no configuration has a limit.
	defaultHeadBytes = 1 << 20
	// readAheadBytes is the most that the HTTP server reads of what follows a head.
	readAheadBytes = 4 << 10
	// What a head takes: its bytes are held as read and as parsed, and each line has an entry.
	headCopies   = 3
	headLineCost = 160 // bytes
	// refusedHeadTime bounds how long a caller may go on to send a head that was refused. Closing a connection with
	// unread bytes resets it and may lose the answer.
	refusedHeadTime = 500 * time.Millisecond
)

// Refusals of heads. Nothing of their requests has run.
var (
	headTooLarge = refusedHead("431 Request Header Fields Too Large", "")
	headNoMemory = refusedHead("503 Service Unavailable", "Retry-After: 0.300\r\n")
)

// errHeadRefused ends the read of a head that was refused. The HTTP server does not answer errors of reads.
var errHeadRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head refused")}

// refusedHead returns an answer.
func refusedHead(status, lines string) string {
	body := `{"error":` + strconv.Quote(status) + "}\n"
	return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nConnection: close\r\n" + lines +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// checkHead counts what was read of a head, and returns the answer to one that is too large; empty: it is not.
func (c *callerConn) checkHead(p []byte) string {
	c.headBytes += len(p)
	c.headLines += bytes.Count(p, []byte{'\n'})
	limit := c.callers.limits().HeaderBytes
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	c.longestHead = max(c.longestHead, limit)
	if c.headBytes > c.longestHead+readAheadBytes {
		return headTooLarge
	}
	if !c.head.Resize(headCopies*c.headBytes + headLineCost*c.headLines) {
		return headNoMemory
	}
	return ""
}

// newHeads returns the budget of the heads of requests.
func (s *Site) newHeads() *memory.Budget {
	b := s.newBudget("heads", headsShare)
	b.Spare, b.Small = int64(spareShare*float64(b.Limit)), smallHead
	return b
}

// releaseHead returns the memory of the head.
func (c *callerConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
}

// refuseHead answers a head that is not read to its end. The caller closes the connection.
func (c *callerConn) refuseHead(answer string) {
	c.callers.logger.Info("head refused", "caller", c.RemoteAddr().String(), "head_bytes", c.headBytes, "head_lines", c.headLines,
		"most_bytes", c.longestHead, "held", c.callers.heads.Usage().Used, "answer", answer[len("HTTP/1.1 "):len("HTTP/1.1 431")])
	c.releaseHead()
	end := time.Now().Add(refusedHeadTime)
	_ = c.TCPConn.SetDeadline(end) // fails only if the connection is closed
	if _, err := io.WriteString(c.TCPConn, answer); err != nil {
		return // the caller is gone
	}
	_ = c.TCPConn.CloseWrite()                        // the same
	_, _ = io.Copy(io.Discard, onlyReader{c.TCPConn}) // the same
}

// onlyReader hides the other methods of a reader, so that what is copied from it passes through one buffer.
type onlyReader struct{ io.Reader }
