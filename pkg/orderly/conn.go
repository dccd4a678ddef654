// Package orderly tells the end of a connection in order from a reset while one goroutine reads and another one writes.
//
// The system reports a reset once, to whichever call comes first (tcp(7), SO_ERROR). If that is a write, the next read returns
// the end of the data as if the peer had closed the connection in order, and a part of an answer that ends with its connection
// looks whole.
package orderly

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrBroken means that the connection broke and that a write took the report of it.
var ErrBroken = errors.New("orderly: connection broken, as a write shows")

// Conn is a connection whose Read returns io.EOF only if the peer ended its side in order. One goroutine at a time may read
// while others write. At the end of the data a write in progress is ended: the peer needs none of it for an answer that is over.
type Conn struct {
	net.Conn

	ended error // what the last read returned, used by readers only; nil: there is more to read

	writing sync.Mutex // held during a write
	broken  error      // what a write showed; nil: nothing. Guarded by writing
}

// Wrap returns conn as a Conn. All reads and writes must go through it from then on.
func Wrap(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. It remembers the error of a broken connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.broken == nil && isBreak(err) {
		c.broken = errors.Wrap(ErrBroken, err.Error())
	}
	return n, err
}

// Read implements net.Conn. It returns ErrBroken in place of io.EOF if a write took the report of a break.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.explainEnd()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
	}
	return n, err
}

// past is a deadline that makes writes return at once.
var past = time.Unix(1, 0)

// explainEnd returns io.EOF if the peer ended its side in order. Whatever write took the report of a break began before the
// end was read, so that it has returned, or does so now, with that error.
func (c *Conn) explainEnd() error {
	_ = c.SetWriteDeadline(past) // fails only if the connection is closed, and then writes return, too
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// isBreak reports whether an error of a write shows that the connection broke before the peer ended its side in order. After
// such an end a reset is reported as EPIPE: the peer does not read what is still sent.
func isBreak(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
