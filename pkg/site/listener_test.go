package site

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// exhaustedListener accepts nothing for want of descriptors until it is relieved.
type exhaustedListener struct {
	relieved atomic.Bool
	conns    chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newExhaustedListener() *exhaustedListener {
	return &exhaustedListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	if !l.relieved.Load() {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case conn := <-l.conns:
		return conn, nil
	}
}

func (l *exhaustedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

// exhaustion is how long descriptors are short: the HTTP server's pauses have their full length by then, and one has just begun.
const exhaustion = 2300 * time.Millisecond

// Guards against a planned stop that waits for the pause of an HTTP server without descriptors.
func TestStopIsNotHeldUpByALackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newExhaustedListener()
		s := newStoppableSite(hclog.NewNullLogger())
		server := &http.Server{Handler: http.NotFoundHandler(), ErrorLog: s.Logger.StandardLogger(nil)}
		served := make(chan error, 1)
		conns := s.newCallers(&listener{Listener: inner, logger: s.Logger})
		go func() { served <- server.Serve(conns) }()
		time.Sleep(exhaustion)
		began := time.Now()
		s.stop(server, conns)
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("the server ended with %v", err)
		}
		if took := time.Since(began); took > shutdownTimeout+stopPollInterval {
			t.Errorf("the stop of an idle node took %v, want %v at most", took, shutdownTimeout+stopPollInterval)
		}
	})
}

// Guards against callers that wait although descriptors are free again.
func TestCallersAreAcceptedSoonAfterALackOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := newExhaustedListener()
		handled := make(chan time.Time, 1)
		server := &http.Server{
			Handler:  http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled <- time.Now() }),
			ErrorLog: hclog.NewNullLogger().StandardLogger(nil),
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(&listener{Listener: inner, logger: hclog.NewNullLogger()}) }()
		time.Sleep(exhaustion)
		inner.relieved.Store(true)
		relieved := time.Now()
		caller, conn := net.Pipe()
		inner.conns <- conn
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if waited := (<-handled).Sub(relieved); waited > acceptPause {
			t.Errorf("the caller waited %v, want %v at most", waited, acceptPause)
		}
		_ = caller.Close()
		_ = server.Close()
		<-served
	})
}

// Guards against senders that fill as much of the system's memory as it lets them while nobody reads.
func TestUnreadBytesAreBounded(t *testing.T) {
	t.Parallel()
	l, err := Listen("127.0.0.1:0", hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sender, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		size, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		if err != nil || size > 2*receiveBytes {
			t.Errorf("%d bytes, %v", size, err)
		}
	}); err != nil {
		t.Fatal(err)
	}
}
