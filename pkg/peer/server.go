package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"martenwheel.dev/pkg/api"
)

// Server accepts connections from other nodes and answers their messages.
type Server struct {
	config   Config
	listener net.Listener
	handler  Handler
	workers  conc.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc

	mutex  sync.Mutex
	open   map[net.Conn]struct{}
	silent map[net.Conn]time.Time // without a hello, with the time since which they are open
}

// Listen opens the listener. Connections are not accepted before Serve.
func Listen(config Config) (*Server, error) {
	config = config.withDefaults()
	config.TLS = serverTLS(config.TLS)
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer: listen on %s", config.Address)
	}
	if config.Self.PeerAddress == "" {
		config.Self.PeerAddress = listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:   config,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		open:     make(map[net.Conn]struct{}),
		silent:   make(map[net.Conn]time.Time),
	}, nil
}

// Self returns the node's identity as sent to peers. Its PeerAddress is that of the
// listener if the configuration left it empty.
func (s *Server) Self() api.NodeRef {
	return s.config.Self
}

// Serve starts to accept connections and returns immediately. It must be called only
// once.
func (s *Server) Serve(handler Handler) {
	s.handler = handler
	s.workers.Go(s.accept)
}

// Close closes all connections and waits for the handlers to return.
func (s *Server) Close() error {
	s.cancel()
	err := s.listener.Close()
	s.mutex.Lock()
	for conn := range s.open {
		conn.Close()
	}
	s.mutex.Unlock()
	s.workers.Wait()
	return errors.WithStack(err)
}

// acceptPause is the wait after a failed accept, for example when no file
// descriptor is available.
const acceptPause = 50 * time.Millisecond

func (s *Server) accept() {
	for {
		s.awaitHello()
		conn, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil {
			s.config.Logger.Warn("accept failed", "error", err)
			s.pause(acceptPause)
			continue
		}
		if !s.admit(conn) {
			s.config.Logger.Warn("too many connections", "peer", conn.RemoteAddr().String())
			conn.Close()
			continue
		}
		s.workers.Go(func() { s.serveConnection(conn) })
	}
}

// awaitHello waits until there is room for one more connection without a hello. Others wait in the listener's queue.
func (s *Server) awaitHello() {
	for s.ctx.Err() == nil && !s.makeHelloRoom() {
		s.pause(helloPoll)
	}
}

// makeHelloRoom closes the oldest connection without a hello if there is no room for one more and that may give way. It reports
// whether there is room.
func (s *Server) makeHelloRoom() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.silent) < s.config.Limits.Hellos {
		return true
	}
	var oldest net.Conn
	for conn, since := range s.silent {
		if oldest == nil || since.Before(s.silent[oldest]) {
			oldest = conn
		}
	}
	if time.Since(s.silent[oldest]) < helloTime {
		return false
	}
	oldest.Close()
	delete(s.silent, oldest)
	return true
}

// heard records that a connection has sent its hello, or has ended.
func (s *Server) heard(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.silent, conn)
}

func (s *Server) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-s.ctx.Done():
	}
}

// admit registers a connection. It returns false if there are too many or the
// server is closing.
func (s *Server) admit(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil || len(s.open) >= s.config.Limits.Connections {
		return false
	}
	s.open[conn] = struct{}{}
	s.silent[conn] = time.Now()
	return true
}

func (s *Server) release(conn net.Conn) {
	conn.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, conn)
}

func (s *Server) serveConnection(raw net.Conn) {
	defer s.release(raw)
	started, err := startServer(s.ctx, raw, s.config)
	s.heard(raw)
	if err != nil {
		s.config.Logger.Warn("connection refused", "peer", raw.RemoteAddr().String(), "error", err)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	session := &session{
		connection: started,
		server:     s,
		slots:      make(chan struct{}, maxCallsPerConnection),
	}
	err = session.read(ctx)
	raw.Close() // aborts writing the answers of pending calls
	cancel()
	session.calls.Wait()
	if err != nil && !errors.Is(err, io.EOF) && s.ctx.Err() == nil {
		s.config.Logger.Debug("connection ended", "peer", started.peer.ID, "error", err)
	}
}

// session is the server's side of a connection.
type session struct {
	*connection
	server *Server
	calls  conc.WaitGroup
	slots  chan struct{} // holds a token per call that is being handled

	mutex   sync.Mutex // guards encoder and writing
	encoder encoder
}

// read handles frames until the connection ends. Messages that expect no answer are
// handled in order, calls concurrently.
func (s *session) read(ctx context.Context) error {
	var decoder decoder
	frames := newFrameReader(s.reader, MaxMessageBytes)
	idle := s.server.config.Timeouts.Idle * SilenceFactor
	for {
		if err := s.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return errors.WithStack(err)
		}
		data, err := frames.next()
		if err != nil {
			return err
		}
		received, err := decoder.decode(data)
		if err != nil {
			return err
		}
		s.server.config.Counters.received(s.peer.PeerAddress, received.typeName, len(data))
		if received.unknown {
			s.rejectUnknown(received)
			continue
		}
		switch received.kind {
		case frameSend:
			s.handle(ctx, received.message)
		case frameCall:
			if _, asks := received.message.(StreamRequest); asks {
				s.serveStream(ctx, received)
				return nil
			}
			s.slots <- struct{}{}
			s.calls.Go(func() { s.answer(ctx, received) })
		case framePing:
			s.write(frame{kind: framePong})
		default:
			return errors.Errorf("peer: frame kind %d from a client", received.kind)
		}
	}
}

// rejectUnknown ignores a message whose type this build does not know, and answers a call with an error.
func (s *session) rejectUnknown(received frame) {
	s.server.config.Logger.Warn("message of unknown type ignored", "type", received.typeName, "peer", s.peer.ID)
	if received.kind == frameCall {
		s.write(frame{kind: frameError, call: received.call, text: ErrUnknownType.Error()})
	}
}

// answer handles a call and writes its answer.
func (s *session) answer(ctx context.Context, received frame) {
	defer func() { <-s.slots }()
	answer, err := s.handle(ctx, received.message)
	reply := frame{kind: frameAnswer, call: received.call, message: answer}
	if err == nil && answer != nil {
		reply.typeName, err = nameOf(answer)
	}
	if err == nil {
		err = s.write(reply)
	}
	if err != nil {
		s.write(frame{kind: frameError, call: received.call, text: err.Error()})
	}
}

// handle calls the handler. It logs a panic and converts it into an error, so that
// one message cannot crash the node.
func (s *session) handle(ctx context.Context, message Message) (answer Message, err error) {
	recovered := panics.Try(func() {
		answer, err = s.server.handler.HandleMessage(ctx, s.peer, message)
	})
	if recovered != nil {
		s.server.config.Logger.Error("handler panicked", "panic", recovered.String())
		return nil, errors.New("peer: handler failed")
	}
	return answer, err
}

// write sends a frame. It returns an error only if the frame cannot be encoded. If
// sending fails, it closes the connection and returns nil.
func (s *session) write(reply frame) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	data, err := s.encoder.encode(reply)
	if err != nil {
		return err
	}
	s.server.config.Counters.sent(s.peer.PeerAddress, reply.typeName, len(data))
	deadline := time.Now().Add(s.server.config.Timeouts.Write)
	if err := s.SetWriteDeadline(deadline); err != nil {
		s.Close()
		return nil
	}
	if _, err := s.Conn.Write(data); err != nil {
		s.Close()
	}
	return nil
}
