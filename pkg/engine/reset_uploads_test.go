package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// Guards against an upload that counts as done after a part of an answer without length, as its write took the report of a reset.
func TestMIXEDResetUnderAnUploadIsTakenForAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	for range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		export := engine.KVExport{Data: make([]byte, 8<<20)}
		if err := engine.NewHTTPClient(engine.HTTPClientConfig{}).ImportKV(ctx, listener.Addr().String(), export); err == nil {
			t.Error("MIXED: a part is taken for an answer")
		}
		cancel()
	}
}
