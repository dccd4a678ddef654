// Package peer is the transport for messages between the nodes of martenwheel:
// gob over TCP, with bounded message sizes, a protocol version, and mutual TLS if
// keys are configured.
package peer

import (
	"context"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// Version is the protocol version. A peer with another version is refused.
const Version = 1

// MaxMessageBytes is the largest size of one encoded message.
const MaxMessageBytes = 4 << 20

// Errors that a Transport returns, possibly wrapped.
var (
	// ErrUnreachable means that the message was not sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUnknownOutcome means that the message was sent but not answered.
	ErrUnknownOutcome = errors.New("peer: outcome unknown")
	// ErrUnknownType means that the message was not sent because the peer runs a build that does not
	// know its type.
	ErrUnknownType = errors.New("peer: message of a type that the peer does not know")
	// ErrTooLarge means that the message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("peer: message too large")
)

// Message is a value of any registered message type (see Register). Messages are
// structs passed by value.
type Message any

// Handler answers the messages of other nodes. It must be safe for concurrent
// use. A nil answer with a nil error acknowledges the message.
type Handler interface {
	HandleMessage(ctx context.Context, from api.NodeRef, message Message) (Message, error)
}

// Transport sends messages to other nodes by the IP:port of their peer
// listeners. It is safe for concurrent use and never sends a message twice.
type Transport interface {
	// Call sends a message and waits for its answer.
	Call(ctx context.Context, address string, message Message) (Message, error)
	// Send queues a message and returns immediately. The message may be lost.
	Send(address string, message Message)
	Close() error
}
