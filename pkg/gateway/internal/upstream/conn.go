package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"martenwheel.dev/pkg/httphead"
)

// conn is a connection to an engine that records whether any byte of the current
// request was sent, limits the time of each read, and checks the heads of answers.
type conn struct {
	net.Conn
	stallTimeout time.Duration // timeout of each read when readDeadline is zero
	readDeadline time.Time     // read deadline; overrides stallTimeout if not zero
	deadline     time.Time     // read deadline currently set on the socket
	written      int64         // bytes of the current request handed to the kernel
	used         bool          // carried an earlier request
	head         httphead.Checker
}

// begin prepares the connection for a new request.
func (c *conn) begin() {
	c.written = 0
	c.readDeadline = time.Time{}
	c.used = true
	c.head.Reset()
}

// sent reports whether any byte of the current request was handed to the kernel.
func (c *conn) sent() bool {
	return c.written > 0
}

// abort closes the connection, possibly while another goroutine uses it.
func (c *conn) abort() {
	_ = c.Conn.Close() // the goroutine that uses the connection gets an error
}

// Write writes p and counts the written bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// Read reads until readDeadline if that is set, else with the stall timeout. It
// fails in place of what makes a head none.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.setDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if headErr := c.head.Check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// deadlineSlack limits how much too early a read may time out, to the stall
// timeout divided by deadlineSlack. Without this tolerance, every read would have
// to set the socket's deadline.
const deadlineSlack = 8

// setDeadline sets the deadline of the next read if it has changed by enough.
func (c *conn) setDeadline() error {
	deadline := c.readDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(c.stallTimeout)
		if ahead := deadline.Sub(c.deadline); ahead >= 0 && ahead < c.stallTimeout/deadlineSlack {
			return nil
		}
	} else if deadline.Equal(c.deadline) {
		return nil
	}
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// isStale reports whether an idle connection was closed by the engine or has
// unexpected bytes to read.
func (c *conn) isStale() bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	idle := false
	err = raw.Control(func(descriptor uintptr) {
		var probe [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
	})
	return err != nil || !idle
}
