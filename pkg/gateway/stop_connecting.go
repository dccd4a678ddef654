package gateway

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// stopConnecting refuses new connections and keeps established ones. When a
// listener closes, the kernel resets connections that are established but not yet
// accepted. So stopConnecting accepts them and stops listening in the next system
// call. Callers that connect later are refused and know that they sent nothing.
// It returns when Accept has returned all connections accepted here. Further calls do nothing.
func (l *limitedListener) stopConnecting() error {
	l.stopOnce.Do(func() { l.stopError = l.endConnecting() })
	return l.stopError
}

// endConnecting does the work of stopConnecting.
func (l *limitedListener) endConnecting() error {
	listener, isTCP := l.Listener.(*net.TCPListener)
	if !isTCP {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "gateway: stop listening")
	}
	l.stopping.Store(true)
	if err := listener.SetDeadline(time.Unix(1, 0)); err != nil { // interrupts Accept
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
		l.handOver(descriptor)
	}
	return errors.Wrap(err, "gateway: stop listening")
}

// handshakeTime is longer than a TCP handshake in progress takes to complete.
const handshakeTime = 20 * time.Millisecond

// endListening accepts all established connections and stops listening. It first
// sets the backlog to 0: while nothing is accepted, the first connection fills it
// and the kernel ignores further ones, so that no handshake is in progress when
// listening stops.
func endListening(listening int) ([]int, error) {
	if err := unix.Listen(listening, 0); err != nil {
		return nil, err
	}
	time.Sleep(handshakeTime)
	accepted := acceptAll(listening)
	return accepted, unix.Shutdown(listening, unix.SHUT_RD)
}

// acceptAll accepts all connections in the queue of a listening socket.
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

// handOver passes an accepted connection to Accept.
func (l *limitedListener) handOver(descriptor int) {
	file := os.NewFile(uintptr(descriptor), "caller")
	connection, err := net.FileConn(file) // duplicates the descriptor
	_ = file.Close()
	if err != nil {
		return // the caller has already disconnected
	}
	select {
	case l.handedOver <- connection:
	case <-l.closed:
		_ = connection.Close()
	}
}

// nextHandedOver returns the next connection accepted by stopConnecting. It
// blocks until there is one or until Close.
func (l *limitedListener) nextHandedOver() (net.Conn, error) {
	select {
	case connection := <-l.handedOver:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and makes Accept return.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
