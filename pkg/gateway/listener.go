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
	maxTotal     int
	maxPerIP     int
	writeTimeout time.Duration
	plainHTTP    bool // no TLS: a refusal can be written as plain HTTP

	stopping   atomic.Bool   // no new connections are accepted by the kernel
	handedOver chan net.Conn // connections accepted by stopConnecting, for Accept
	closed     chan struct{} // closed by Close
	closeOnce  sync.Once
	stopOnce   sync.Once
	stopError  error // of stopConnecting; valid after stopOnce

	mutex sync.Mutex
	open  map[*callerConn]struct{}
	byIP  map[string]int // number of open connections per IP address
}

// newLimitedListener wraps listener with the connection limits of config.
func newLimitedListener(listener net.Listener, config Config) *limitedListener {
	return &limitedListener{
		Listener:     listener,
		maxTotal:     config.Limits.Connections,
		maxPerIP:     config.Limits.ConnectionsPerIP,
		writeTimeout: config.Timeouts.Write,
		plainHTTP:    config.TLS == nil,
		handedOver:   make(chan net.Conn),
		closed:       make(chan struct{}),
		open:         make(map[*callerConn]struct{}),
		byIP:         make(map[string]int),
	}
}

// withTLS wraps the listener with TLS unless config is nil.
func (l *limitedListener) withTLS(config *tls.Config) net.Listener {
	if config == nil {
		return l
	}
	config = config.Clone()
	config.NextProtos = []string{"http/1.1"}
	return tls.NewListener(l, config)
}

// Accept returns the next connection within the limits and refuses those above.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil && l.stopping.Load() {
			accepted, err = l.nextHandedOver()
		}
		if err != nil {
			return nil, err
		}
		connection := &callerConn{Conn: accepted, listener: l, ip: ipOf(accepted)}
		if l.admit(connection) {
			return connection, nil
		}
		l.refuse(accepted)
	}
}

// ipOf returns the remote IP address of a connection.
func ipOf(connection net.Conn) string {
	host, _, err := net.SplitHostPort(connection.RemoteAddr().String())
	if err != nil {
		return connection.RemoteAddr().String()
	}
	return host
}

// admit counts the connection and returns true, or returns false if a limit is
// reached.
func (l *limitedListener) admit(connection *callerConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.open) >= l.maxTotal || l.byIP[connection.ip] >= l.maxPerIP {
		return false
	}
	l.open[connection] = struct{}{}
	l.byIP[connection.ip]++
	return true
}

// release removes a connection from the counts. Further calls do nothing.
func (l *limitedListener) release(connection *callerConn) {
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
		_ = connection.Conn.Close() // the goroutine that uses it gets an error
	}
}

// refuseTimeout is the timeout for writing a refusal. The refusal fits into the
// socket buffer, so the write does not normally wait.
const refuseTimeout = 100 * time.Millisecond

// refuse sends status 429 on a connection above the limits and closes it.
func (l *limitedListener) refuse(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if !l.plainHTTP {
		return
	}
	refusal := &APIError{
		Message: "too many connections",
		Type:    typeRateLimit,
		Code:    codeTooManyConns,
		NotRun:  true,
	}
	body := refusal.body()
	_ = connection.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 %d Too Many Requests\r\nContent-Type: %s\r\n%s: true\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fiber.StatusTooManyRequests, fiber.MIMEApplicationJSON, HeaderNotRun, len(body), body)
}

// callerConn is a caller's connection with a timeout for each write. The write
// timeout of the HTTP server covers the whole answer and would cut long streams.
type callerConn struct {
	net.Conn
	listener      *limitedListener
	ip            string
	writeDeadline time.Time // write deadline currently set on the socket
}

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn {
	return c.Conn
}

// deadlineSlack limits how much too early a write may time out, to the write
// timeout divided by deadlineSlack. Without this tolerance, every write would have
// to set the socket's deadline.
const deadlineSlack = 8

// Write writes p within the write timeout. It must not be called concurrently.
func (c *callerConn) Write(p []byte) (int, error) {
	timeout := c.listener.writeTimeout
	deadline := time.Now().Add(timeout)
	if deadline.Sub(c.writeDeadline) >= timeout/deadlineSlack {
		c.writeDeadline = deadline
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the listener's counts.
func (c *callerConn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}
