package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Dialer opens a connection to a server.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("backend: not sent")
	// ErrNoAnswer means that some of the request was sent and no answer came.
	ErrNoAnswer = errors.New("backend: sent, no answer")
	// ErrBroken means that the answer broke off.
	ErrBroken = errors.New("backend: answer broke off")

	errIdleClosed = errors.New("backend: connection closed while idle")
	errCrossed    = errors.New("backend: too many answers of other requests")
)

// maxCrossed bounds the answers of other requests that are read over on one
// connection.
const maxCrossed = 4

// Message is a request as it is written to a server.
type Message struct {
	Method string
	Target string // path and query as the caller sent them
	Head   []byte // header lines, each ended by CRLF
	Body   []byte
	// Control lets the message open a connection beyond the bound.
	Control bool
	// IsAnswer tells whether an answer belongs to the request. Others are read
	// over. Nil takes every answer.
	IsAnswer func(http.Header) bool
}

// write sends the whole message.
func (m *Message) write(w io.Writer) error {
	b := make([]byte, 0, len(m.Method)+len(m.Target)+len(m.Head)+len(m.Body)+64)
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = append(b, m.Head...)
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	b = append(b, m.Body...)
	_, err := w.Write(b)
	return err
}

// conn is a connection to a server. Its read loop waits for answers, and notices
// bytes and ends that come while no request is under way.
type conn struct {
	net.Conn
	pool    *pool
	reader  *bufio.Reader
	idleAt  time.Time     // since when it is unused
	idleFor time.Duration // the server closes it after; zero: not told
	// slept is how long the machine had been suspended when it was put back: one that slept
	// may have ended meanwhile without a word, and what is sent on it may have run or not.
	slept time.Duration

	mu      sync.Mutex
	current *exchange
	closed  error // why it can't be used any more
}

// exchange is one request on a connection.
type exchange struct {
	message *Message
	sent    time.Time     // when it began to be sent
	answers chan answered // gets one value
	done    chan bool     // gets whether the body was read to its end
}

// answered is the head of an answer or the reason that there is none.
type answered struct {
	response *http.Response
	err      error
}

const readBufferBytes = 4 << 10

func newConn(p *pool, nc net.Conn) *conn {
	c := &conn{Conn: nc, pool: p, reader: bufio.NewReaderSize(nc, readBufferBytes)}
	go c.read()
	return c
}

// read is the read loop. It ends with the connection.
func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		x := c.exchange()
		if x == nil {
			c.fail(errIdleClosed)
			return
		}
		var response *http.Response
		if err == nil {
			response, err = c.readHead(x)
		}
		if err != nil {
			x.answers <- answered{err: err}
			c.fail(err)
			return
		}
		x.answers <- answered{response: response}
		if !<-x.done || response.Close {
			c.fail(errIdleClosed)
			return
		}
		c.idleFor = keepAlive(response.Header)
		c.mu.Lock()
		c.current = nil
		c.mu.Unlock()
		c.pool.put(c)
	}
}

// readHead reads the head of the exchange's own answer, over informational ones
// and those of other requests.
func (c *conn) readHead(x *exchange) (*http.Response, error) {
	request := &http.Request{Method: x.message.Method}
	for range maxCrossed {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.message.IsAnswer == nil || x.message.IsAnswer(response.Header) {
			c.pool.hear(x.sent, response)
			return response, nil
		}
		c.pool.hear(time.Time{}, response)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, errCrossed
		}
	}
	return nil, errCrossed
}

// keepAlive returns how long the server says that it keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

func (c *conn) exchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// fail ends the connection.
func (c *conn) fail(err error) {
	c.mu.Lock()
	first := c.closed == nil
	if first {
		c.closed = err
	}
	c.mu.Unlock()
	if first {
		c.pool.drop(c)
		_ = c.Conn.Close()
	}
}

// begin takes the connection for an exchange, and fails if it has ended.
func (c *conn) begin(x *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return c.closed
	}
	c.current = x
	return nil
}

// counted tells whether any byte was taken by the connection.
type counted struct {
	net.Conn
	n int
}

func (w *counted) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.n += n
	return n, err
}

// send writes the message and waits for the head of its answer. When ctx ends
// the connection closes.
func (c *conn) send(ctx context.Context, m *Message) (*Answer, error) {
	x := &exchange{message: m, sent: c.pool.time.Now(), answers: make(chan answered, 1), done: make(chan bool, 1)}
	if err := c.begin(x); err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	writing := make(chan wrote, 1)
	go func() {
		w := counted{Conn: c.Conn}
		err := m.write(&w)
		writing <- wrote{w.n, err}
	}()
	whole := false
	for {
		select {
		case end := <-writing:
			whole = end.err == nil
			if end.err != nil && end.n == 0 {
				c.abandon(x, end.err)
				return nil, errors.Wrap(ErrNotSent, end.err.Error())
			}
			if end.err != nil {
				// The answer may still be there; the read loop tells.
				_ = c.SetReadDeadline(time.Now().Add(answerAfterReset))
			}
			writing = nil
		case a := <-x.answers:
			if a.err != nil {
				return nil, errors.Wrap(ErrNoAnswer, a.err.Error())
			}
			answer := newAnswer(ctx, c, x, a.response)
			answer.whole, answer.writing = whole, writing
			return answer, nil
		case <-ctx.Done():
			c.abandon(x, context.Cause(ctx))
			return nil, errors.Wrap(ErrNoAnswer, context.Cause(ctx).Error())
		}
	}
}

// wrote tells how the writing of a message ended.
type wrote struct {
	n   int
	err error
}

// abandon ends the connection and an exchange whose answer nobody reads.
func (c *conn) abandon(x *exchange, err error) {
	c.fail(err)
	x.done <- false
}

// answerAfterReset is how long an answer is waited for after the server broke
// the connection that the request was written to.
const answerAfterReset = 50 * time.Millisecond

// Answer is a server's answer. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1: not told
	Framed bool  // the body tells its own end; else it ends with its connection

	conn     *conn
	exchange *exchange
	body     io.ReadCloser
	whole    bool         // the request was written to its end
	writing  <-chan wrote // tells it, if it was not known when the answer came
	ended    bool         // the body was read to its end
	closed   bool
	stop     func() bool
}

func newAnswer(ctx context.Context, c *conn, x *exchange, r *http.Response) *Answer {
	a := &Answer{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		Framed: r.ContentLength >= 0 || len(r.TransferEncoding) > 0, conn: c, exchange: x, body: r.Body}
	a.stop = context.AfterFunc(ctx, func() { c.fail(context.Cause(ctx)) })
	return a
}

// Read reads the body. It returns io.EOF only at the whole body's end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, errors.Wrap(ErrBroken, err.Error())
	}
	return n, nil
}

// ReadWithin bounds the wait for the next bytes.
func (a *Answer) ReadWithin(d time.Duration) {
	_ = a.conn.SetReadDeadline(time.Now().Add(d)) // an end of the connection shows with the read
}

// ReadUnbounded takes the bound of the wait back.
func (a *Answer) ReadUnbounded() { _ = a.conn.SetReadDeadline(time.Time{}) }

// writeRest is how long the end of a request is waited for whose answer has come
// to its end: mostly it was written and only its writer did not tell yet.
const writeRest = 20 * time.Millisecond

// wrote tells whether the request was written to its end.
func (a *Answer) wrote() bool {
	if a.whole || a.writing == nil {
		return a.whole
	}
	timer := time.NewTimer(writeRest)
	defer timer.Stop()
	select {
	case end := <-a.writing:
		return end.err == nil
	case <-timer.C:
		return false
	}
}

// Close ends the reading. The connection is kept if the body was read to its
// end; else it closes, which stops the server's work.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() {
		a.ended = false
	}
	if a.ended && a.wrote() {
		_ = a.conn.SetReadDeadline(time.Time{})
		a.exchange.done <- true
		return
	}
	a.conn.fail(ErrBroken)
	a.exchange.done <- false
}
