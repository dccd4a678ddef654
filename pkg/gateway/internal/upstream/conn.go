package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an engine that knows whether the current request
// has left this process, and that bounds each read.
type conn struct {
	net.Conn
	stall   time.Duration
	readBy  time.Time // overrides stall when set
	limit   time.Time // the deadline that the socket has
	written int64     // of the current request
	used    bool      // for an earlier request
}

// begin starts a new request on the connection.
func (c *conn) begin() {
	c.written = 0
	c.readBy = time.Time{}
	c.used = true
}

// sent tells whether a byte of the current request was handed to the kernel.
func (c *conn) sent() bool {
	return c.written > 0
}

// abort closes the connection while another goroutine uses it.
func (c *conn) abort() {
	_ = c.Conn.Close() // the user of the connection sees the error
}

// Write counts what is written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read reads until the deadline of the header or for the stall time.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.setDeadline(); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// deadlineSlack is the part of the stall time by which a read may be given
// up early, so that not each read has to set a deadline.
const deadlineSlack = 8

// setDeadline sets the deadline of the next read if it has moved.
func (c *conn) setDeadline() error {
	deadline := c.readBy
	if deadline.IsZero() {
		deadline = time.Now().Add(c.stall)
		if ahead := deadline.Sub(c.limit); ahead >= 0 && ahead < c.stall/deadlineSlack {
			return nil
		}
	} else if deadline.Equal(c.limit) {
		return nil
	}
	c.limit = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// stale tells whether an idle connection was closed by the engine or carries
// bytes that nobody asked for.
func (c *conn) stale() bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	quiet := false
	err = raw.Control(func(descriptor uintptr) {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err != nil || !quiet
}
