package gateway

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// stopConnecting lets nobody connect any more and keeps those who have. The
// kernel resets connections that it has completed and nobody has accepted when
// a listener closes; so they are accepted here, and listening ends in the next
// system call. Callers that try later are refused and know that they sent
// nothing. It returns when Accept has handed on all of them.
func (l *limitedListener) stopConnecting() error {
	listener, isTCP := l.Listener.(*net.TCPListener)
	if !isTCP {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "gateway: stop listening")
	}
	l.stopping.Store(true)
	if err := listener.SetDeadline(time.Unix(1, 0)); err != nil { // ends Accept
		return errors.Wrap(err, "gateway: stop listening")
	}
	var accepted []int
	var stopError error
	err = raw.Control(func(descriptor uintptr) {
		accepted, stopError = endListening(int(descriptor))
	})
	if err == nil {
		err = stopError
	}
	for _, descriptor := range accepted {
		l.handOn(descriptor)
	}
	return errors.Wrap(err, "gateway: stop listening")
}

// handshakeTime is longer than a handshake in progress takes to end.
const handshakeTime = 20 * time.Millisecond

// endListening accepts all connections and ends listening. While nobody accepts,
// a backlog of 0 is full with the first caller that connects, and the kernel
// ignores further ones; so no handshake is in progress when listening ends.
func endListening(listening int) ([]int, error) {
	if err := unix.Listen(listening, 0); err != nil {
		return nil, err
	}
	time.Sleep(handshakeTime)
	accepted := acceptAll(listening)
	return accepted, unix.Shutdown(listening, unix.SHUT_RD)
}

// acceptAll accepts the connections that wait on a listening socket.
func acceptAll(listening int) []int {
	var accepted []int
	for {
		descriptor, _, err := unix.Accept4(listening, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return accepted
		}
		accepted = append(accepted, descriptor)
	}
}

// handOn gives an accepted connection to Accept.
func (l *limitedListener) handOn(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "caller")
	connection, err := net.FileConn(file) // has a copy of the descriptor
	_ = file.Close()
	if err != nil {
		return // the caller left already
	}
	select {
	case l.waiting <- connection:
	case <-l.closed:
		_ = connection.Close()
	}
}

// takeWaiting returns what stopConnecting accepted, and blocks until Close.
func (l *limitedListener) takeWaiting() (net.Conn, error) {
	select {
	case connection := <-l.waiting:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and ends Accept.
func (l *limitedListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
