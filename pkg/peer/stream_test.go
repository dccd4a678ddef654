package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// testConnect asks for a stream to an address; an empty one is refused.
type testConnect struct{ Address string }

func (testConnect) OpensStream() {}

func init() { Register(testConnect{}) }

// streamer opens streams to any address.
type streamer struct{ *recorder }

func (streamer) OpenStream(ctx context.Context, _ api.NodeRef, request StreamRequest) (net.Conn, Message, error) {
	address := request.(testConnect).Address
	if address == "" {
		return nil, testAnswer{Text: "no"}, nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return conn, testAnswer{Text: "yes"}, err
}

// streamTo returns a stream through a new peer to a server, the server's end of it, and the peer.
func streamTo(t *testing.T) (stream, served net.Conn, helper *Server) {
	t.Helper()
	return streamVia(t, nil, nil, nil)
}

// streamVia is streamTo for a peer and an opener with TLS, and connections that are changed below it; nil: without.
func streamVia(t *testing.T, helperTLS, openerTLS *tls.Config, change func(net.Conn) net.Conn) (stream, served net.Conn, helper *Server) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	helper, err = Listen(Config{Self: api.NodeRef{ID: "helper"}, Address: "127.0.0.1:0", TLS: helperTLS})
	if err != nil {
		t.Fatal(err)
	}
	helper.Serve(streamer{newRecorder()})
	t.Cleanup(func() { helper.Close() })
	opener := testOpener()
	opener.Config.TLS = openerTLS
	if dial := opener.Dial; change != nil {
		opener.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			return change(conn), err
		}
	}
	stream, answer, err := opener.Open(t.Context(), helper.Self().PeerAddress, testConnect{Address: target.Addr().String()})
	if err != nil || answer != (testAnswer{Text: "yes"}) {
		t.Fatalf("%v, %v", answer, err)
	}
	t.Cleanup(func() { stream.Close() })
	if served, err = target.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { served.Close() })
	return stream, served, helper
}

func testOpener() *Opener {
	return &Opener{Config: Config{Self: api.NodeRef{ID: "asker"}}, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
}

func TestStreamCarriesBytesBothWays(t *testing.T) {
	stream, served, _ := streamTo(t)
	for _, way := range [][2]net.Conn{{stream, served}, {served, stream}} {
		if _, err := way[0].Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 5)
		if _, err := io.ReadFull(way[1], got); err != nil || string(got) != "hello" {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// TestBrokenStreamLooksLikeItsEnd guards against parts of answers that look whole after a hop.
func TestBrokenStreamLooksLikeItsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(served net.Conn, helper *Server)
		whole bool
	}{
		"closed in order": {func(served net.Conn, _ *Server) { served.Close() }, true},
		"reset": {func(served net.Conn, _ *Server) {
			_ = served.(*net.TCPConn).SetLinger(0)
			served.Close()
		}, false},
		"the helper ends": {func(_ net.Conn, helper *Server) { helper.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			stream, served, helper := streamTo(t)
			if _, err := served.Write([]byte("a part")); err != nil {
				t.Fatal(err)
			}
			first := make([]byte, 6)
			if _, err := io.ReadFull(stream, first); err != nil {
				t.Fatal(err)
			}
			go c.end(served, helper)
			_ = stream.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.ReadAll(stream); (err == nil) != c.whole {
				t.Errorf("the stream ended with %v", err)
			}
		})
	}
}

// TestServerWorksOnAfterTheCallerLeft guards against tunnels that outlive the request.
func TestServerWorksOnAfterTheCallerLeft(t *testing.T) {
	stream, served, _ := streamTo(t)
	stream.Close()
	_ = served.SetReadDeadline(time.Now().Add(5 * time.Second))
	var timeout net.Error
	if _, err := served.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("the server's connection is still open: %v", err)
	}
}

func TestStreamIsRefused(t *testing.T) {
	helper, err := Listen(Config{Self: api.NodeRef{ID: "helper"}, Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	helper.Serve(streamer{newRecorder()})
	defer helper.Close()
	stream, answer, err := testOpener().Open(t.Context(), helper.Self().PeerAddress, testConnect{})
	if err != nil || answer != (testAnswer{Text: "no"}) {
		t.Fatalf("%v, %v", answer, err)
	}
	stream.Close()
}

// TestEarlierBuildIsAskedForAStream guards against messages that an earlier build ends its connections for.
func TestEarlierBuildIsAskedForAStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	after := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		connected, err := startServer(context.Background(), conn, Config{Self: api.NodeRef{ID: "old"}}.withDefaults())
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(connected.reader)
		after <- len(rest)
	}()
	known := registry.byName["martenwheel.dev/pkg/peer.testConnect"]
	registry.Lock()
	delete(registry.byName, "martenwheel.dev/pkg/peer.testConnect") // the hello of a build without the type
	registry.Unlock()
	defer func() {
		registry.Lock()
		registry.byName["martenwheel.dev/pkg/peer.testConnect"] = known
		registry.Unlock()
	}()
	if _, _, err := testOpener().Open(t.Context(), listener.Addr().String(), testConnect{Address: "x"}); !errors.Is(err, ErrUnknownType) {
		t.Errorf("error %v", err)
	}
	if n := <-after; n > 0 {
		t.Errorf("%d bytes were sent after the hello", n)
	}
}
