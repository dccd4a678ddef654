package site

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
)

// Times of a listener without descriptors.
const (
	// acceptPause is the wait after a failed accept, in which descriptors may become free.
	acceptPause = 50 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines about failed accepts.
	acceptLogInterval = time.Second
)

// listener keeps failed accepts from its HTTP server, which pauses for up to a second after one: callers would
// wait that long although descriptors are free, and so would a planned stop, as the server's end waits for the pause.
type listener struct {
	net.Listener
	logger hclog.Logger

	logged time.Time // when a failed accept was last logged
}

// receiveBytes is the size of a connection's buffer for bytes that this process has not read yet, of which the system may
// keep twice as many. A larger one lets a crowd of senders fill megabytes each.
const receiveBytes = 64 << 10

// Listen opens a listener for an HTTP server.
func Listen(address string, logger hclog.Logger) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if err := limitReceiveBuffer(raw); err != nil { // the system's own size is used
			logger.Warn("receive buffers not bounded", "address", address, "error", err)
		}
		return nil
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, logger: logger}, nil
}

// limitReceiveBuffer bounds the receive buffers of the connections of a listener.
func limitReceiveBuffer(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	if err != nil {
		return err
	}
	return failed
}

// Accept implements net.Listener. It is called by one goroutine.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !lacksResources(err) {
			return conn, err
		}
		if clock.Since(l.logged) >= acceptLogInterval {
			l.logged = clock.Now()
			l.logger.Warn("accept failed", "address", l.Addr().String(), "error", err)
		}
		time.Sleep(acceptPause)
	}
}

// lacksResources reports whether an accept failed for want of descriptors or memory, which may be free a moment later.
func lacksResources(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}
