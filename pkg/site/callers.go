package site

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/route"
)

// Minimum times for which a connection of a caller is kept, whatever the configuration says: one that is closed early
// costs a request, one that is kept costs a file descriptor.
const (
	minHeadTime = 10 * time.Second // for the head of a request, or until a new connection brings its first byte
	minIdleTime = 2 * time.Minute  // between requests
)

// idleInterval is the interval at which connections are checked.
const idleInterval = time.Second

// callers keeps track of the connections of callers. It closes those that wait for a request too long. A connection
// ends only while no byte of a request was read from it and none has arrived, so that no request that was read is left without
// an answer. It is used as the listener, and the ConnState hook, of an HTTP server that has no timeouts of its own.
type callers struct {
	net.Listener
	limits func() route.Limits // of the configuration in force
	min    callerTimes
	most   int // connections at once; zero: unlimited
	// yieldBody ends the read of the request body that has stalled for longest, and reports whether there is one; nil:
	// there is none.
	yieldBody func() bool
	heads     *memory.Budget // of what heads hold beyond their free part; nil: unlimited
	logger    hclog.Logger
	closed    atomic.Bool // no room is made any more

	mu     sync.Mutex
	open   map[*callerConn]struct{}
	logged time.Time // when connections were last logged to give way; used by the goroutine of Accept only
}

// callerTimes are the times for which a connection may wait for a request.
type callerTimes struct {
	head, idle time.Duration
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn

	mu      sync.Mutex
	waiting bool        // for a request, or for the rest of its head
	since   time.Time   // when it began to wait
	begun   time.Time   // when it read the first byte since; zero: none
	used    bool        // it has carried a request
	longest callerTimes // of the configurations in force since it began to wait
	ending  bool        // a read that finds nothing ends it

	callers     *callers
	headBytes   int // of the head, with what the HTTP server reads ahead
	headLines   int
	longestHead int         // that a configuration has allowed since it began to wait, in bytes
	head        memory.Hold // what the head takes, until the next one
}

// newCallers returns the callers of a listener.
func (s *Site) newCallers(listener net.Listener) *callers {
	return &callers{
		Listener: listener, limits: s.callerLimits, min: callerTimes{minHeadTime, minIdleTime}, most: s.Conns.Callers,
		open: make(map[*callerConn]struct{}), logger: s.Logger.Named("callers"),
	}
}

// newServer returns the HTTP server of the connections. Bodies of requests that it answers by itself have the time of a head;
// the handler has to limit those of its own.
func (s *callers) newServer(handler http.Handler) *http.Server {
	own := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // fails only if the connection is closed
		handler.ServeHTTP(w, r)
	}
	return &http.Server{
		Handler: http.HandlerFunc(own), ConnState: s.stateChanged, ConnContext: relay.ConnContext,
		DisableGeneralOptionsHandler: true, ErrorLog: s.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// callerLimits returns the limits of the configuration in force; the zero value if there is none.
func (s *Site) callerLimits() route.Limits {
	if table := s.Routes(); table != nil {
		return table.Limits()
	}
	return route.Limits{}
}

// allowed returns the times of the configuration in force.
func (s *callers) allowed() callerTimes {
	limits := s.limits()
	return callerTimes{head: limits.HeaderTime, idle: limits.IdleTime}
}

// Accept implements net.Listener.
func (s *callers) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	s.makeRoom()
	c := &callerConn{TCPConn: tcp, callers: s, waiting: true, since: clock.Now(), longest: s.allowed(), head: s.heads.Hold()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c, nil
}

// stateChanged is the ConnState hook.
func (s *callers) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.stopWaiting()
	case http.StateIdle:
		c.startWaiting(s.allowed())
	case http.StateClosed, http.StateHijacked:
		c.releaseHead()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	case http.StateNew:
	}
}

// startWaiting begins the wait for the next request.
func (c *callerConn) startWaiting(allowed callerTimes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.since, c.begun, c.used, c.longest = true, clock.Now(), time.Time{}, true, allowed
	c.headBytes, c.headLines, c.longestHead = 0, 0, 0
	c.head.Release()
}

// stopWaiting ends the wait: the head of a request was read. Reads have a limit until the request's handler begins.
func (c *callerConn) stopWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	c.goOn()
	if limit := max(c.longest.head, c.callers.min.head); limit > 0 {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(limit)) // fails only if the connection is closed
	}
}

// goOn undoes end.
func (c *callerConn) goOn() {
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// end ends the wait as soon as a read finds nothing. The HTTP server closes the connection then.
func (c *callerConn) end() {
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // any time that is past; fails only if the connection is closed
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	n, refusal, err := c.noteRead(p, n, err)
	if refusal != "" {
		c.refuseHead(refusal)
		return 0, errHeadRefused
	}
	return n, err
}

// noteRead records what a read brought while the connection waits for a request. It returns the result of the read, and the
// answer to a head that is refused; empty: it is not.
func (c *callerConn) noteRead(p []byte, n int, err error) (int, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return n, "", err
	}
	if c.ending && n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.goOn()
		if n, err = c.readArrived(p); n == 0 {
			return 0, "", os.ErrDeadlineExceeded
		}
	}
	if n == 0 {
		return n, "", err
	}
	c.goOn()
	if c.begun.IsZero() {
		c.begun = clock.Now()
	}
	return n, c.checkHead(p[:n]), err
}

// readArrived reads what has arrived, without waiting.
func (c *callerConn) readArrived(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := raw.Read(func(fd uintptr) bool {
		n, err = syscall.Read(int(fd), p)
		return true
	})
	if err == nil {
		err = readErr
	}
	return max(n, 0), err
}

// overdue reports whether the connection has waited longer than allowed. A configuration may lower a limit that a
// caller goes by, so that the longest one counts that was in force while the connection waited.
func (c *callerConn) overdue(now time.Time, allowed, least callerTimes) bool {
	c.longest.head, c.longest.idle = max(c.longest.head, allowed.head), max(c.longest.idle, allowed.idle)
	switch {
	case !c.begun.IsZero():
		return now.Sub(c.begun) > max(c.longest.head, least.head)
	case !c.used:
		return now.Sub(c.since) > max(c.longest.idle, least.head)
	}
	return now.Sub(c.since) > max(c.longest.idle, least.idle)
}

// all returns the open connections.
func (s *callers) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}

// endWhere ends the waits of connections that a condition holds for, and returns their number.
func (s *callers) endWhere(condition func(c *callerConn) bool) int {
	ended := 0
	for _, c := range s.all() {
		c.mu.Lock()
		if c.waiting && condition(c) {
			c.end() // again, if the HTTP server has lifted the deadline meanwhile
			ended++
		}
		c.mu.Unlock()
	}
	return ended
}

// run ends the connections that wait too long, until ctx ends.
func (s *callers) run(ctx context.Context) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		allowed, now := s.allowed(), clock.Now()
		if n := s.endWhere(func(c *callerConn) bool { return c.overdue(now, allowed, s.min) }); n > 0 {
			s.logger.Debug("connections of callers that waited too long are closed", "connections", n)
		}
	}
}

// shutDown closes the listener, and then each connection on which no request has begun, until all are closed or ctx ends. It
// returns the number of those that are left.
func (s *callers) shutDown(ctx context.Context) int {
	s.closed.Store(true)
	if err := s.Close(); err != nil {
		s.logger.Warn("listener of callers not closed", "error", err)
	}
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for {
		s.endWhere(func(c *callerConn) bool { return c.begun.IsZero() })
		left := len(s.all())
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}
