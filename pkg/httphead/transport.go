package httphead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"martenwheel.dev/pkg/orderly"
)

// NewTransport returns a transport that checks the heads of answers and takes no reset for the end of a body. It dials as base
// does, and base must not be used any more. It is for HTTP/1.x without TLS.
func NewTransport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &transportConn{Conn: orderly.Wrap(conn)}, nil
	}
	return transport{base}
}

// transport tells connections when an exchange begins.
type transport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*transportConn); ok {
			c.expectHead()
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

// CloseIdleConnections implements what http.Client.CloseIdleConnections calls.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// transportConn is a connection of a transport, which reads while it writes.
type transportConn struct {
	*orderly.Conn

	mu      sync.Mutex
	checker Checker
}

// expectHead is called before a request is written.
func (c *transportConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.Reset()
}

// Read implements net.Conn. It fails in place of what makes a head none.
func (c *transportConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.checker.Check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
