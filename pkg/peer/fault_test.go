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

// fakePeer is a listener whose connections are handled by a function.
type fakePeer struct {
	listener net.Listener
	calls    atomic.Int32  // frames with a call that were read
	called   chan struct{} // holds a token after the first
	done     chan struct{} // closed when the caller has finished
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

// stop ends the listener and waits for the connections, which the caller has
// closed. It may be called again.
func (p *fakePeer) stop() {
	if p.listener.Close() == nil {
		close(p.done)
	}
	p.workers.Wait()
}

func (p *fakePeer) address() string {
	return p.listener.Addr().String()
}

// greet exchanges hellos as a server.
func greet(conn net.Conn) *bufio.Reader {
	reader := greetReader(conn)
	conn.Write(encodeHello(api.NodeRef{ID: "fake"}))
	return reader
}

// greetReader reads the other end's hello and returns what comes after it.
func greetReader(conn net.Conn) *bufio.Reader {
	reader := bufio.NewReader(conn)
	_, _ = readHello(reader) // one that is none ends the connection
	return reader
}

// readCalls counts calls until the connection ends or limit is reached.
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

// answerWith reads one call and writes bytes.
func answerWith(data []byte) func(*fakePeer, net.Conn) {
	return func(peer *fakePeer, conn net.Conn) {
		peer.readCalls(greet(conn), 1)
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

// peerFaults is the table of what may be wrong with a peer that is called.
var peerFaults = []struct {
	name  string
	peer  func(peer *fakePeer, conn net.Conn)
	want  error
	calls int32    // that the peer gets: never more than one
	waits Timeouts // of the client, where only they end the call
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
	{"half-open", func(peer *fakePeer, conn net.Conn) { peer.readCalls(greet(conn), 10) }, ErrUnknownOutcome, 1, Timeouts{Ping: 100 * time.Millisecond}},
	{"reads nothing", func(peer *fakePeer, conn net.Conn) { greet(conn); <-peer.done }, ErrUnknownOutcome, 0, Timeouts{Ping: 100 * time.Millisecond}},
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
	for range 2 { // the second within the back-off
		_, err = client.Call(t.Context(), listener.Addr().String(), testQuestion{Text: "x"})
		if !errors.Is(err, ErrUnreachable) {
			t.Errorf("got %v, want %v", err, ErrUnreachable)
		}
	}
}

func TestCallGivenUp(t *testing.T) {
	peer := startFakePeer(t, func(peer *fakePeer, conn net.Conn) { peer.readCalls(greet(conn), 10) })
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
		t.Errorf("call that was written: got %v, want %v", err, ErrUnknownOutcome)
	}
	_, err = client.Call(ctx, peer.address(), testQuestion{Text: strings.Repeat("x", 100)})
	if !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrUnreachable) {
		t.Errorf("call given up at once: got %v", err)
	}
}

func TestCallAfterClose(t *testing.T) {
	client := startTestClient(t, testConfig("client"))
	client.Close()
	if _, err := client.Call(t.Context(), "127.0.0.1:1", testQuestion{Text: "x"}); !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want %v", err, ErrUnreachable)
	}
}

// TestStalledReaderBlocksNobody fills the connection to a peer that reads
// nothing: Send returns, and a call to another peer is answered.
func TestStalledReaderBlocksNobody(t *testing.T) {
	peer := startFakePeer(t, func(peer *fakePeer, conn net.Conn) { greet(conn); <-peer.done })
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
		t.Errorf("%d messages wait, allowed are %d", len(target.queue), config.Limits.QueueLength)
	}
}

// TestReconnectAfterPeerRestart shows that a message after a restart arrives
// once, and that the one before it is not repeated.
func TestReconnectAfterPeerRestart(t *testing.T) {
	handler := newRecorder()
	server, err := Listen(testConfig("server"))
	if err != nil {
		t.Fatal(err)
	}
	server.Serve(handler)
	address := server.Self().PeerAddress
	client := startTestClient(t, testConfig("client"))
	var hours atomic.Int64 // each look at the clock ends a back-off
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
			t.Fatalf("no connection after the restart: %v", err)
		}
	}
	texts := handler.received()
	if len(texts) < 2 || texts[0] != "before" || texts[len(texts)-1] != "after" {
		t.Errorf("handler got %v", texts)
	}
	for _, text := range texts[1:] {
		if text == "before" {
			t.Error("a message was repeated")
		}
	}
}

// clientFaults is the table of what may be wrong with a peer that connects.
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
			io.Copy(io.Discard, conn) // until the server closes it
		})
	}
	if texts := handler.received(); len(texts) != 0 {
		t.Errorf("handler got %v", texts)
	}
	client := startTestClient(t, testConfig("client"))
	if _, err := client.Call(t.Context(), address, testQuestion{Text: "x"}); err != nil {
		t.Errorf("after the faults: %v", err)
	}
}

// TestSilentClientIsDropped checks that the server ends connections on which no
// hello, or no frame after it, arrives in time.
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
