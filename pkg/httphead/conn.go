package httphead

import "net"

// Conn is a connection to a server for a client that writes a request as a whole before it reads, so that a write begins an
// exchange. Reads fail in place of what makes a head none.
type Conn struct {
	net.Conn
	checker Checker
}

// NewConn returns conn as a Conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.checker.Reset()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.checker.Check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}
