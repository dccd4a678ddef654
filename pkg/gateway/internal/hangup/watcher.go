// Package hangup detects callers that hang up while their request waits or is
// being answered. The HTTP server does not: it reads from a connection only
// between requests.
package hangup

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watcher polls all watched connections at intervals, in one goroutine.
type Watcher struct {
	interval time.Duration

	mutex   sync.Mutex
	watched map[*Watch]struct{}
}

// Watch is the registration of one watched connection.
type Watch struct {
	watcher  *Watcher
	raw      syscall.RawConn
	onHangUp func() // called when the peer hung up
}

// NewWatcher returns a watcher whose Run polls the connections every interval.
func NewWatcher(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, watched: make(map[*Watch]struct{})}
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Poll()
		}
	}
}

// Add watches connection and calls onHangUp once if the peer hangs up before Stop is
// called. It returns nil for a connection without a socket, which cannot be
// watched.
func (w *Watcher) Add(connection net.Conn, onHangUp func()) *Watch {
	raw := rawConn(connection)
	if raw == nil {
		return nil
	}
	watch := &Watch{watcher: w, raw: raw, onHangUp: onHangUp}
	w.mutex.Lock()
	w.watched[watch] = struct{}{}
	w.mutex.Unlock()
	return watch
}

// Stop ends the watch. It may be called on nil and more than once.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.watcher.mutex.Lock()
	delete(w.watcher.watched, w)
	w.watcher.mutex.Unlock()
}

// Poll checks all connections once. It reports those whose peer has hung up and
// stops watching them.
func (w *Watcher) Poll() {
	w.mutex.Lock()
	watches := make([]*Watch, 0, len(w.watched))
	for watch := range w.watched {
		watches = append(watches, watch)
	}
	w.mutex.Unlock()
	for _, watch := range watches {
		if isHungUp(watch.raw) {
			watch.Stop()
			watch.onHangUp()
		}
	}
}

// rawConn returns the socket of connection, unwrapping it if necessary, or nil.
func rawConn(connection net.Conn) syscall.RawConn {
	for connection != nil {
		if holder, ok := connection.(syscall.Conn); ok {
			raw, err := holder.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		wrapper, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		connection = wrapper.NetConn()
	}
	return nil
}

// isHungUp asks the kernel whether the peer has closed its side. Unlike peeking at
// the next byte, this also works when there are unread bytes, such as a pipelined
// request or a TLS close alert.
func isHungUp(raw syscall.RawConn) bool {
	hungUp := false
	err := raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		hungUp = err == nil && ready > 0 && poll[0].Revents != 0
	})
	return hungUp || err != nil
}
