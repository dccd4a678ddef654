package backend

import (
	"io"
	"sync/atomic"
)

// inbound is what a server sends on a connection.
type inbound struct {
	from     io.Reader
	received atomic.Int64 // bytes since the current exchange began
}

// Read implements io.Reader.
func (in *inbound) Read(p []byte) (int, error) {
	n, err := in.from.Read(p)
	in.received.Add(int64(n))
	return n, err
}
