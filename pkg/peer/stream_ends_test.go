package peer

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/orderly"
	"martenwheel.dev/pkg/security/securitytest"
)

const (
	endPlays    = 6
	uploadBytes = 8 << 20 // more than the buffers of both connections
	partBytes   = 64
	wholeBytes  = 300 << 10
	endTime     = 5 * time.Second // that a stream may take to end
)

// withAndWithoutTLS runs a test of streams on connections between nodes of both kinds.
func withAndWithoutTLS(t *testing.T, test func(t *testing.T, open func(t *testing.T) (stream, served net.Conn, helper *Server))) {
	authority := securitytest.NewAuthority(t, time.Now())
	for name, config := range map[string][2]*tls.Config{
		"TCP": {},
		"TLS": {issue(authority, securitytest.CommonName("helper")), issue(authority, securitytest.CommonName("asker"))},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(t *testing.T) (stream, served net.Conn, helper *Server) {
				return streamVia(t, config[0], config[1], nil)
			})
		})
	}
}

// Guards against a part of an answer that looks whole after a hop, as the copy of the upload took the report of a reset.
func TestMIXEDStreamResetUnderAnUploadLooksComplete(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, open func(t *testing.T) (stream, served net.Conn, helper *Server)) {
		for _, after := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond} {
			for range endPlays {
				opened, served, _ := open(t)
				stream := orderly.Wrap(opened)
				go func() { _, _ = stream.Write(make([]byte, uploadBytes)) }()
				_, _ = served.Write(make([]byte, partBytes))
				time.Sleep(after)
				_ = served.(*net.TCPConn).SetLinger(0)
				_ = served.Close()
				_ = stream.SetReadDeadline(time.Now().Add(endTime))
				if got, err := io.ReadAll(stream); err == nil {
					t.Errorf("MIXED: %d bytes ended in order after a reset %v later", len(got), after)
				}
				_ = stream.Close()
			}
		}
	})
}

// Guards against a part of an answer that looks whole after a hop, as the node between said good-bye when it broke off.
func TestMIXEDBrokenStreamIsClosedInOrder(t *testing.T) {
	withAndWithoutTLS(t, func(t *testing.T, open func(t *testing.T) (stream, served net.Conn, helper *Server)) {
		for name, end := range map[string]func(served net.Conn, helper *Server){
			"reset": func(served net.Conn, _ *Server) {
				_ = served.(*net.TCPConn).SetLinger(0)
				_ = served.Close()
			},
			"the helper ends": func(_ net.Conn, helper *Server) { _ = helper.Close() },
		} {
			for range endPlays {
				stream, served, helper := open(t)
				_, _ = served.Write(make([]byte, partBytes))
				if _, err := io.ReadFull(stream, make([]byte, partBytes)); err != nil {
					t.Fatal(err)
				}
				go end(served, helper)
				_ = stream.SetReadDeadline(time.Now().Add(endTime))
				if _, err := io.ReadAll(stream); err == nil {
					t.Errorf("MIXED: %s: the stream ended in order", name)
				}
			}
		}
	})
}

// Guards against a whole answer that breaks at a hop, as its server ended it in order before it had read the upload.
func TestStreamThatEndsBeforeItsUploadIsReadIsBroken(t *testing.T) {
	whole := bytes.Repeat([]byte("whole "), wholeBytes/6)
	withAndWithoutTLS(t, func(t *testing.T, open func(t *testing.T) (stream, served net.Conn, helper *Server)) {
		for name, after := range map[string]func(served net.Conn){
			"upload not read":   func(net.Conn) {},
			"upload read late":  func(served net.Conn) { _, _ = io.Copy(io.Discard, served) },
			"closed as it ends": func(served net.Conn) { _ = served.Close() },
		} {
			for range endPlays {
				opened, served, _ := open(t)
				stream := orderly.Wrap(opened)
				go func() { _, _ = stream.Write(make([]byte, uploadBytes)) }()
				go func() {
					_, _ = served.Write(whole)
					_ = served.(*net.TCPConn).CloseWrite()
					time.Sleep(30 * time.Millisecond) // until the end has arrived
					after(served)
				}()
				_ = stream.SetReadDeadline(time.Now().Add(endTime))
				if got, err := io.ReadAll(stream); err != nil || !bytes.Equal(got, whole) {
					t.Errorf("%s: %d bytes of %d, %v", name, len(got), len(whole), err)
				}
				_ = stream.Close()
			}
		}
	})
}

// Guards against a part of an answer that looks whole since its encrypted connection was closed in order below TLS.
func TestMIXEDStreamWithoutTheAlertOfItsEndLooksComplete(t *testing.T) {
	authority := securitytest.NewAuthority(t, time.Now())
	var below net.Conn // the opener's connection to the helper
	stream, served, _ := streamVia(t, issue(authority, securitytest.CommonName("helper")), issue(authority, securitytest.CommonName("asker")),
		func(conn net.Conn) net.Conn {
			below = &endingConn{Conn: conn}
			return below
		})
	_, _ = served.Write(make([]byte, partBytes))
	if _, err := io.ReadFull(stream, make([]byte, partBytes)); err != nil {
		t.Fatal(err)
	}
	below.(*endingConn).end()
	if _, err := io.ReadAll(stream); err == nil {
		t.Error("MIXED: the stream ended in order")
	}
}

// endingConn is a connection whose data ends in order once end is called.
type endingConn struct {
	net.Conn
	ended atomic.Bool
}

func (c *endingConn) end() {
	c.ended.Store(true)
	_ = c.SetReadDeadline(time.Now())
}

func (c *endingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.ended.Load() {
		err = io.EOF
	}
	return n, err
}
