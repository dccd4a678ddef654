package relay

import (
	"context"
	"net"
)

// connectionKey is the key of the caller's connection in the context of a request.
type connectionKey struct{}

// ConnContext adds a caller's connection to the context of its requests. HTTP servers in front of the
// relay set it as their ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// lingerDefault makes the system close a connection in order, after it has sent all data.
const lingerDefault = -1

// resetUnlessComplete makes the connection of a caller of HTTP/1.0 end with a reset, whatever ends it,
// until the stream is complete. Such a caller gets streams without chunks, whose regular end is that of
// their connection.
func (c *call) resetUnlessComplete() { c.setLinger(0) }

// streamIsComplete undoes resetUnlessComplete.
func (c *call) streamIsComplete() { c.setLinger(lingerDefault) }

// setLinger sets how the connection of a caller of HTTP/1.0 is closed. Others are not affected.
func (c *call) setLinger(seconds int) {
	if c.http.ProtoAtLeast(1, 1) {
		return
	}
	conn, ok := c.http.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		c.relay.Logger.Warn("a caller of HTTP/1.0 can't see whether its stream is complete", "request_id", c.id)
		return
	}
	if err := conn.SetLinger(seconds); err != nil {
		c.relay.Logger.Warn("connection not set to end by a reset", "request_id", c.id, "seconds", seconds, "error", err)
	}
}
