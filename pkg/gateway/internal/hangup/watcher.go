// Package hangup notices callers that hang up while their request waits or is
// being answered, which an HTTP server that serves one request after the
// other does not.
package hangup

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Watcher looks at all watched connections at intervals, from one goroutine.
type Watcher struct {
	interval time.Duration

	mutex   sync.Mutex
	watched map[*Watch]struct{}
}

// Watch is one connection under watch.
type Watch struct {
	watcher *Watcher
	raw     syscall.RawConn
	left    func()
}

// NewWatcher returns a watcher that looks every interval while it runs.
func NewWatcher(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, watched: make(map[*Watch]struct{})}
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.Look()
		}
	}
}

// Add watches connection and calls left once if its peer hangs up before
// Stop. It returns nil for a connection without a socket, which can't be
// watched.
func (w *Watcher) Add(connection net.Conn, left func()) *Watch {
	raw := rawConn(connection)
	if raw == nil {
		return nil
	}
	watch := &Watch{watcher: w, raw: raw, left: left}
	w.mutex.Lock()
	w.watched[watch] = struct{}{}
	w.mutex.Unlock()
	return watch
}

// Stop ends the watch. It is safe on nil, and more than once.
func (w *Watch) Stop() {
	if w == nil {
		return
	}
	w.watcher.mutex.Lock()
	delete(w.watcher.watched, w)
	w.watcher.mutex.Unlock()
}

// Look reports and forgets the connections whose peer has left.
func (w *Watcher) Look() {
	w.mutex.Lock()
	watches := make([]*Watch, 0, len(w.watched))
	for watch := range w.watched {
		watches = append(watches, watch)
	}
	w.mutex.Unlock()
	for _, watch := range watches {
		if hungUp(watch.raw) {
			watch.Stop()
			watch.left()
		}
	}
}

// rawConn finds the socket below connection.
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

// hungUp asks the kernel whether the peer has closed its side. Unlike a peek
// at the next byte, the answer does not depend on bytes that were not read,
// such as a pipelined request or the farewell of TLS.
func hungUp(raw syscall.RawConn) bool {
	gone := false
	err := raw.Control(func(descriptor uintptr) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		ready, err := unix.Poll(poll, 0)
		gone = err == nil && ready > 0 && poll[0].Revents != 0
	})
	return gone || err != nil
}
