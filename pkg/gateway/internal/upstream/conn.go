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
	deadline := c.readBy
	if deadline.IsZero() {
		deadline = time.Now().Add(c.stall)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
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
