package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// Guards against an answer whose head was cut, and that is taken for a whole one without a body.
func TestMIXEDCutHeadIsTakenForAnAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n"
	for name, answer := range map[string]string{
		"with a length":      head + "{}",
		"in chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"after an early one": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "{}",
		"bare line feeds":    strings.ReplaceAll(head, "\r\n", "\n") + "{}",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(answer) {
				for _, reset := range []bool{false, true} {
					server := newRawServer(t, func(conn net.Conn) {
						_, _ = io.WriteString(conn, answer[:cut])
						if tcp, ok := conn.(*net.TCPConn); ok && reset {
							_ = tcp.SetLinger(0)
						}
						_ = conn.Close()
					})
					client := engine.NewHTTPClient(engine.HTTPClientConfig{})
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					if err := client.Cancel(ctx, server.address, engine.CancelRequest{}); err == nil {
						t.Errorf("the first %d bytes are taken for an answer, reset: %t", cut, reset)
					}
					cancel()
				}
			}
		})
	}
}
