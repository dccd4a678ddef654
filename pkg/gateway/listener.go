package gateway

import (
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
)

// limitedListener refuses connections above its limits.
type limitedListener struct {
	net.Listener
	total        int
	perIP        int
	writeTimeout time.Duration
	plain        bool // a refusal can be written as plain HTTP

	stopping atomic.Bool   // nobody connects any more
	waiting  chan net.Conn // accepted by stopConnecting
	closed   chan struct{}
	closing  sync.Once

	mutex sync.Mutex
	open  map[*callerConn]struct{}
	byIP  map[string]int // number of open connections
}

// newLimitedListener returns listener with the limits of config.
func newLimitedListener(listener net.Listener, config Config) *limitedListener {
	return &limitedListener{
		Listener:     listener,
		total:        config.Limits.Connections,
		perIP:        config.Limits.ConnectionsPerIP,
		writeTimeout: config.Timeouts.Write,
		plain:        config.TLS == nil,
		waiting:      make(chan net.Conn),
		closed:       make(chan struct{}),
		open:         make(map[*callerConn]struct{}),
		byIP:         make(map[string]int),
	}
}

// secured returns the listener with TLS if there is a configuration for it.
func (l *limitedListener) secured(config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, config)
}

// Accept returns the next connection within the limits.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.stopping.Load() {
			accepted, err = l.takeWaiting()
		}
		if err != nil {
			return nil, err
		}
		connection := &callerConn{Conn: accepted, listener: l, ip: ipOf(accepted)}
		if l.admit(connection) {
			return connection, nil
		}
		l.turnAway(accepted)
	}
}

// ipOf returns the IP address of a connection's other side.
func ipOf(connection net.Conn) string {
	host, _, err := net.SplitHostPort(connection.RemoteAddr().String())
	if err != nil {
		return connection.RemoteAddr().String()
	}
	return host
}

// admit counts a connection unless it exceeds a limit.
func (l *limitedListener) admit(connection *callerConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) >= l.total || l.byIP[connection.ip] >= l.perIP {
		return false
	}
	l.open[connection] = struct{}{}
	l.byIP[connection.ip]++
	return true
}

// leave gives back the place of a connection, once.
func (l *limitedListener) leave(connection *callerConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, isOpen := l.open[connection]; !isOpen {
		return
	}
	delete(l.open, connection)
	l.byIP[connection.ip]--
	if l.byIP[connection.ip] == 0 {
		delete(l.byIP, connection.ip)
	}
}

// closeConnections closes the connections of all callers.
func (l *limitedListener) closeConnections() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		_ = connection.Conn.Close() // its user sees the error
	}
}

// turnAwayTimeout bounds the writing of a refusal, which fits the socket's
// buffer.
const turnAwayTimeout = 100 * time.Millisecond

// turnAway refuses a connection above the limits.
func (l *limitedListener) turnAway(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if !l.plain {
		return
	}
	refusal := &APIError{
		Message: "too many connections",
		Type:    typeRateLimit,
		Code:    codeTooManyConns,
		NotRun:  true,
	}
	body := refusal.body()
	_ = connection.SetWriteDeadline(time.Now().Add(turnAwayTimeout))
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Too Many Requests\r\nContent-Type: %s\r\n%s: true\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fiber.StatusTooManyRequests, fiber.MIMEApplicationJSON, HeaderNotRun, len(body), body)
}

// callerConn is a caller's connection, with a time-out for each write: that
// of the HTTP server would end streams that last longer.
type callerConn struct {
	net.Conn
	listener *limitedListener
	ip       string
	limit    time.Time // the deadline that the socket has for writes
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn {
	return c.Conn
}

// deadlineSlack is the part of the time-out by which a write may be given up
// early, so that not each write has to set a deadline.
const deadlineSlack = 8

// Write writes p within the time-out. There is one writer at a time.
func (c *callerConn) Write(p []byte) (int, error) {
	timeout := c.listener.writeTimeout
	deadline := time.Now().Add(timeout)
	if deadline.Sub(c.limit) >= timeout/deadlineSlack {
		c.limit = deadline
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place back.
func (c *callerConn) Close() error {
	c.listener.leave(c)
	return c.Conn.Close()
}
