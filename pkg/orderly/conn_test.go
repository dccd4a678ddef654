package orderly_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/orderly"
)

const (
	plays  = 20
	upload = 8 << 20 // bytes, more than the buffers of a connection
	part   = "part"
)

// pipe returns both ends of a connection.
func pipe(t *testing.T) (*orderly.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return orderly.Wrap(client), server.(*net.TCPConn)
}

// startUpload begins a large write and returns its error.
func startUpload(conn net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, strings.Repeat("u", upload))
		written <- err
	}()
	return written
}

// Guards against a reset that looks like an end in order, since a write took its report.
func TestResetDuringAWriteLooksLikeAnEnd(t *testing.T) {
	for range plays {
		conn, server := pipe(t)
		written := startUpload(conn)
		_, _ = io.WriteString(server, part)
		_ = server.SetLinger(0)
		_ = server.Close()
		if got, err := io.ReadAll(conn); err == nil {
			t.Errorf("%q ended in order", got)
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("the next read returned %v", err)
		}
		<-written
	}
}

// Guards against a reset that looks like an end in order to a read that comes long after the write that took its report.
func TestResetBeforeAReadLooksLikeAnEnd(t *testing.T) {
	conn, server := pipe(t)
	_ = server.SetLinger(0)
	_ = server.Close()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); {
		if _, err := io.WriteString(conn, part); errors.Is(err, syscall.ECONNRESET) {
			break
		}
	}
	if got, err := io.ReadAll(conn); err == nil {
		t.Errorf("%q ended in order", got)
	}
}

// Guards against an end in order that looks like a reset, because what is written is not read.
func TestEndBeforeAWriteIsReadLooksLikeAReset(t *testing.T) {
	for name, after := range map[string]func(*net.TCPConn){
		"nothing more is read": func(*net.TCPConn) {},
		"a reset follows": func(server *net.TCPConn) {
			time.Sleep(time.Millisecond)
			_ = server.Close()
		},
		"the write is read late": func(server *net.TCPConn) {
			go func() {
				time.Sleep(time.Millisecond)
				_, _ = io.Copy(io.Discard, server)
			}()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range plays {
				conn, server := pipe(t)
				written := startUpload(conn)
				_, _ = io.WriteString(server, part)
				_ = server.CloseWrite()
				after(server)
				if got, err := io.ReadAll(conn); err != nil || string(got) != part {
					t.Errorf("%q, %v", got, err)
				}
				<-written
			}
		})
	}
}

// Guards against a deadline of a read that counts as the end of the connection.
func TestReadGoesOnAfterADeadline(t *testing.T) {
	conn, server := pipe(t)
	_ = conn.SetReadDeadline(time.Now())
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("no error of a deadline")
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, _ = io.WriteString(server, part)
	_ = server.Close()
	if got, err := io.ReadAll(conn); err != nil || string(got) != part {
		t.Errorf("%q, %v", got, err)
	}
}
