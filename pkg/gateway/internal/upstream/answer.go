package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/memory"
)

// readBufferSize is the size in bytes of read buffers: enough for an answer's
// header and several events.
const readBufferSize = 16 << 10

// bodyReader reads the body of an answer.
type bodyReader = io.Reader

// readerPool is a pool of read buffers for answers.
var readerPool = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, readBufferSize) },
}

// exchange writes the request and reads the header of the answer until firstByteBy.
func (a *Answer) exchange(request *fasthttp.Request, firstByteBy time.Time, writeTimeout time.Duration) error {
	if err := a.write(request, writeTimeout); err != nil {
		return err
	}
	a.conn.readDeadline = firstByteBy
	a.reader = readerPool.Get().(*bufio.Reader)
	a.reader.Reset(a.conn)
	a.Response = fasthttp.AcquireResponse()
	a.Response.StreamBody = true
	if err := a.Response.ReadLimitBody(a.reader, 0); err != nil {
		return err
	}
	a.conn.readDeadline = time.Time{}
	a.body = a.Response.BodyStream()
	a.ended = a.body == nil
	return nil
}

// write sends the request in as few writes as possible.
func (a *Answer) write(request *fasthttp.Request, timeout time.Duration) error {
	if err := a.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := request.WriteTo(a.conn)
	return err
}

// Read reads from the body. It returns io.EOF at the end given by the body's
// length or last chunk; a body with neither ends when its connection closes.
func (a *Answer) Read(p []byte) (int, error) {
	if a.ended {
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// ErrTooLarge reports that an answer exceeds the given limit.
var ErrTooLarge = errors.New("upstream: answer too large")

// initialBodyBytes is the initial buffer size in bytes for an answer of unknown
// length.
const initialBodyBytes = 4 << 10

// ReadAll returns the whole body, or ErrTooLarge if it has more than limit bytes.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	length := a.Response.Header.ContentLength()
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 {
		length = initialBodyBytes
	}
	// The spare capacity lets ReadFrom detect the end without growing the buffer.
	body := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	if _, err := body.ReadFrom(io.LimitReader(a, int64(limit)+1)); err != nil {
		return nil, err
	}
	if body.Len() > limit {
		return nil, ErrTooLarge
	}
	return body.Bytes(), nil
}

// ReadInto reads the whole body into a buffer. It returns memory.ErrTooLong if the body has more than limit bytes, and
// memory.ErrUsedUp if there is no room for it.
func (a *Answer) ReadInto(body *memory.Buffer, limit int) error {
	return body.Fill(a, int64(a.Response.Header.ContentLength()), int64(limit))
}

// SetReadDeadline sets the deadline for reads. The zero time restores the stall
// timeout for each read.
func (a *Answer) SetReadDeadline(deadline time.Time) {
	a.conn.readDeadline = deadline
}

// ChunkBuffered reports whether Read can return bytes of the body without
// waiting. This is so if the buffered bytes end with the end of a chunk.
func (a *Answer) ChunkBuffered() bool {
	if a.reader == nil || a.ended {
		return false
	}
	buffered, _ := a.reader.Peek(a.reader.Buffered()) // buffered bytes only, so it does not block
	return bytes.HasSuffix(buffered, []byte("\r\n"))
}

// EndBuffered reports whether the end of a stream whose last event was read is
// already buffered.
func (a *Answer) EndBuffered() bool {
	return a.ended || a.ChunkBuffered()
}

// Close releases the connection for reuse if reuse is true and the body was read
// to its end. Otherwise it closes the connection, so that no byte of this answer
// can reach another request.
func (a *Answer) Close(reuse bool) {
	if a.finish == nil {
		return
	}
	reuse = a.stopAbort() && reuse && a.reusable()
	if a.Response != nil {
		_ = a.Response.CloseBodyStream() // the connection is closed or released below
		fasthttp.ReleaseResponse(a.Response)
		a.Response = nil
	}
	if a.reader != nil {
		a.reader.Reset(nil)
		readerPool.Put(a.reader)
		a.reader = nil
	}
	a.finish(reuse)
	a.finish = nil
}

// reusable reports whether the answer was read exactly to its end and the
// connection stays open.
func (a *Answer) reusable() bool {
	return a.ended && a.Response != nil && !a.Response.ConnectionClose() && a.reader.Buffered() == 0
}
