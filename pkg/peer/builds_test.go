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

// Two builds beside each other: one message of a type that the other build does not know closed the
// connection, and with it the beats and questions under way on it, again and again while machines were
// replaced. Earlier builds still close it; this one sends them such a type once at most.

// testRecent is a type that some builds lack which don't tell their types.
type testRecent struct {
	Question testQuestion
}

const (
	recentName   = "martenwheel.dev/pkg/peer.testRecent"
	questionName = "martenwheel.dev/pkg/peer.testQuestion"
)

func init() { RegisterRecent(testRecent{}) }

// helloWith is encodeHello of a build that tells some types.
func helloWith(t *testing.T, kinds ...uint32) []byte {
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(hello{Self: api.NodeRef{ID: "other", Incarnation: 3}, Kinds: kinds}); err != nil {
		t.Error(err)
	}
	opening := binary.BigEndian.AppendUint16([]byte(magic), Version)
	return append(binary.AppendUvarint(opening, uint64(body.Len())), body.Bytes()...)
}

// otherBuild answers questions and, as builds before this one did, closes the connection at a message
// of a type that it does not know. It returns its address and how often that happened.
func otherBuild(t *testing.T, hello []byte) (*fakePeer, func() int) {
	closed := make(chan struct{}, 100)
	p := startFakePeer(t, func(p *fakePeer, conn net.Conn) {
		frames := newFrameReader(greetWith(conn, hello), MaxMessageBytes)
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

func greetWith(conn net.Conn, hello []byte) byteReader {
	reader := greetReader(conn)
	conn.Write(hello)
	return reader
}

func TestABuildThatTellsNoTypesLosesOneConnection(t *testing.T) {
	p, closed := otherBuild(t, helloWith(t))
	client := startTestClient(t, testConfig("client"))
	if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("the first message of a type that it lacks: %v", err)
	}
	for range 20 {
		if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownType) {
			t.Fatalf("a further one: %v", err)
		}
		client.Send(p.address(), testRecent{})
		if _, err := client.Call(t.Context(), p.address(), testQuestion{}); err != nil {
			t.Fatalf("a type that it knows: %v", err)
		}
	}
	if n := closed(); n != 1 {
		t.Errorf("it closed %d connections", n)
	}
}

func TestABuildThatTellsItsTypesGetsNoOther(t *testing.T) {
	p, closed := otherBuild(t, helloWith(t, markOf(questionName)))
	client := startTestClient(t, testConfig("client"))
	for range 20 {
		if _, err := client.Call(t.Context(), p.address(), testRecent{}); !errors.Is(err, ErrUnknownType) {
			t.Fatalf("a type that it lacks: %v", err)
		}
		if _, err := client.Call(t.Context(), p.address(), testQuestion{}); err != nil {
			t.Fatalf("a type that it knows: %v", err)
		}
	}
	if n := closed(); n != 0 {
		t.Errorf("it closed %d connections", n)
	}
}

// TestMessagesOfLaterBuildsArePassedOver: what comes after them on the connection is handled, also if
// the unknown message was the first to use a type that others use as well.
func TestMessagesOfLaterBuildsArePassedOver(t *testing.T) {
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
	reader := greetReader(conn)
	frames := newFrameReader(reader, MaxMessageBytes)
	var in decoder
	seen := make(map[uint64]frame)
	for len(seen) < 2 {
		data, err := frames.next()
		if errors.Is(err, io.EOF) || err != nil {
			t.Fatal("the connection ended:", err)
		}
		f, err := in.decode(data)
		if err != nil {
			t.Fatal(err)
		}
		seen[f.call] = f
	}
	if f := seen[1]; f.kind != frameError || !strings.Contains(f.text, "does not know") {
		t.Errorf("the unknown call is answered %+v", f)
	}
	if f := seen[2]; f.message != (testAnswer{"yes"}) {
		t.Errorf("the known call is answered %+v", f)
	}
}
