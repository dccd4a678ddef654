package site

import (
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

// Listen opens a listener for an HTTP server.
func Listen(address string, logger hclog.Logger) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: inner, logger: logger}, nil
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
