package tunnel

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Dialer opens connections to servers. Set the exported fields before use.
type Dialer struct {
	Direct func(ctx context.Context, address string) (net.Conn, error)
	Reach  *Reach
}

// DialDirect connects to a server directly.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.Direct(ctx, address)
	switch {
	case err == nil:
		d.Reach.Connected(address)
	case ctx.Err() == nil:
		d.Reach.Failed(address, !isRefusal(err))
	}
	return conn, err
}

// isRefusal reports whether a connection failed by an answer, which may come from the server or from a
// link that rejects connections.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
