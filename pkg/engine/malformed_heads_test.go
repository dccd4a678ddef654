package engine_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// Guards against an order that counts as done after an answer without a status, or with a line that is no field.
func TestMIXEDMalformedHeadIsTakenForAnAnswer(t *testing.T) {
	const status, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\n{}"
	for answer, sound := range map[string]bool{
		"HTTP/1.1 000 OK\r\n" + body:                                                false,
		"HTTP/1.1 000 OK\r\n\r\n" + status + body:                                   false,
		"HTTP/1.1 099 OK\r\n" + body:                                                false,
		"HTTP/2.0 200 OK\r\n" + body:                                                false,
		status + "Foo Bar: x\r\n" + body:                                            false,
		status + "Foo\x01: x\r\n" + body:                                            false,
		status + "Content-Type: a\r\n Foo: x\r\n" + body:                            false,
		status + "Content-Length : 2\r\n\r\n{}":                                     false,
		status + "Transfer-Encoding : chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n":          false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n": false,
		status + body: true,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + status + body:                         true,
		status + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n":                     true,
		"HTTP/1.1 200\r\nFoo:\r\nConnection: close\r\n\r\n{}":                                 true,
		"HTTP/1.0 200 OK\r\nConnection: close\r\nFoo: \xe9\tx\r\nContent-Length: 2\r\n\r\n{}": true,
	} {
		server := newRawServer(t, func(conn net.Conn) {
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := engine.NewHTTPClient(engine.HTTPClientConfig{}).Cancel(ctx, server.address, engine.CancelRequest{}); (err == nil) != sound {
			t.Errorf("%q: %v", answer, err)
		}
		if _, err := engine.NewHTTPClient(engine.HTTPClientConfig{}).Order(ctx, server.address, engine.Order{}); (err == nil) != sound {
			t.Errorf("order, %q: %v", answer, err)
		}
		cancel()
	}
}
