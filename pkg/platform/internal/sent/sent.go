// Package sent tells whether a request may have reached its server.
package sent

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace returns a context for one HTTP request and a function that tells
// whether the request got a connection. Without one nothing of it was sent.
// The request must go through an http.Transport.
func Trace(ctx context.Context) (context.Context, func() bool) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), connected.Load
}
