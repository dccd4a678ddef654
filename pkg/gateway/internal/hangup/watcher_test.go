package hangup

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// connect returns the two ends of a TCP connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var group conc.WaitGroup
	group.Go(func() { near, _ = listener.Accept() })
	far, err = net.Dial("tcp", listener.Addr().String())
	group.Wait()
	if err != nil || near == nil {
		t.Fatal("no connection", err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// pollUntil calls Poll until the hang-up is reported.
func pollUntil(t *testing.T, watcher *Watcher, reported *bool) {
	t.Helper()
	for start := time.Now(); !*reported; {
		watcher.Poll()
		if time.Since(start) > 20*time.Second {
			t.Fatal("the hang-up was not detected")
		}
	}
}

func TestHangUpIsSeen(t *testing.T) {
	hangUps := map[string]func(far net.Conn){
		"closed":                  func(far net.Conn) { _ = far.Close() },
		"reset":                   func(far net.Conn) { _ = far.(*net.TCPConn).SetLinger(0); _ = far.Close() },
		"half closed":             func(far net.Conn) { _ = far.(*net.TCPConn).CloseWrite() },
		"closed after more bytes": func(far net.Conn) { _, _ = far.Write([]byte("pipelined")); _ = far.Close() },
	}
	for name, hangUp := range hangUps {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			watcher := NewWatcher(time.Hour)
			reports := 0
			reported := false
			watcher.Add(near, func() {
				reports++
				reported = true
			})
			watcher.Poll()
			if reported {
				t.Fatal("reported too early")
			}
			hangUp(far)
			pollUntil(t, watcher, &reported)
			watcher.Poll()
			if reports != 1 {
				t.Errorf("reported %d times", reports)
			}
		})
	}
}

// TestBytesAreNoHangUp checks that unread bytes are not taken for a hang-up and
// stay readable.
func TestBytesAreNoHangUp(t *testing.T) {
	near, far := connect(t)
	watcher := NewWatcher(time.Hour)
	watcher.Add(near, func() { t.Error("reported") })
	_, _ = far.Write([]byte("next"))
	for range 100 {
		watcher.Poll()
	}
	buffer := make([]byte, 4)
	if _, err := near.Read(buffer); err != nil || string(buffer) != "next" {
		t.Errorf("read %q, error %v", buffer, err)
	}
}

// TestPassedReadDeadline checks that an expired read deadline on the connection is
// not taken for a hang-up. The HTTP server's read deadline expires while a request
// waits.
func TestPassedReadDeadline(t *testing.T) {
	near, _ := connect(t)
	_ = near.SetReadDeadline(time.Now().Add(-time.Hour))
	watcher := NewWatcher(time.Hour)
	watcher.Add(near, func() { t.Error("reported") })
	watcher.Poll()
}

func TestStoppedWatchIsSilent(t *testing.T) {
	near, far := connect(t)
	watcher := NewWatcher(time.Hour)
	watch := watcher.Add(near, func() { t.Error("reported") })
	watch.Stop()
	watch.Stop()
	_ = far.Close()
	watcher.Poll()
}

func TestSocketBelowTLS(t *testing.T) {
	near, far := connect(t)
	watcher := NewWatcher(time.Hour)
	reported := false
	watcher.Add(tls.Server(near, &tls.Config{}), func() { reported = true })
	_ = far.Close()
	pollUntil(t, watcher, &reported)
}

func TestConnectionWithoutSocket(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	watch := NewWatcher(time.Hour).Add(near, func() {})
	if watch != nil {
		t.Error("a connection without a socket is watched")
	}
	watch.Stop()
}
