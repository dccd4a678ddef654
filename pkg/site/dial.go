package site

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections to servers. A server behind a network partition does not respond: dials time out
// early, and the kernel closes connections whose data is not acknowledged. unacknowledgedTimeout, counted from
// the last data received, also ends a connection at the first probe after it, whatever the number of probes; so
// a server that is silent for a second or so must have answered one before.
const (
	serverDialTimeout     = 350 * time.Millisecond
	unacknowledgedTimeout = 2500 * time.Millisecond
	keepAliveIdle         = time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 2
)

// Dial opens a connection to a server.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: serverDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it only keep-alive probes would detect a partition.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
