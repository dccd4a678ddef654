package gateway

import (
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// limited returns listener with the limits on connections, and TLS if there
// is a configuration for it.
func (g *Gateway) limited(listener net.Listener) net.Listener {
	limits := g.config.Limits
	var result net.Listener = &limitedListener{
		Listener:     listener,
		total:        limits.Connections,
		perIP:        limits.ConnectionsPerIP,
		writeTimeout: g.config.Timeouts.Write,
		plain:        g.config.TLS == nil,
		open:         make(map[string]int),
	}
	if g.config.TLS != nil {
		config := g.config.TLS.Clone()
		config.NextProtos = []string{"http/1.1"}
		result = tls.NewListener(result, config)
	}
	return result
}

// limitedListener refuses connections above its limits.
type limitedListener struct {
	net.Listener
	total        int
	perIP        int
	writeTimeout time.Duration
	plain        bool // a refusal can be written as plain HTTP

	mutex sync.Mutex
	count int
	open  map[string]int // connections by IP
}

// Accept returns the next connection within the limits.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip := ipOf(accepted)
		if l.admit(ip) {
			return &callerConn{Conn: accepted, listener: l, ip: ip}, nil
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

// admit counts a connection from ip unless it exceeds a limit.
func (l *limitedListener) admit(ip string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.count >= l.total || l.open[ip] >= l.perIP {
		return false
	}
	l.count++
	l.open[ip]++
	return true
}

// leave gives back the place of a connection from ip.
func (l *limitedListener) leave(ip string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count--
	l.open[ip]--
	if l.open[ip] == 0 {
		delete(l.open, ip)
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
	once     sync.Once
}

// NetConn returns the connection below.
func (c *callerConn) NetConn() net.Conn {
	return c.Conn
}

// Write writes p within the time-out.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and gives its place back.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.listener.leave(c.ip) })
	return c.Conn.Close()
}
