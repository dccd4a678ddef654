package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// fakePeer is a listener whose connections are handled by a function of the test.
type fakePeer struct {
	listener net.Listener
	calls    atomic.Int32  // number of calls read
	called   chan struct{} // holds a token after a call was read
	done     chan struct{} // closed by stop
	workers  sync.WaitGroup
}

func startFakePeer(t *testing.T, handle func(peer *fakePeer, conn net.Conn)) *fakePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &fakePeer{listener: listener, called: make(chan struct{}, 1), done: make(chan struct{})}
	peer.workers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			peer.workers.Go(func() {
				defer conn.Close()
				handle(peer, conn)
			})
		}
	})
	t.Cleanup(peer.stop)
	return peer
}

// stop closes the listener and waits for the handlers of its connections, which the
// other end must have closed. It may be called more than once.
func (p *fakePeer) stop() {
	if p.listener.Close() == nil {
		close(p.done)
	}
	p.workers.Wait()
}

func (p *fakePeer) address() string {
	return p.listener.Addr().String()
}

// exchangeHellos exchanges hellos as a server does.
func exchangeHellos(conn net.Conn) *bufio.Reader {
	reader := readerAfterHello(conn)
	conn.Write(encodeHello(api.NodeRef{ID: "fake"}))
	return reader
}

// readerAfterHello reads the other end's hello and returns a reader of what follows it.
func readerAfterHello(conn net.Conn) *bufio.Reader {
	reader := bufio.NewReader(conn)
	_, _ = readHello(reader) // an invalid hello ends the connection
	return reader
}

// readCalls counts calls until the connection ends or limit calls were read.
func (p *fakePeer) readCalls(reader *bufio.Reader, limit int) {
	var decoder decoder
	frames := newFrameReader(reader, MaxMessageBytes)
	for seen := 0; seen < limit; {
		data, err := frames.next()
		if err != nil {
			return
		}
		if received, err := decoder.decode(data); err == nil && received.kind == frameCall {
			p.calls.Add(1)
			seen++
			select {
			case p.called <- struct{}{}:
			default:
			}
		}
	}
}

// answerWith returns a handler that reads one call and answers it with raw bytes.
func answerWith(data []byte) func(*fakePeer, net.Conn) {
	return func(peer *fakePeer, conn net.Conn) {
		peer.readCalls(exchangeHellos(conn), 1)
		conn.Write(data)
	}
}

func writeOnce(data []byte) func(*fakePeer, net.Conn) {
	return func(_ *fakePeer, conn net.Conn) {
		conn.Write(data)
		io.Copy(io.Discard, conn)
	}
}

func otherVersion() []byte {
	opening := encodeHello(api.NodeRef{ID: "fake"})
	binary.BigEndian.PutUint16(opening[len(magic):], Version+1)
	return opening
}

func validAnswer(call uint64) []byte {
	var encoder encoder
	data, err := encoder.encode(frame{kind: frameAnswer, call: call, message: testAnswer{Text: "x"}, typeName: "martenwheel.dev/pkg/peer.testAnswer"})
	if err != nil {
		panic(err)
	}
	return data
}

// peerFaults lists faults of a peer that is called.
var peerFaults = []struct {
	name  string
	peer  func(peer *fakePeer, conn net.Conn)
	want  error
	calls int32    // calls that the peer receives; never more than one
	waits Timeouts // client timeouts, where only these end the call
}{
	{"closes at once", func(*fakePeer, net.Conn) {}, ErrUnreachable, 0, Timeouts{}},
	{"never says hello", func(_ *fakePeer, conn net.Conn) { io.Copy(io.Discard, conn) }, ErrUnreachable, 0, Timeouts{Dial: 100 * time.Millisecond}},
	{"speaks HTTP", writeOnce([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")), ErrUnreachable, 0, Timeouts{}},
	{"other version", writeOnce(otherVersion()), ErrUnreachable, 0, Timeouts{}},
	{"oversized hello", writeOnce(binary.AppendUvarint(encodeHello(api.NodeRef{})[:len(magic)+2], maxHelloBytes+1)), ErrUnreachable, 0, Timeouts{}},
	{"hello is no gob", writeOnce(append(encodeHello(api.NodeRef{})[:len(magic)+2], 3, 1, 2, 3)), ErrUnreachable, 0, Timeouts{}},
	{"closes before the answer", answerWith(nil), ErrUnknownOutcome, 1, Timeouts{}},
	{"closes in the answer", answerWith(validAnswer(1)[:5]), ErrUnknownOutcome, 1, Timeouts{}},
	{"oversized answer", answerWith(binary.AppendUvarint(nil, MaxMessageBytes+1)), ErrUnknownOutcome, 1, Timeouts{}},
	{"empty answer", answerWith([]byte{0}), ErrUnknownOutcome, 1, Timeouts{}},
	{"garbage answer", answerWith([]byte("\x05\x83\x01\x01\x7fx")), ErrUnknownOutcome, 1, Timeouts{}},
	{"answer with bytes left", answerWith(append([]byte{6}, "\x83\x01\x00abc"...)), ErrUnknownOutcome, 1, Timeouts{}},
	{"unknown type", answerWith([]byte("\x06\x83\x01\x01\x02no")), ErrUnknownOutcome, 1, Timeouts{}},
	{"second hello", answerWith(encodeHello(api.NodeRef{ID: "fake"})), ErrUnknownOutcome, 1, Timeouts{}},
	{"answer to another call", answerWith(validAnswer(2)), ErrUnknownOutcome, 1, Timeouts{}},
	{"half-open", func(peer *fakePeer, conn net.Conn) { peer.readCalls(exchangeHellos(conn), 10) }, ErrUnknownOutcome, 1, Timeouts{Ping: 100 * time.Millisecond}},
	{"reads nothing", func(peer *fakePeer, conn net.Conn) { exchangeHellos(conn); <-peer.done }, ErrUnknownOutcome, 0, Timeouts{Ping: 100 * time.Millisecond}},
}

func TestCallsToFaultyPeers(t *testing.T) {
	for _, fault := range peerFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			peer := startFakePeer(t, fault.peer)
			config := testConfig("client")
			setDefault(&fault.waits.Dial, config.Timeouts.Dial)
			setDefault(&fault.waits.Ping, config.Timeouts.Ping)
			config.Timeouts.Dial, config.Timeouts.Ping = fault.waits.Dial, fault.waits.Ping
			client := startTestClient(t, config)
			_, err := client.Call(t.Context(), peer.address(), testQuestion{Text: "x"})
			if !errors.Is(err, fault.want) {
				t.Errorf("got %v, want %v", err, fault.want)
			}
			client.Close()
			peer.stop()
			if calls := peer.calls.Load(); calls != fault.calls {
				t.Errorf("peer got %d calls, want %d", calls, fault.calls)
			}
		})
	}
}

func TestCallToClosedPort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	client := startTestClient(t, testConfig("client"))
	for range 2 { // the second call is made during the back-off
		_, err = client.Call(t.Context(), listener.Addr().String(), testQuestion{Text: "x"})
		if !errors.Is(err, ErrUnreachable) {
			t.Errorf("got %v, want %v", err, ErrUnreachable)
		}
	}
}

func TestCallGivenUp(t *testing.T) {
	peer := startFakePeer(t, func(peer *fakePeer, conn net.Conn) { peer.readCalls(exchangeHellos(conn), 10) })
	client := startTestClient(t, testConfig("client"))
	ctx, cancel := context.WithCancel(t.Context())
	var caller sync.WaitGroup
	caller.Go(func() {
		<-peer.called
		cancel()
	})
	_, err := client.Call(ctx, peer.address(), testQuestion{Text: "x"})
	caller.Wait()
	if !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("call given up after it was written: got %v, want %v", err, ErrUnknownOutcome)
	}
	_, err = client.Call(ctx, peer.address(), testQuestion{Text: strings.Repeat("x", 100)})
	if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnreachable) {
		t.Errorf("call whose context has ended: got %v", err)
	}
}

func TestCallAfterClose(t *testing.T) {
	client := startTestClient(t, testConfig("client"))
	client.Close()
	if _, err := client.Call(t.Context(), "127.0.0.1:1", testQuestion{Text: "x"}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want %v", err, ErrUnreachable)
	}
}

// TestStalledReaderBlocksNobody fills the connection to a peer that reads nothing.
// Send must still return, the queue must stay bounded, and a call to another peer
// must be answered.
func TestStalledReaderBlocksNobody(t *testing.T) {
	peer := startFakePeer(t, func(peer *fakePeer, conn net.Conn) { exchangeHellos(conn); <-peer.done })
	config := testConfig("client")
	config.Timeouts.Write = 200 * time.Millisecond
	config.Limits.QueueLength = 4
	client := startTestClient(t, config)
	for range 100 {
		client.Send(peer.address(), testQuestion{Text: strings.Repeat("x", 1<<20)})
	}
	server := startTestServer(t, testConfig("server"), newRecorder())
	if _, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "x"}); err != nil {
		t.Error(err)
	}
	client.mutex.Lock()
	target := client.links[peer.address()]
	client.mutex.Unlock()
	target.mutex.Lock()
	defer target.mutex.Unlock()
	if len(target.queue) > config.Limits.QueueLength {
		t.Errorf("%d messages are queued, the limit is %d", len(target.queue), config.Limits.QueueLength)
	}
}

// TestReconnectAfterPeerRestart checks that messages arrive again after a restart of
// the peer, and that the message before the restart is not sent again.
func TestReconnectAfterPeerRestart(t *testing.T) {
	handler := newRecorder()
	server, err := Listen(testConfig("server"))
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(handler)
	address := server.Self().PeerAddress
	client := startTestClient(t, testConfig("client"))
	var hours atomic.Int64 // advances by an hour on each call, so back-offs are always over
	client.clock = func() time.Time { return time.Unix(hours.Add(1)*3600, 0) }
	if _, err := client.Call(t.Context(), address, testQuestion{Text: "before"}); err != nil {
		t.Fatal(err)
	}
	server.Close()
	config := testConfig("server")
	config.Address = address
	startTestServer(t, config, handler)
	for attempt := 0; ; attempt++ {
		_, err := client.Call(t.Context(), address, testQuestion{Text: "after"})
		if err == nil {
			break
		}
		if attempt == 100 {
			t.Fatalf("cannot connect after the restart: %v", err)
		}
	}
	texts := handler.received()
	if len(texts) < 2 || texts[0] != "before" || texts[len(texts)-1] != "after" {
		t.Errorf("handler got %v", texts)
	}
	for _, text := range texts[1:] {
		if text == "before" {
			t.Error("a message was sent twice")
		}
	}
}

// clientFaults lists faults of a peer that connects.
var clientFaults = []struct {
	name string
	data func() []byte
}{
	{"nothing", func() []byte { return nil }},
	{"HTTP", func() []byte { return []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n") }},
	{"other version", otherVersion},
	{"hello cut off", func() []byte { return encodeHello(api.NodeRef{ID: "x"})[:12] }},
	{"hello twice", func() []byte {
		opening := encodeHello(api.NodeRef{ID: "x"})
		return append(opening, opening...)
	}},
	{"oversized frame", func() []byte {
		return binary.AppendUvarint(encodeHello(api.NodeRef{ID: "x"}), MaxMessageBytes+1)
	}},
	{"frame cut off", func() []byte {
		return append(encodeHello(api.NodeRef{ID: "x"}), 100, 0x81, 1)
	}},
	{"no stream started", func() []byte {
		return append(encodeHello(api.NodeRef{ID: "x"}), 2, 1, 1)
	}},
	{"answer instead of a call", func() []byte {
		return append(encodeHello(api.NodeRef{ID: "x"}), validAnswer(1)...)
	}},
	{"call without a message", func() []byte {
		return append(encodeHello(api.NodeRef{ID: "x"}), 3, 0x82, 1, 0)
	}},
	{"unknown type", func() []byte {
		return append(encodeHello(api.NodeRef{ID: "x"}), "\x06\x82\x01\x01\x02no"...)
	}},
}

func TestFaultyClientsReachNoHandler(t *testing.T) {
	handler := newRecorder()
	server := startTestServer(t, testConfig("server"), handler)
	address := server.Self().PeerAddress
	for _, fault := range clientFaults {
		t.Run(fault.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.Write(fault.data())
			conn.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, conn) // wait until the server closes the connection
		})
	}
	if texts := handler.received(); len(texts) != 0 {
		t.Errorf("handler got %v", texts)
	}
	client := startTestClient(t, testConfig("client"))
	if _, err := client.Call(t.Context(), address, testQuestion{Text: "x"}); err != nil {
		t.Errorf("call after the faulty clients: %v", err)
	}
}

// TestSilentClientIsDropped checks that the server closes connections on which no
// hello, or no frame after the hello, arrives in time.
func TestSilentClientIsDropped(t *testing.T) {
	config := testConfig("server")
	config.Timeouts.Dial, config.Timeouts.Idle = 50*time.Millisecond, 50*time.Millisecond
	server := startTestServer(t, config, newRecorder())
	for name, data := range map[string][]byte{"no hello": nil, "no frame": encodeHello(api.NodeRef{ID: "x"})} {
		conn, err := net.Dial("tcp", server.Self().PeerAddress)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(data)
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		conn.Close()
	}
}
