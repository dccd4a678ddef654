package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

const codecSeed = 20261202

// exchangeFrames encodes frames as one stream, without those that are too large,
// and decodes the stream.
func exchangeFrames(t *testing.T, frames []frame) []frame {
	t.Helper()
	var encoder encoder
	var stream bytes.Buffer
	for _, f := range frames {
		data, err := encoder.encode(f)
		if errors.Is(err, ErrTooLarge) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		stream.Write(data)
	}
	var decoder decoder
	var decoded []frame
	reader := bufio.NewReader(&stream)
	received := newFrameReader(reader, MaxMessageBytes)
	for stream.Len() > 0 || reader.Buffered() > 0 {
		data, err := received.next()
		if err != nil {
			t.Fatal(err)
		}
		f, err := decoder.decode(data)
		if err != nil {
			t.Fatal(err)
		}
		decoded = append(decoded, f)
	}
	return decoded
}

func testFrame(kind frameKind, call uint64, text string) frame {
	f := frame{kind: kind}
	switch kind {
	case frameError:
		f.call, f.text = call, text
	case frameCall, frameAnswer:
		f.call = call
		f.message, f.typeName = testAnswer{Text: text}, "martenwheel.dev/pkg/peer.testAnswer"
	case frameSend:
		f.message, f.typeName = testQuestion{Text: text}, "martenwheel.dev/pkg/peer.testQuestion"
	}
	return f
}

func TestFramesRoundTrip(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(codecSeed)
	properties := gopter.NewProperties(parameters)
	properties.Property("decode reverses encode", prop.ForAll(
		func(kinds []int, call uint64, text string) bool {
			frames := make([]frame, len(kinds))
			for index, kind := range kinds {
				frames[index] = testFrame(frameKind(kind), call, text)
			}
			decoded := exchangeFrames(t, frames)
			return len(frames) == 0 || reflect.DeepEqual(decoded, frames)
		},
		gen.SliceOf(gen.IntRange(int(frameSend), int(framePong))), gen.UInt64(), gen.AnyString(),
	))
	properties.TestingRun(t)
}

// TestStreamGoesOnAfterTooLargeFrame checks that the stream can still be decoded
// after a frame that was too large to send: types that were described in that frame
// must be described again.
func TestStreamGoesOnAfterTooLargeFrame(t *testing.T) {
	huge := testFrame(frameCall, 1, strings.Repeat("x", MaxMessageBytes))
	small := []frame{testFrame(frameSend, 0, "a"), testFrame(frameCall, 2, "b"), testFrame(frameSend, 0, "c")}
	decoded := exchangeFrames(t, []frame{huge, small[0], huge, small[1], small[2]})
	if !reflect.DeepEqual(decoded, small) {
		t.Errorf("got %v, want %v", decoded, small)
	}
}

func TestRegisterAcceptsNamedStructsOnly(t *testing.T) {
	for _, message := range []Message{nil, "text", &testQuestion{}, struct{ A int }{}} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%T was registered", message)
				}
			}()
			Register(message)
		}()
	}
}

// FuzzDecodeFrames decodes a stream of frames from arbitrary bytes. The decoder must
// not panic, and frames that it accepts must have a valid size and kind.
func FuzzDecodeFrames(f *testing.F) {
	var encoder encoder
	var valid bytes.Buffer
	random := rand.New(rand.NewPCG(codecSeed, 0))
	for kind := frameSend; kind <= framePong; kind++ {
		data, err := encoder.encode(testFrame(kind, random.Uint64N(1000), "text"))
		if err != nil {
			f.Fatal(err)
		}
		valid.Write(data)
	}
	f.Add(valid.Bytes())
	f.Add(validAnswer(1))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1 << 16
		var decoder decoder
		frames := newFrameReader(bytes.NewReader(data), limit)
		for {
			body, err := frames.next()
			if err != nil {
				return
			}
			if len(body) > limit {
				t.Fatalf("frame of %d bytes accepted", len(body))
			}
			received, err := decoder.decode(body)
			if err != nil {
				return
			}
			if received.kind < frameSend || received.kind > framePong {
				t.Fatalf("frame of kind %d accepted", received.kind)
			}
		}
	})
}

// FuzzReadHello reads a hello from arbitrary bytes.
func FuzzReadHello(f *testing.F) {
	f.Add(encodeHello(testConfig("x").Self))
	f.Add(otherVersion())
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = readHello(bufio.NewReader(bytes.NewReader(data)))
	})
}

// periodicMessage has the fields of the most frequent message, a probe without
// news.
type periodicMessage struct {
	Header      struct{ Refutation, TableHash uint32 }
	Sequence    uint64
	KnownDigest uint64
}

type envelope struct {
	Call    uint64
	Message any
}

// BenchmarkEncoding compares ways of encoding a periodic message. It measures bytes
// and time per message after the first message of a stream.
func BenchmarkEncoding(b *testing.B) {
	Register(periodicMessage{})
	message := periodicMessage{Sequence: 100_000, KnownDigest: 1000}
	message.Header.TableHash = 0xdeadbeef
	name, err := nameOf(message)
	if err != nil {
		b.Fatal(err)
	}
	gob.RegisterName(name, periodicMessage{})
	b.Run("numbered types in one stream", func(b *testing.B) {
		var encoder encoder
		out := frame{kind: frameSend, message: message, typeName: name}
		encoder.encode(out)
		size := 0
		b.ReportAllocs()
		for range b.N {
			data, _ := encoder.encode(out)
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes/message")
	})
	b.Run("interface in one stream", func(b *testing.B) {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		encoder.Encode(envelope{Message: message})
		size := 0
		b.ReportAllocs()
		for range b.N {
			buffer.Reset()
			encoder.Encode(envelope{Message: message})
			size = buffer.Len()
		}
		b.ReportMetric(float64(size), "bytes/message")
	})
	b.Run("encoder per message", func(b *testing.B) {
		var buffer bytes.Buffer
		size := 0
		b.ReportAllocs()
		for range b.N {
			buffer.Reset()
			gob.NewEncoder(&buffer).Encode(envelope{Message: message})
			size = buffer.Len()
		}
		b.ReportMetric(float64(size), "bytes/message")
	})
}

// echo answers each question with its text.
type echo struct{}

func (echo) HandleMessage(_ context.Context, _ api.NodeRef, message Message) (Message, error) {
	return testAnswer(message.(testQuestion)), nil
}

func benchmarkPair(b *testing.B) (*Client, string) {
	server, err := Listen(testConfig("server"))
	if err != nil {
		b.Fatal(err)
	}
	server.Serve(echo{})
	client := NewClient(testConfig("client"))
	b.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server.Self().PeerAddress
}

func BenchmarkCall(b *testing.B) {
	client, address := benchmarkPair(b)
	b.ReportAllocs()
	for range b.N {
		if _, err := client.Call(b.Context(), address, testQuestion{Text: "text"}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkCallPipelined(b *testing.B) {
	client, address := benchmarkPair(b)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := client.Call(b.Context(), address, testQuestion{Text: "text"}); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func TestFrameOverTheLimitIsRefusedUnread(t *testing.T) {
	for _, size := range []uint64{0, 11, 1 << 40} {
		stream := bytes.NewReader(append(binary.AppendUvarint(nil, size), make([]byte, 20)...))
		before := stream.Len()
		_, err := newFrameReader(stream, 10).next()
		if !errors.Is(err, ErrTooLarge) || before-stream.Len() > binary.MaxVarintLen64 {
			t.Errorf("frame of %d bytes: %v, %d bytes read", size, err, before-stream.Len())
		}
	}
}

// TestALargeFrameLeavesNoLargeBuffer checks that an encoder frees its buffer after a large frame. A node
// has a connection from each other node, and each carries a long list once, so buffers would add up.
func TestALargeFrameLeavesNoLargeBuffer(t *testing.T) {
	var e encoder
	large := testAnswer{Text: strings.Repeat("x", 1<<20)}
	name, err := nameOf(large)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []testAnswer{large, {Text: "short"}} {
		if _, err := e.encode(frame{kind: frameSend, message: m, typeName: name}); err != nil {
			t.Fatal(err)
		}
	}
	if c := e.buffer.Cap(); c > maxKeptBuffer {
		t.Errorf("the buffer keeps a capacity of %d bytes, more than maxKeptBuffer", c)
	}
}
