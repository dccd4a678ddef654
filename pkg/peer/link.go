package peer

import (
	"bufio"
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// link is the client's connection to one address with its queue of messages. Its
// goroutine runs while there is a connection or a queued message.
type link struct {
	client  *Client
	address string
	wake    chan struct{} // holds a token when a message was queued

	mutex        sync.Mutex
	queue        []*outgoing
	running      bool
	failures     int       // consecutive failures to connect
	retryAt      time.Time // end of the back-off
	unknownTypes unknownTypes
}

// add queues a message. If the queue is full, it drops the oldest message that
// nobody waits for. It returns whether the message was accepted and whether the
// caller must start run.
func (l *link) add(item *outgoing, now time.Time) (accepted, start bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.running && now.Before(l.retryAt) {
		return false, false
	}
	if len(l.queue) >= l.client.config.Limits.QueueLength && !l.dropOldest() {
		return false, false
	}
	l.queue = append(l.queue, item)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	start = !l.running
	l.running = true
	return true, start
}

// dropOldest drops the oldest message that nobody waits for, if there is one.
func (l *link) dropOldest() bool {
	oldest := slices.IndexFunc(l.queue, func(item *outgoing) bool {
		return item.reply == nil || item.state.Load() == itemWithdrawn
	})
	if oldest < 0 {
		return false
	}
	l.queue = slices.Delete(l.queue, oldest, oldest+1)
	return true
}

// next returns the first queued message that was not withdrawn, or nil.
func (l *link) next() *outgoing {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.queue) > 0 {
		item := l.queue[0]
		l.queue[0] = nil
		l.queue = l.queue[1:]
		if item.take() {
			return item
		}
	}
	return nil
}

// inactive reports whether the link has neither a connection nor a back-off.
func (l *link) inactive(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.running && now.After(l.retryAt)
}

func (l *link) active() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.running
}

// failQueue fails all queued messages.
func (l *link) failQueue(err error) {
	for item := l.next(); item != nil; item = l.next() {
		item.finish(nil, err)
	}
}

// run connects and sends the queued messages. It returns when connecting fails, or
// when a connection has ended and the queue is empty.
func (l *link) run() {
	for {
		connected, err := l.dial()
		if err != nil {
			l.logFailure(err)
			l.stopAfterFailure(errors.Wrapf(ErrUnreachable, "%v", err))
			return
		}
		l.resetFailures()
		newExchange(l, connected).run(l.client.ctx)
		if l.stopIfEmpty() {
			return
		}
	}
}

// logFailure logs a failure to connect: the first in a row as a warning, further
// ones at debug level.
func (l *link) logFailure(err error) {
	l.mutex.Lock()
	first := l.failures == 0
	l.mutex.Unlock()
	level := hclog.Debug
	if first {
		level = hclog.Warn
	}
	l.client.config.Logger.Log(level, "connection failed", "peer", l.address, "error", err)
}

// dial opens a connection and exchanges hellos.
func (l *link) dial() (*connection, error) {
	config := l.client.config
	ctx, cancel := context.WithTimeout(l.client.ctx, config.Timeouts.Dial)
	defer cancel()
	dialer := net.Dialer{}
	if config.SourceIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(config.SourceIP)}
	}
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	connected, err := startClient(ctx, raw, config)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return connected, nil
}

// stopAfterFailure fails all queued messages and starts a back-off.
func (l *link) stopAfterFailure(err error) {
	l.mutex.Lock()
	queue := l.queue
	l.queue = nil
	l.running = false
	l.failures++
	l.retryAt = l.client.clock().Add(backoff(l.failures))
	l.mutex.Unlock()
	for _, item := range queue {
		if item.take() {
			item.finish(nil, err)
		}
	}
}

// backoff returns the wait after the given number of consecutive failures.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	longest := min(longestBackoff, firstBackoff<<min(failures-1, maxDoublings))
	return longest/2 + rand.N(longest/2)
}

func (l *link) resetFailures() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.failures = 0
}

func (l *link) stopIfEmpty() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.running = len(l.queue) > 0
	return !l.running
}

// exchange is the traffic on one connection of a link.
type exchange struct {
	link        *link
	connection  *connection
	encoder     encoder
	writer      *bufio.Writer
	ended       chan struct{} // closed when the reader has ended
	received    atomic.Int64  // number of frames received
	recentTypes recentTypes   // used by the writer and, once it has ended, by learnUnknownType

	mutex    sync.Mutex
	lastCall uint64
	pending  map[uint64]*outgoing
}

func newExchange(link *link, connected *connection) *exchange {
	return &exchange{
		link:       link,
		connection: connected,
		writer:     bufio.NewWriter(connected),
		ended:      make(chan struct{}),
		pending:    make(map[uint64]*outgoing),
	}
}

// run sends messages and receives answers until the connection ends. Calls that are
// still unanswered then fail with ErrUnknownOutcome.
func (e *exchange) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { e.connection.Close() })
	defer stop()
	var reader conc.WaitGroup
	reader.Go(e.read)
	err := e.write()
	e.connection.Close()
	reader.Wait()
	e.learnUnknownType()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, call := range e.pending {
		call.finish(nil, errors.Wrapf(ErrUnknownOutcome, "connection ended: %v", err))
	}
}

// write sends queued messages and pings. It returns nil when the connection has
// been idle for long enough to close it.
func (e *exchange) write() error {
	timeouts := e.link.client.config.Timeouts
	ping := time.NewTicker(timeouts.Ping)
	defer ping.Stop()
	watch := silence{limit: SilenceFactor}
	idleSince := time.Now()
	sent := 0
	for {
		item := e.link.next()
		if item != nil {
			idleSince = time.Now()
			sent++
			if err := e.writeItem(item); err != nil {
				return err
			}
			continue
		}
		if err := e.flush(); err != nil {
			return err
		}
		select {
		case <-e.link.wake:
		case <-e.ended:
			return errors.New("closed by peer")
		case <-ping.C:
			e.removeAbandoned()
			if time.Since(idleSince) > idleLimit(timeouts.Idle, sent) && !e.awaitsAnswer() {
				return nil
			}
			if watch.tooLong(e.received.Load()) {
				return errors.New("nothing received for several ping intervals")
			}
			if err := e.writeFrame(frame{kind: framePing}); err != nil {
				return err
			}
		}
	}
}

// idleLimit returns how long an idle connection is kept, by the number of messages
// sent on it.
func idleLimit(limit time.Duration, sent int) time.Duration {
	if sent <= briefMessages {
		return limit / BriefIdleFactor
	}
	return limit
}

// silence counts the consecutive ping intervals in which nothing was received.
type silence struct {
	limit    int
	seen     int64
	quietFor int
}

func (s *silence) tooLong(received int64) bool {
	if received != s.seen {
		s.seen, s.quietFor = received, 0
		return false
	}
	s.quietFor++
	return s.quietFor > s.limit
}

// writeItem writes a message. A message that the peer does not know or that cannot
// be encoded fails without ending the connection.
func (e *exchange) writeItem(item *outgoing) error {
	if !e.peerKnows(item.typeName) {
		item.finish(nil, errors.Wrap(ErrUnknownType, item.typeName))
		return nil
	}
	e.noteSent(item.typeName)
	out := frame{kind: frameSend, message: item.message, typeName: item.typeName}
	if item.reply != nil {
		out.kind = frameCall
		out.call = e.addPending(item)
	}
	data, err := e.encoder.encode(out)
	if err != nil {
		e.removePending(out.call)
		e.link.client.config.Logger.Error("message dropped", "peer", e.link.address, "error", err)
		item.finish(nil, err)
		return nil
	}
	return e.writeBytes(data, item.typeName)
}

func (e *exchange) writeFrame(out frame) error {
	data, err := e.encoder.encode(out)
	if err != nil {
		return err
	}
	return e.writeBytes(data, out.typeName)
}

func (e *exchange) writeBytes(data []byte, typeName string) error {
	config := e.link.client.config
	deadline := time.Now().Add(config.Timeouts.Write)
	if err := e.connection.SetWriteDeadline(deadline); err != nil {
		return errors.WithStack(err)
	}
	if _, err := e.writer.Write(data); err != nil {
		return errors.WithStack(err)
	}
	config.Counters.sent(e.link.address, typeName, len(data))
	return nil
}

func (e *exchange) flush() error {
	if e.writer.Buffered() == 0 {
		return nil
	}
	deadline := time.Now().Add(e.link.client.config.Timeouts.Write)
	if err := e.connection.SetWriteDeadline(deadline); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(e.writer.Flush())
}

// addPending registers a pending call and returns its number.
func (e *exchange) addPending(call *outgoing) uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.lastCall++
	e.pending[e.lastCall] = call
	return e.lastCall
}

// removePending removes the pending call with a number and returns it, or nil if there is
// none.
func (e *exchange) removePending(number uint64) *outgoing {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	call := e.pending[number]
	delete(e.pending, number)
	return call
}

// removeAbandoned removes the pending calls whose callers gave up.
func (e *exchange) removeAbandoned() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	maps.DeleteFunc(e.pending, func(_ uint64, call *outgoing) bool {
		return call.state.Load() == itemAbandoned
	})
}

func (e *exchange) awaitsAnswer() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.pending) > 0
}

// read receives answers until the connection ends.
func (e *exchange) read() {
	defer close(e.ended)
	var decoder decoder
	frames := newFrameReader(e.connection.reader, MaxMessageBytes)
	for {
		data, err := frames.next()
		if err != nil {
			return
		}
		answer, err := decoder.decode(data)
		if err != nil {
			e.link.client.config.Logger.Warn("bad answer", "peer", e.link.address, "error", err)
			return
		}
		e.received.Add(1)
		e.link.client.config.Counters.received(e.link.address, answer.typeName, len(data))
		e.handleAnswer(answer)
	}
}

func (e *exchange) handleAnswer(answer frame) {
	if answer.kind != frameAnswer && answer.kind != frameError {
		return
	}
	call := e.removePending(answer.call)
	switch {
	case call == nil:
	case answer.unknown:
		call.finish(nil, errors.Wrapf(ErrUnknownOutcome, "answer of type %s, which is of another build", answer.typeName))
	case answer.kind == frameError:
		call.finish(nil, &RemoteError{Text: answer.text})
	default:
		call.finish(answer.message, nil)
	}
}
