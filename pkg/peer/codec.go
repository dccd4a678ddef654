package peer

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"reflect"

	"github.com/pkg/errors"
)

// frameKind says what a frame carries.
type frameKind byte

const (
	frameSend   frameKind = iota + 1 // a message that wants no answer
	frameCall                        // a message that wants an answer
	frameAnswer                      // the answer to a call, or its acknowledgement
	frameError                       // the error of a call, as text
	framePing                        // asks for a framePong
	framePong
)

// freshFlag on the kind says that the sender started a new gob stream: types
// and their numbers are sent anew.
const freshFlag = 0x80

// maxTypeName bounds the name of a message type.
const maxTypeName = 200

// A frame on the wire is
//
//	uvarint  length of what follows, at most MaxMessageBytes
//	byte     kind and freshFlag
//	uvarint  number of the call (call, answer, error)
//	uvarint  number of the message type, 0 for none (send, call, answer)
//	uvarint  length of the type's name and the name, where the number is used
//	         for the first time in the stream
//	rest     gob of the message, or text of the error
type frame struct {
	kind     frameKind
	call     uint64
	message  Message // send, call, answer; nil for an acknowledgement
	text     string  // error
	typeName string  // of message; empty for none
	unknown  bool    // the message's type is of another build; message is nil
}

// keptBuffer is the room, in bytes, that an encoder keeps for the next frame: most are smaller.
const keptBuffer = 4 << 10

// encoder writes frames. The types are described once in a stream.
type encoder struct {
	buffer  bytes.Buffer
	gob     *gob.Encoder
	numbers map[string]uint64
}

// encode returns the frame's bytes, valid until the next call. After an error
// the next frame starts a new stream, because the receiver did not get the
// types described in the failed one.
func (e *encoder) encode(f frame) ([]byte, error) {
	if e.buffer.Cap() > keptBuffer {
		e.buffer = bytes.Buffer{} // what the last frame took is not kept for a thousand connections
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

// prependLength writes the length into the room before the frame's body.
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

// decoder reads frames.
type decoder struct {
	body  bytes.Reader // of the current frame; gob reads from it
	gob   *gob.Decoder
	types []namedType // by number less one
}

type namedType struct {
	name string
	kind reflect.Type // nil: this build does not know it
}

// byteReader is what frames are read from.
type byteReader interface {
	io.Reader
	io.ByteReader
}

// scratchBytes is the size up to which frames are read into one buffer.
const scratchBytes = 4096

// frameReader reads the bytes of frames.
type frameReader struct {
	from    byteReader
	limit   int // of a frame's bytes
	scratch []byte
}

func newFrameReader(from byteReader, limit int) *frameReader {
	return &frameReader{from: from, limit: limit}
}

// next reads the bytes of a frame without its length. They are valid until the
// next call. It allocates no more than the limit, and for a large frame not
// before the bytes arrive.
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
		return body.Bytes(), cutOff(err)
	}
	if r.scratch == nil {
		r.scratch = make([]byte, scratchBytes)
	}
	_, err = io.ReadFull(r.from, r.scratch[:size])
	return r.scratch[:size], cutOff(err)
}

// cutOff turns the end of a connection within a frame into an error that
// cannot be taken for its regular end.
func cutOff(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return errors.Wrap(err, "peer: frame cut off")
}

// decode decodes a frame's bytes. After an error the stream is of no use.
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
		return frame{}, errors.Errorf("peer: %d bytes too many in a frame", rest)
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
		return errors.Wrap(err, "peer: number of a call")
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
		return errors.Wrap(err, "peer: number of a type")
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
		return errors.Wrapf(d.gob.DecodeValue(reflect.Value{}), "peer: pass over %s", known.name)
	}
	value := reflect.New(known.kind)
	if err := d.gob.DecodeValue(value); err != nil {
		return errors.Wrapf(err, "peer: decode %s", known.name)
	}
	f.message = value.Elem().Interface()
	return nil
}

// typeNumbered returns the type with a number, reading its name if it is the
// next new one.
func (d *decoder) typeNumbered(number uint64) (namedType, error) {
	if number <= uint64(len(d.types)) {
		return d.types[number-1], nil
	}
	if number != uint64(len(d.types)+1) {
		return namedType{}, errors.Errorf("peer: type number %d out of order", number)
	}
	size, err := binary.ReadUvarint(&d.body)
	if err != nil || size > maxTypeName {
		return namedType{}, errors.New("peer: bad name of a type")
	}
	name := make([]byte, size)
	if _, err := io.ReadFull(&d.body, name); err != nil {
		return namedType{}, errors.Wrap(err, "peer: name of a type")
	}
	added := namedType{name: string(name), kind: typeOf(string(name))}
	d.types = append(d.types, added)
	return added, nil
}
