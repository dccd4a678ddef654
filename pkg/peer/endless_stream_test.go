package peer

import (
	"errors"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// Guards against a node that keeps for another one what a server sends without end.
func TestStreamsHoldLittleOfWhatIsNotRead(t *testing.T) {
	const streams = 8
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	helper, err := Listen(Config{Self: api.NodeRef{ID: "helper"}, Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer helper.Close()
	helper.Serve(streamer{newRecorder()})
	before := liveBytes()
	for range streams {
		stream, _, err := testOpener().Open(t.Context(), helper.Self().PeerAddress, testConnect{Address: target.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		served, err := target.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer served.Close()
		sendUntilBlocked(t, served)
	}
	held := int64(liveBytes()) - int64(before)
	t.Logf("%d kB held for %d streams", held/1e3, streams)
	if held > streams*256<<10 {
		t.Errorf("FAULT: %d bytes are held for %d streams", held, streams)
	}
}

// sendUntilBlocked writes to a connection until nobody takes more.
func sendUntilBlocked(t *testing.T, conn net.Conn) {
	t.Helper()
	piece := make([]byte, 64<<10)
	var err error
	for sent := 0; err == nil; sent += len(piece) {
		if sent > 256<<20 {
			t.Fatal("FAULT: the stream takes whatever comes, though nobody reads it")
		}
		_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = conn.Write(piece)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
}

// liveBytes returns the size of the heap without garbage.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
