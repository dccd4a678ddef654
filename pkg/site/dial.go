package site

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of connections to servers. A server behind a cut is silent: dials are
// given up early, and the kernel gives up data that nobody acknowledges.
const (
	serverDial     = 350 * time.Millisecond
	unacknowledged = 2 * time.Second
	probeIdle      = 2 * time.Second
	probeInterval  = time.Second
	probeCount     = 2
)

// Dial opens a connection to a server.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: serverDial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it, probes alone find the cut.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
			})
		},
	}
	return d.DialContext(ctx, "tcp", address)
}
