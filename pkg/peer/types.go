// Package peer carries messages between the nodes of martenwheel: gob over
// TCP, bounded in size, versioned, under mutual TLS when keys are given.
package peer

import (
	"context"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// Version is the protocol's version. A peer with another one is refused.
const Version = 1

// MaxMessageBytes bounds one encoded message.
const MaxMessageBytes = 4 << 20

// Errors that Transport returns, possibly wrapped.
var (
	// ErrUnreachable means that the message was not sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrUnknownOutcome means that the message was sent but not answered.
	ErrUnknownOutcome = errors.New("peer: outcome unknown")
	// ErrUnknownType means that the peer is of a build that does not know the message. It was not
	// sent.
	ErrUnknownType = errors.New("peer: message of a type that the peer does not know")
	// ErrTooLarge means that the message is over MaxMessageBytes.
	ErrTooLarge = errors.New("peer: message too large")
)

// Message is any registered message type (see Register). Messages are structs
// passed by value.
type Message any

// Handler answers the messages of other nodes. It is called from many
// goroutines. A nil answer with nil error acknowledges the message.
type Handler interface {
	HandleMessage(ctx context.Context, from api.NodeRef, message Message) (Message, error)
}

// Transport sends messages to other nodes by the IP:port of their peer
// listeners. Safe for concurrent use. Nothing is sent twice.
type Transport interface {
	// Call sends a message and waits for its answer.
	Call(ctx context.Context, address string, message Message) (Message, error)
	// Send queues a message without waiting. It may be lost.
	Send(address string, message Message)
	Close() error
}
