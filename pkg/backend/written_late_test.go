package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a whole answer that breaks at a reader that pauses, since its server read no more of the request.
func TestAnswerBreaksAsItsRequestIsNotRead(t *testing.T) {
	const uploadBytes, answerBytes, plays = 8 << 20, 32 << 10, 10 // an answer that fits the window, so that nothing of it is lost
	whole := bytes.Repeat([]byte("a"), answerBytes)
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
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = conn.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), whole...))
			_ = conn.(*net.TCPConn).CloseWrite()
			_ = conn.Close() // with an unread request: a reset follows the end
		}
	}()
	m := newMember(func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	})
	for range plays {
		a, err := m.Send(t.Context(), &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"), Body: make([]byte, uploadBytes)},
			func() error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * answerAfterReset)
		if got, err := io.ReadAll(a); err != nil || !bytes.Equal(got, whole) {
			t.Errorf("%d bytes of %d, %v", len(got), len(whole), err)
		}
		a.Close()
	}
}
