package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// The tests in this file cover nodes of two builds that run at the same time, as in a rolling update. An
// earlier build closes the connection at a message of a type that it does not know, which aborts the
// heartbeats and calls pending on it. Such a type must be sent to it at most once, or connections would
// be closed again and again.

// testRecent is a type that is unknown to some builds whose hello lists no types.
type testRecent struct {
	Question testQuestion
}

const (
	recentName   = "martenwheel.dev/pkg/peer.testRecent"
	questionName = "martenwheel.dev/pkg/peer.testQuestion"
)

func init() { RegisterRecent(testRecent{}) }

// helloWith returns the hello of a build that lists the given hashes of types.
func helloWith(t *testing.T, kinds ...uint32) []byte {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(hello{Self: api.NodeRef{ID: "other", Incarnation: 3}, Kinds: kinds}); err != nil {
		t.Error(err)
	}
	opening := binary.BigEndian.AppendUint16([]byte(magic), Version)
	return append(binary.AppendUvarint(opening, uint64(body.Len())), body.Bytes()...)
}

// startEarlierBuild starts a peer that answers testQuestion and, like earlier builds, closes the connection at a
// testRecent message. It returns the peer and a function that counts the closed connections.
func startEarlierBuild(t *testing.T, hello []byte) (*fakePeer, func() int) {
	closed := make(chan struct{}, 100)
	p := startFakePeer(t, func(p *fakePeer, conn net.Conn) {
		frames := newFrameReader(exchangeHellosWith(conn, hello), MaxMessageBytes)
		var in decoder
		var out encoder
		for {
			data, err := frames.next()
			if err != nil {
				return
			}
			received, err := in.decode(data)
			if err != nil || received.typeName == recentName {
				closed <- struct{}{}
				return
			}
			if received.kind != frameCall {
				continue
			}
			answer, err := out.encode(frame{kind: frameAnswer, call: received.call, message: testAnswer{}, typeName: "martenwheel.dev/pkg/peer.testAnswer"})
			if err != nil {
				return
			}
			conn.Write(answer)
		}
	})
	return p, func() int { return len(closed) }
}

func exchangeHellosWith(conn net.Conn, hello []byte) byteReader {
	reader := readerAfterHello(conn)
	conn.Write(hello)
	return reader
}

func TestPeerThatListsNoTypesLosesOneConnection(t *testing.T) {
	p, closed := startEarlierBuild(t, helloWith(t))
	client := startTestClient(t, testConfig("client"))
	if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("first message of an unknown type: %v", err)
	}
	for range 20 {
		if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownType) {
			t.Fatalf("further message of an unknown type: %v", err)
		}
		client.Send(p.address(), testRecent{})
		if _, err := client.Call(t.Context(), p.address(), testQuestion{}); err != nil {
			t.Fatalf("message of a known type: %v", err)
		}
	}
	if n := closed(); n != 1 {
		t.Errorf("peer closed %d connections", n)
	}
}

func TestPeerThatListsItsTypesGetsNoOther(t *testing.T) {
	p, closed := startEarlierBuild(t, helloWith(t, typeHash(questionName)))
	client := startTestClient(t, testConfig("client"))
	for range 20 {
		if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownType) {
			t.Fatalf("message of an unknown type: got %v, want ErrUnknownType", err)
		}
		if _, err := client.Call(t.Context(), p.address(), testQuestion{}); err != nil {
			t.Fatalf("message of a known type: %v", err)
		}
	}
	if n := closed(); n != 0 {
		t.Errorf("peer closed %d connections", n)
	}
}

// TestMessagesOfUnknownTypeAreIgnored checks that the connection stays usable after a message of an
// unknown type, even if gob described a shared field type for the first time in that message.
func TestMessagesOfUnknownTypeAreIgnored(t *testing.T) {
	handler := newRecorder()
	server := startTestServer(t, testConfig("server"), handler)
	conn, err := net.Dial("tcp", server.Self().PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(encodeHello(api.NodeRef{ID: "later"}))
	var out encoder
	for _, f := range []frame{
		{kind: frameSend, message: testRecent{testQuestion{"no"}}, typeName: "martenwheel.dev/pkg/peer.ofALaterBuild"},
		{kind: frameCall, call: 1, message: testRecent{testQuestion{"no"}}, typeName: "martenwheel.dev/pkg/peer.ofALaterBuild"},
		{kind: frameCall, call: 2, message: testQuestion{"yes"}, typeName: questionName},
	} {
		data, err := out.encode(f)
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(data)
	}
	reader := readerAfterHello(conn)
	frames := newFrameReader(reader, MaxMessageBytes)
	var in decoder
	seen := make(map[uint64]frame)
	for len(seen) < 2 {
		data, err := frames.next()
		if errors.Is(err, io.EOF) || err != nil {
			t.Fatal("connection ended:", err)
		}
		f, err := in.decode(data)
		if err != nil {
			t.Fatal(err)
		}
		seen[f.call] = f
	}
	if f := seen[1]; f.kind != frameError || !strings.Contains(f.text, "does not know") {
		t.Errorf("answer to the call of unknown type: %+v", f)
	}
	if f := seen[2]; f.message != (testAnswer{"yes"}) {
		t.Errorf("answer to the call of known type: %+v", f)
	}
}
