package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/orderly"
)

// Dialer opens a connection to a server.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// IndirectConn is a connection that leads through another node, since this one does not reach the server.
type IndirectConn interface {
	net.Conn
	Indirect()
}

// EndingConn is a connection that tells when it is about to end, although it still carries requests.
type EndingConn interface {
	net.Conn
	Ending() bool
}

// Reach is told what direct connections show about this node's way to servers.
type Reach interface {
	Sent()  // a request is sent
	Heard() // a server answered
}

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("backend: not sent")
	// ErrRefused marks an ErrNotSent whose connection the server's system refused, as far as known: nothing listens at its
	// address.
	ErrRefused = errors.New("backend: connection refused")
	// ErrNoConnection marks an ErrNotSent for which no way to the server gave any sign of it, not even a refusal or a reset.
	ErrNoConnection = errors.New("backend: no sign of the server")
	// ErrNoAnswer means that at least a part of the request was sent, but no response came.
	ErrNoAnswer = errors.New("backend: sent, no answer")
	// ErrMalformed marks an ErrNoAnswer or ErrBroken of a server that lives but sends no response.
	ErrMalformed = errors.New("backend: no response of the protocol")
	// ErrBroken means that the response ended before it was complete.
	ErrBroken = errors.New("backend: answer broke off")

	errIdleClosed       = errors.New("backend: connection closed while idle")
	errForeignResponses = errors.New("backend: too many answers of other requests")
)

// maxForeignResponses is the maximum number of responses to other requests that are skipped on one
// connection.
const maxForeignResponses = 4

// Message is a request in the form in which it is written to a server.
type Message struct {
	Method string
	Target string // path and query exactly as sent by the caller
	Head   []byte // header lines, each ending in CRLF
	Body   []byte
	// Standby lets the message use the standby connection, see Condition.PrepareStandby.
	Standby bool
	// Control lets the message open a connection beyond the limit.
	Control bool
	// Direct forbids connections through other nodes: the server goes by who sends the message.
	Direct bool
	// Probe is exchanged on the same connection right before the message, which is not sent if it fails, unless one was
	// accepted there before; nil: none.
	Probe *Probe
	// IsAnswer reports whether a response belongs to the request. Other responses are skipped. Nil accepts
	// every response.
	IsAnswer func(http.Header) bool
}

// Probe is a request that tells which process is at the other end of a connection. It has no other effect.
type Probe struct {
	Message *Message
	// Accept returns why the process is not the expected one, nil if it is.
	Accept func(status int, body []byte) error
	// IfInDoubt leaves the probe out while nothing suggests that the process was replaced, see identity.
	IfInDoubt bool
}

// maxJoinedBytes is the largest body that is sent in one piece with its head. Others are not copied.
const maxJoinedBytes = 16 << 10

// write sends the whole message.
func (m *Message) write(w io.Writer) error {
	joined, apart := m.Body, []byte(nil)
	if len(m.Body) > maxJoinedBytes {
		joined, apart = nil, m.Body
	}
	b := make([]byte, 0, len(m.Method)+len(m.Target)+len(m.Head)+len(joined)+64)
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
	b = append(b, joined...)
	if _, err := w.Write(b); err != nil || len(apart) == 0 {
		return err
	}
	_, err := w.Write(apart)
	return err
}

// conn is a connection to a server. Its read loop waits for responses, and also detects data and connection
// closes that arrive while no request is in progress.
type conn struct {
	net.Conn
	pool       *pool
	indirect   bool       // it leads through another node
	endingConn EndingConn // nil: it does not tell that it is about to end
	inbound    *inbound
	reader     *bufio.Reader // of inbound
	idleAt     time.Time     // when the connection became idle
	idleFor    time.Duration // idle time after which the server closes the connection; zero: unknown
	// suspended is the total time for which the machine had been suspended when the connection became idle.
	// After a suspension the connection may be dead without notice, and it would be unknown whether a
	// request sent on it was executed.
	suspended time.Duration

	breaksBefore int64       // see identity.accept
	identified   atomic.Bool // a probe on it was accepted

	mu      sync.Mutex
	current *exchange
	closed  error // why the connection is unusable; nil: usable
}

// ending reports whether the connection is about to end, so that no further request should be sent on it.
func (c *conn) ending() bool { return c.endingConn != nil && c.endingConn.Ending() }

// exchange is one request and its response on a connection.
type exchange struct {
	message *Message
	sent    time.Time         // when the node began to send the request
	answers chan headerResult // receives one value
	done    chan bool         // receives whether the body was read completely
	// reserved receives whether the connection can be used again, instead of its return to the pool; nil: it
	// is returned.
	reserved chan bool
}

// headerResult is the header of a response, or the error in its place.
type headerResult struct {
	response *http.Response
	err      error
}

const readBufferBytes = 4 << 10

func newConn(p *pool, nc net.Conn) *conn {
	_, indirect := nc.(IndirectConn)
	ending, _ := nc.(EndingConn)
	nc = orderly.Wrap(nc)
	in := &inbound{from: nc, headLeft: unlimited, onData: p.noteHeard}
	c := &conn{Conn: nc, pool: p, indirect: indirect, endingConn: ending, inbound: in, reader: bufio.NewReaderSize(in, readBufferBytes),
		breaksBefore: p.identity.breaks.Load()}
	go c.read()
	return c
}

// read is the read loop. It returns when the connection ends.
func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		x := c.exchange()
		if x == nil {
			c.noteIdleEnd()
			c.fail(errIdleClosed)
			return
		}
		var response *http.Response
		if err == nil {
			response, err = c.readHeader(x)
		}
		if err != nil {
			c.noteBreak()
			x.answers <- headerResult{err: c.inbound.explain(err)}
			c.fail(err)
			return
		}
		x.answers <- headerResult{response: response}
		usable := <-x.done && !response.Close && c.reader.Buffered() == 0 // what follows a response belongs to no request
		if usable {
			c.idleFor = keepAlive(response.Header)
			c.mu.Lock()
			c.current = nil
			c.mu.Unlock()
		} else {
			c.fail(errIdleClosed)
		}
		switch {
		case x.reserved != nil:
			x.reserved <- usable
		case usable:
			c.pool.put(c)
		}
		if !usable {
			return
		}
	}
}

// readHeader reads the header of the response to the exchange. It skips informational responses and
// responses to other requests.
func (c *conn) readHeader(x *exchange) (*http.Response, error) {
	request := &http.Request{Method: x.message.Method}
	for range maxForeignResponses {
		if err := c.startHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if err := c.inbound.endHead(response.Header); err != nil {
			return nil, err
		}
		c.noteHeard()
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.message.IsAnswer == nil || x.message.IsAnswer(response.Header) {
			c.pool.onResponse(x.sent, response)
			return response, nil
		}
		c.pool.onResponse(time.Time{}, response)
		if err := skip(response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, errForeignResponses
		}
	}
	return nil, errForeignResponses
}

// startHead begins to read a head.
func (c *conn) startHead() error {
	read, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.inbound.startHead(read)
}

// skip reads a body to its end.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxForeignBytes+1))
	if err == nil && n > maxForeignBytes {
		return errForeignTooLong
	}
	return err
}

// noteHeard tells that the server was heard, if directly.
func (c *conn) noteHeard() {
	if c.pool.reach != nil && !c.indirect {
		c.pool.reach.Heard()
	}
}

// noteSent tells that a request is sent, if directly.
func (c *conn) noteSent() {
	if c.pool.reach != nil && !c.indirect {
		c.pool.reach.Sent()
	}
}

// keepAlive returns how long the server announces to keep an idle connection open; zero: not announced.
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

// fail closes the connection and removes it from the pool. Only the first call has an effect.
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

// begin assigns the connection to an exchange. It fails if the connection is closed.
func (c *conn) begin(x *exchange) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed != nil {
		return c.closed
	}
	c.inbound.received.Store(0)
	c.current = x
	return nil
}

// countingConn counts the bytes that were written to the connection.
type countingConn struct {
	net.Conn
	n int
}

func (w *countingConn) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.n += n
	return n, err
}

// send writes the message and waits for the header of its response. If ctx ends, the connection is closed.
func (c *conn) send(ctx context.Context, m *Message) (*Answer, error) {
	return c.exchangeMessage(ctx, &exchange{message: m, sent: c.pool.time.Now(), answers: make(chan headerResult, 1), done: make(chan bool, 1)})
}

// exchangeMessage is send for a new exchange.
func (c *conn) exchangeMessage(ctx context.Context, x *exchange) (*Answer, error) {
	m := x.message
	if err := c.begin(x); err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c.noteSent()
	writing := make(chan writeResult, 1)
	go func() {
		w := countingConn{Conn: c.Conn}
		err := m.write(&w)
		writing <- writeResult{w.n, err}
	}()
	written := false
	for {
		select {
		case end := <-writing:
			written = end.err == nil
			if end.err != nil && end.n == 0 {
				c.noteBreak()
				c.abandon(x, end.err)
				return nil, errors.Wrap(ErrNotSent, end.err.Error())
			}
			if end.err != nil {
				// The server may have responded before it closed; the read loop finds out.
				_ = c.SetReadDeadline(time.Now().Add(answerAfterReset))
			}
			writing = nil
		case a := <-x.answers:
			if a.err != nil {
				return nil, c.noAnswer(a.err)
			}
			_ = c.SetReadDeadline(time.Time{}) // which a failed write has set; the head has come
			answer := newAnswer(ctx, c, x, a.response)
			answer.written, answer.writing = written, writing
			return answer, nil
		case <-ctx.Done():
			c.abandon(x, context.Cause(ctx))
			return nil, c.noAnswer(context.Cause(ctx))
		}
	}
}

// noAnswer returns the error of an exchange without a response, which tells how much of one had arrived.
func (c *conn) noAnswer(cause error) error {
	received := c.inbound.received.Load()
	err := errors.Wrapf(ErrNoAnswer, "%v, after %d bytes", cause, received)
	if errors.Is(cause, ErrMalformed) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return partialHead{err, received}
}

// partialHead is the error of an exchange of which the given number of bytes of a response had arrived.
type partialHead struct {
	error
	received int64
}

// Unwrap returns why there is no response.
func (e partialHead) Unwrap() error { return e.error }

// ReceivedBytes returns how much of a response had arrived in an exchange that failed with ErrNoAnswer.
func ReceivedBytes(err error) int64 {
	var partial partialHead
	if errors.As(err, &partial) {
		return partial.received
	}
	return 0
}

// errNotReusable is returned if a connection ends with the response to a probe.
var errNotReusable = errors.New("backend: connection closed after a probe")

// probe exchanges a probe. Afterwards the connection is used by the caller or, after an error, closed.
func (c *conn) probe(ctx context.Context, p *Probe) error {
	x := &exchange{message: p.Message, sent: c.pool.time.Now(), answers: make(chan headerResult, 1), done: make(chan bool, 1),
		reserved: make(chan bool, 1)}
	a, err := c.exchangeMessage(ctx, x)
	if err != nil {
		return err
	}
	body, err := a.ReadControl()
	a.Close()
	if err == nil {
		err = p.Accept(a.Status, body.Bytes())
		body.Release()
	}
	if usable := <-x.reserved; err == nil && !usable {
		err = errNotReusable
	}
	if err != nil {
		c.fail(err)
		return err
	}
	c.identified.Store(true)
	c.pool.identity.accept(c.breaksBefore)
	return nil
}

// writeResult is the outcome of writing a message.
type writeResult struct {
	n   int
	err error
}

// abandon closes the connection and ends an exchange whose response nobody will read.
func (c *conn) abandon(x *exchange, err error) {
	c.fail(err)
	x.done <- false
}

// answerAfterReset is how long to wait for a response after writing the request failed.
const answerAfterReset = 50 * time.Millisecond

// Answer is a server's response. Callers must call Close.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // length of the body; -1: unknown
	Framed bool  // the body has a length or is chunked; otherwise it ends with the connection

	conn     *conn
	exchange *exchange
	body     io.ReadCloser
	written  bool               // the request has been written completely
	writing  <-chan writeResult // delivers the result if writing had not finished when the response came
	ended    bool               // the body was read completely
	closed   bool
	stop     func() bool
}

func newAnswer(ctx context.Context, c *conn, x *exchange, r *http.Response) *Answer {
	a := &Answer{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength,
		Framed: r.ContentLength >= 0 || len(r.TransferEncoding) > 0, conn: c, exchange: x, body: r.Body}
	a.stop = context.AfterFunc(ctx, func() { c.fail(context.Cause(ctx)) })
	return a
}

// Received returns the number of bytes that have arrived since the request was sent, head included.
func (a *Answer) Received() int64 { return a.conn.inbound.received.Load() }

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		a.conn.noteBreak()
		return n, a.conn.inbound.explainBody(err)
	}
	return n, nil
}

// ReadWithin sets a timeout for the next read.
func (a *Answer) ReadWithin(d time.Duration) {
	_ = a.conn.SetReadDeadline(time.Now().Add(d)) // if the connection is closed, Read returns the error
}

// ReadUnbounded removes the timeout set by ReadWithin.
func (a *Answer) ReadUnbounded() { _ = a.conn.SetReadDeadline(time.Time{}) }

// writeEndTimeout is how long to wait for the request to be completely written after its response has
// ended. Usually it has been written and only the writing goroutine has not reported it yet.
const writeEndTimeout = 20 * time.Millisecond

// requestWritten reports whether the request was written completely.
func (a *Answer) requestWritten() bool {
	if a.written || a.writing == nil {
		return a.written
	}
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case end := <-a.writing:
		return end.err == nil
	case <-timer.C:
		return false
	}
}

// Close releases the connection. It is kept if the body was read completely. Otherwise it is closed, which
// stops the server's work.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	if !a.stop() {
		a.ended = false
	}
	if a.ended && a.requestWritten() {
		_ = a.conn.SetReadDeadline(time.Time{})
		a.exchange.done <- true
		return
	}
	a.conn.fail(ErrBroken)
	a.exchange.done <- false
}
