package upstream

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// readBufferSize holds the header of an answer and several events, in bytes.
const readBufferSize = 16 << 10

// bodyReader is the body of an answer.
type bodyReader = io.Reader

// readers are spare buffers for answers.
var readers = sync.Pool{
	New: func() any { return bufio.NewReaderSize(nil, readBufferSize) },
}

// exchange writes the request and reads the header of the answer.
func (a *Answer) exchange(request *fasthttp.Request, firstByteBy time.Time, writeTimeout time.Duration) error {
	if err := a.write(request, writeTimeout); err != nil {
		return err
	}
	a.conn.readBy = firstByteBy
	a.reader = readers.Get().(*bufio.Reader)
	a.reader.Reset(a.conn)
	a.Response = fasthttp.AcquireResponse()
	a.Response.StreamBody = true
	if err := a.Response.ReadLimitBody(a.reader, 0); err != nil {
		return err
	}
	a.conn.readBy = time.Time{}
	a.body = a.Response.BodyStream()
	a.ended = a.body == nil
	return nil
}

// write sends the request in as few writes as its size allows.
func (a *Answer) write(request *fasthttp.Request, timeout time.Duration) error {
	if err := a.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := request.WriteTo(a.conn)
	return err
}

// Read reads from the body. It returns io.EOF only at the end that the answer
// itself declared; a body without one ends with its connection.
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

// ErrTooLarge means that an answer exceeds the limit given.
var ErrTooLarge = errors.New("upstream: answer too large")

// firstReadBytes is the room for an answer of unknown length, in bytes.
const firstReadBytes = 4 << 10

// ReadAll returns the whole body, which may have limit bytes.
func (a *Answer) ReadAll(limit int) ([]byte, error) {
	length := a.Response.Header.ContentLength()
	if length > limit {
		return nil, ErrTooLarge
	}
	if length < 0 {
		length = firstReadBytes
	}
	// With room to spare, the end shows without a larger buffer.
	body := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	if _, err := body.ReadFrom(io.LimitReader(a, int64(limit)+1)); err != nil {
		return nil, err
	}
	if body.Len() > limit {
		return nil, ErrTooLarge
	}
	return body.Bytes(), nil
}

// ReadBy sets the time by which reads must succeed. The zero time brings back
// the stall time per read.
func (a *Answer) ReadBy(deadline time.Time) {
	a.conn.readBy = deadline
}

// ChunkBuffered tells whether bytes of the body have come that Read can return
// without waiting: the buffer ends where a chunk does.
func (a *Answer) ChunkBuffered() bool {
	if a.reader == nil || a.ended {
		return false
	}
	buffered, _ := a.reader.Peek(a.reader.Buffered()) // never waits
	return bytes.HasSuffix(buffered, []byte("\r\n"))
}

// EndBuffered tells whether the rest of the answer's bytes, up to its end,
// has come.
func (a *Answer) EndBuffered() bool {
	return a.ended || a.ChunkBuffered()
}

// Close gives the connection back if the body was read to its end and reuse
// is true; else the connection closes, so that nothing of this answer can
// reach another request.
func (a *Answer) Close(reuse bool) {
	if a.finish == nil {
		return
	}
	reuse = a.stopAbort() && reuse && a.reusable()
	if a.Response != nil {
		_ = a.Response.CloseBodyStream() // the connection is dealt with below
		fasthttp.ReleaseResponse(a.Response)
		a.Response = nil
	}
	if a.reader != nil {
		a.reader.Reset(nil)
		readers.Put(a.reader)
		a.reader = nil
	}
	a.finish(reuse)
	a.finish = nil
}

// reusable tells whether the connection is exactly between two answers.
func (a *Answer) reusable() bool {
	return a.ended && a.Response != nil && !a.Response.ConnectionClose() && a.reader.Buffered() == 0
}
