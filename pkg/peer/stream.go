package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/orderly"
)

// StreamRequest is a message that asks a peer for a stream: if it agrees, the connection on which it was
// asked carries nothing but bytes from then on.
type StreamRequest interface {
	OpensStream()
}

// StreamHandler is a Handler that also opens streams for other nodes. Without a connection, the answer is all
// that the peer gets.
type StreamHandler interface {
	Handler
	OpenStream(ctx context.Context, from api.NodeRef, request StreamRequest) (net.Conn, Message, error)
}

// Opener opens streams at other nodes, each on a connection of its own.
type Opener struct {
	Config Config
	Dial   func(ctx context.Context, address string) (net.Conn, error)
}

// Open asks a peer for a stream and returns it with the peer's answer. The caller closes the stream also if
// the peer did not agree.
func (o *Opener) Open(ctx context.Context, address string, request StreamRequest) (net.Conn, Message, error) {
	name, err := nameOf(request)
	if err != nil {
		return nil, nil, err
	}
	raw, err := o.Dial(ctx, address)
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	config := o.Config.withDefaults()
	config.TLS = clientTLS(config.TLS)
	connected, answer, err := ask(ctx, raw, config, name, request)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		raw.Close()
		return nil, nil, err
	}
	return &stream{connection: connected}, answer, nil
}

// ask exchanges hellos, sends the request and reads its answer.
func ask(ctx context.Context, raw net.Conn, config Config, name string, request StreamRequest) (*connection, Message, error) {
	connected, err := startClient(ctx, raw, config)
	if err != nil {
		return nil, nil, err
	}
	if !connected.knownTypes[typeHash(name)] {
		return nil, nil, errors.Wrap(ErrUnknownType, name)
	}
	var sending encoder
	data, err := sending.encode(frame{kind: frameCall, message: request, typeName: name})
	if err != nil {
		return nil, nil, err
	}
	if _, err := connected.Write(data); err != nil {
		return nil, nil, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	data, err = newFrameReader(connected.reader, MaxMessageBytes).next()
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	var received decoder
	reply, err := received.decode(data)
	switch {
	case err != nil:
		return nil, nil, err
	case reply.kind == frameError:
		return nil, nil, &RemoteError{Text: reply.text}
	case reply.kind != frameAnswer:
		return nil, nil, errors.Errorf("peer: frame kind %d in place of an answer", reply.kind)
	}
	return connected, reply.message, nil
}

// stream is the opener's end of a stream.
type stream struct{ *connection }

// Read reads first what arrived together with the answer.
func (s *stream) Read(p []byte) (int, error) { return readBuffered(s.reader, s.Conn, p) }

// readBuffered reads what is left in a reader of a connection, then the connection itself.
func readBuffered(reader *bufio.Reader, conn net.Conn, p []byte) (int, error) {
	if n := reader.Buffered(); n > 0 {
		return reader.Read(p[:min(n, len(p))])
	}
	return conn.Read(p)
}

// Times of the server's end of a stream.
const (
	streamKeepAlive = 2 * time.Second // rest of the peer after which it is probed
	streamProbe     = time.Second     // between probes
	streamProbes    = 2               // unanswered probes that end the stream
	// streamCloseTime is how long the peer may take to close a stream whose other side has ended.
	streamCloseTime = 2 * time.Second
	// lingerDefault makes the system close a connection in order.
	lingerDefault = -1
)

// serveStream opens a stream for the peer and copies bytes both ways until it ends.
func (s *session) serveStream(ctx context.Context, received frame) {
	handler, ok := s.server.handler.(StreamHandler)
	if !ok {
		s.write(frame{kind: frameError, call: received.call, text: "peer: no streams here"})
		return
	}
	target, answer, err := handler.OpenStream(ctx, s.peer, received.message.(StreamRequest))
	if target != nil {
		defer target.Close()
	}
	reply := frame{kind: frameAnswer, call: received.call, message: answer}
	if err == nil {
		reply.typeName, err = nameOf(answer)
	}
	if err == nil {
		err = s.write(reply)
	}
	if err != nil {
		s.write(frame{kind: frameError, call: received.call, text: err.Error()})
		return
	}
	if target != nil {
		s.copyBoth(ctx, target)
	}
}

// copyBoth copies bytes between the peer and target. An end of target in order is passed on as such and
// everything else, the end of this process included, as a reset: an answer may end with its connection, and a
// part of it must not look whole.
func (s *session) copyBoth(ctx context.Context, target net.Conn) {
	s.prepareStream()
	target = orderly.Wrap(target)
	stop := context.AfterFunc(ctx, func() {
		s.abort()
		target.Close()
	})
	defer stop()
	peerClosed := make(chan struct{})
	go func() {
		defer close(peerClosed)
		_, _ = io.Copy(&upload{to: target}, struct{ io.Reader }{s.reader}) // whatever ends it, the peer wants no more
		target.Close()
	}()
	if _, err := io.Copy(s.Conn, target); err == nil {
		s.endInOrder(peerClosed)
	}
	s.abort()
	<-peerClosed
}

// abort closes the connection to the peer without the alert by which TLS ends a connection in order.
func (s *session) abort() {
	if tcp, ok := s.tcp(); ok {
		tcp.Close()
		return
	}
	s.Conn.Close()
}

// upload passes on what the peer sends. Once the target takes no more, the rest is dropped: its answer may still be on the way.
type upload struct {
	to    net.Conn
	ended bool
}

// Write implements io.Writer. It never fails.
func (u *upload) Write(p []byte) (int, error) {
	if !u.ended {
		_, err := u.to.Write(p)
		u.ended = err != nil // why it ended shows to whoever reads from the target
	}
	return len(p), nil
}

// prepareStream sets the connection to the peer up for a stream. Errors show when it is used.
func (s *session) prepareStream() {
	_ = s.SetDeadline(time.Time{})
	if tcp, ok := s.tcp(); ok {
		_ = tcp.SetLinger(0)
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: streamKeepAlive, Interval: streamProbe, Count: streamProbes})
	}
}

// endInOrder tells the peer that the stream has ended, and waits for it to close.
func (s *session) endInOrder(peerClosed <-chan struct{}) {
	half, ok := s.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	timer := time.NewTimer(streamCloseTime)
	defer timer.Stop()
	select {
	case <-peerClosed:
	case <-timer.C:
	}
	if tcp, ok := s.tcp(); ok {
		_ = tcp.SetLinger(lingerDefault)
	}
}

// tcp returns the connection to the peer below TLS.
func (c *connection) tcp() (*net.TCPConn, bool) {
	conn := c.Conn
	for {
		if tcp, ok := conn.(*net.TCPConn); ok {
			return tcp, true
		}
		upper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = upper.NetConn()
	}
}
