// Package sent detects whether an HTTP request may have reached its server.
package sent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace returns a context for one HTTP request and a function that reports
// whether the request got a connection. Without a connection nothing was sent.
// The request must use an http.Transport.
func Trace(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}
