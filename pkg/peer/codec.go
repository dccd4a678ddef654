package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"reflect"

	"github.com/pkg/errors"
)

// frameKind is the kind of a frame.
type frameKind byte

const (
	frameSend   frameKind = iota + 1 // a message that expects no answer
	frameCall                        // a message that expects an answer
	frameAnswer                      // the answer to a call, or an acknowledgement
	frameError                       // the error of a call as text
	framePing                        // requests a framePong
	framePong
)

// freshFlag is set in the kind of the first frame of a new gob stream. Types and
// their numbers are sent again in it.
const freshFlag = 0x80

// maxTypeName is the maximum length of the name of a message type in bytes.
const maxTypeName = 200

// A frame is one unit on the wire, with the layout
//
//	uvarint  length of what follows, at most MaxMessageBytes
//	byte     kind and freshFlag
//	uvarint  number of the call (call, answer, error)
//	uvarint  number of the message type, 0 for none (send, call, answer)
//	uvarint  length of the type's name and the name, where the number is used
//	         for the first time in the stream
//	rest     gob of the message, or text of the error
//
// An answer without a message is an acknowledgement.
type frame struct {
	kind     frameKind
	call     uint64
	message  Message // of a send, call or answer; nil for an acknowledgement
	text     string  // of an error
	typeName string  // type of the message; empty if there is none
	unknown  bool    // this build does not know the message's type; message is nil
}

// maxKeptBuffer is the maximum capacity, in bytes, of a buffer that an encoder reuses. Most frames are smaller.
const maxKeptBuffer = 4 << 10

// encoder encodes frames as one gob stream, in which each type is described once.
type encoder struct {
	buffer  bytes.Buffer
	gob     *gob.Encoder
	numbers map[string]uint64 // numbers of the types in the stream, by name
}

// encode returns the frame's bytes, valid until the next call. After an error
// the next frame starts a new stream, because the receiver did not get the
// types described in the failed one.
func (e *encoder) encode(f frame) ([]byte, error) {
	if e.buffer.Cap() > maxKeptBuffer {
		e.buffer = bytes.Buffer{} // a large buffer for each of a thousand connections would waste memory
	}
	e.buffer.Reset()
	e.buffer.Write(make([]byte, binary.MaxVarintLen32))
	fresh := byte(0)
	if e.gob == nil {
		fresh = freshFlag
		e.gob = gob.NewEncoder(&e.buffer)
		e.numbers = make(map[string]uint64)
	}
	e.buffer.WriteByte(byte(f.kind) | fresh)
	if err := e.encodeBody(f); err != nil {
		e.gob = nil
		return nil, err
	}
	size := e.buffer.Len() - binary.MaxVarintLen32
	if size > MaxMessageBytes {
		e.gob = nil
		return nil, errors.Wrapf(ErrTooLarge, "%s of %d bytes, allowed are %d", f.typeName, size, MaxMessageBytes)
	}
	return prependLength(e.buffer.Bytes(), size), nil
}

// prependLength writes the length into the reserved bytes before the frame's body.
func prependLength(data []byte, size int) []byte {
	var length [binary.MaxVarintLen64]byte
	used := binary.PutUvarint(length[:], uint64(size))
	start := binary.MaxVarintLen32 - used
	copy(data[start:], length[:used])
	return data[start:]
}

func (e *encoder) encodeBody(f frame) error {
	switch f.kind {
	case framePing, framePong:
		return nil
	case frameError:
		e.writeUvarint(f.call)
		e.buffer.WriteString(f.text)
		return nil
	case frameCall, frameAnswer:
		e.writeUvarint(f.call)
	}
	if f.message == nil {
		e.writeUvarint(0)
		return nil
	}
	e.writeType(f.typeName)
	return errors.Wrapf(e.gob.Encode(f.message), "peer: encode %s", f.typeName)
}

// writeType writes the number of a type, and its name on first use in the stream.
func (e *encoder) writeType(name string) {
	number, known := e.numbers[name]
	if known {
		e.writeUvarint(number)
		return
	}
	number = uint64(len(e.numbers) + 1)
	e.numbers[name] = number
	e.writeUvarint(number)
	e.writeUvarint(uint64(len(name)))
	e.buffer.WriteString(name)
}

func (e *encoder) writeUvarint(value uint64) {
	var data [binary.MaxVarintLen64]byte
	e.buffer.Write(data[:binary.PutUvarint(data[:], value)])
}

// decoder decodes the frames of one connection.
type decoder struct {
	body  bytes.Reader // the current frame after its kind; gob reads from it
	gob   *gob.Decoder
	types []namedType // indexed by type number minus 1
}

// namedType is a message type as named by the peer.
type namedType struct {
	name string
	kind reflect.Type // nil if this build does not know the type
}

// byteReader is a source of frames.
type byteReader interface {
	io.Reader
	io.ByteReader
}

// scratchBytes is the largest size of frames that are read into a reused buffer.
const scratchBytes = 4096

// frameReader splits a byte stream into frames.
type frameReader struct {
	from    byteReader
	limit   int // maximum length of a frame in bytes
	scratch []byte
}

func newFrameReader(from byteReader, limit int) *frameReader {
	return &frameReader{from: from, limit: limit}
}

// next returns the bytes of the next frame without its length. They are valid
// until the next call. It allocates at most limit bytes, and memory for a large
// frame only as its bytes arrive.
func (r *frameReader) next() ([]byte, error) {
	size, err := binary.ReadUvarint(r.from)
	if err != nil {
		return nil, err
	}
	if size == 0 || size > uint64(r.limit) {
		return nil, errors.Wrapf(ErrTooLarge, "frame of %d bytes, allowed are 1 to %d", size, r.limit)
	}
	if size > scratchBytes {
		var body bytes.Buffer
		_, err := io.CopyN(&body, r.from, int64(size))
		return body.Bytes(), unexpectedEOF(err)
	}
	if r.scratch == nil {
		r.scratch = make([]byte, scratchBytes)
	}
	_, err = io.ReadFull(r.from, r.scratch[:size])
	return r.scratch[:size], unexpectedEOF(err)
}

// unexpectedEOF converts io.EOF within a frame, so that it is not mistaken for the
// regular end of a connection.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "peer: connection ended within a frame")
}

// decode decodes a frame from its bytes. After an error the decoder cannot be used
// any further.
func (d *decoder) decode(data []byte) (frame, error) {
	if len(data) == 0 {
		return frame{}, errors.New("peer: empty frame")
	}
	kind := data[0]
	d.body.Reset(data[1:])
	if kind&freshFlag != 0 {
		d.gob = gob.NewDecoder(&d.body)
		d.types = nil
	}
	if d.gob == nil {
		return frame{}, errors.New("peer: first frame does not start a stream")
	}
	f := frame{kind: frameKind(kind &^ freshFlag)}
	if err := d.decodeBody(&f); err != nil {
		return frame{}, err
	}
	if rest := d.body.Len(); rest > 0 {
		return frame{}, errors.Errorf("peer: %d unexpected bytes at the end of a frame", rest)
	}
	return f, nil
}

func (d *decoder) decodeBody(f *frame) error {
	switch f.kind {
	case framePing, framePong:
		return nil
	case frameSend:
		return d.decodeMessage(f)
	case frameCall, frameAnswer, frameError:
	default:
		return errors.Errorf("peer: unknown frame kind %d", f.kind)
	}
	call, err := binary.ReadUvarint(&d.body)
	if err != nil {
		return errors.Wrap(err, "peer: read number of call")
	}
	f.call = call
	if f.kind == frameError {
		text, _ := io.ReadAll(&d.body)
		f.text = string(text)
		return nil
	}
	return d.decodeMessage(f)
}

func (d *decoder) decodeMessage(f *frame) error {
	number, err := binary.ReadUvarint(&d.body)
	if err != nil {
		return errors.Wrap(err, "peer: read number of message type")
	}
	if number == 0 {
		if f.kind != frameAnswer {
			return errors.New("peer: frame without a message")
		}
		return nil
	}
	known, err := d.typeNumbered(number)
	if err != nil {
		return err
	}
	f.typeName = known.name
	if known.kind == nil {
		f.unknown = true
		return errors.Wrapf(d.gob.DecodeValue(reflect.Value{}), "peer: skip message of unknown type %s", known.name)
	}
	value := reflect.New(known.kind)
	if err := d.gob.DecodeValue(value); err != nil {
		return errors.Wrapf(err, "peer: decode %s", known.name)
	}
	f.message = value.Elem().Interface()
	return nil
}

// typeNumbered returns the type with a number. If the number is used for the first
// time, it reads the type's name.
func (d *decoder) typeNumbered(number uint64) (namedType, error) {
	if number <= uint64(len(d.types)) {
		return d.types[number-1], nil
	}
	if number != uint64(len(d.types)+1) {
		return namedType{}, errors.Errorf("peer: number %d of message type is out of order", number)
	}
	size, err := binary.ReadUvarint(&d.body)
	if err != nil || size > maxTypeName {
		return namedType{}, errors.New("peer: name of message type is unreadable or too long")
	}
	name := make([]byte, size)
	if _, err := io.ReadFull(&d.body, name); err != nil {
		return namedType{}, errors.Wrap(err, "peer: read name of message type")
	}
	added := namedType{name: string(name), kind: typeOf(string(name))}
	d.types = append(d.types, added)
	return added, nil
}
