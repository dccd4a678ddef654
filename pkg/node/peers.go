package node

import (
	"context"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tree"
)

// errUnexpectedAnswer means that a peer answered a request with a message of the wrong
// type.
var errUnexpectedAnswer = errors.New("node: peer answered with an unexpected message")

// registerMessages registers all messages between nodes with the transport.
func registerMessages() {
	for _, message := range control.Messages() {
		peer.Register(message)
	}
	for _, message := range membership.Messages() {
		peer.Register(message)
	}
	for _, message := range keeper.Messages() {
		peer.Register(message)
	}
	peer.Register(tree.FetchRequest{}, tree.FetchAnswer{})
}

// peerHandler handles the messages of other nodes. It answers tree fetches and the
// keeper's messages itself. All others become events of the control loop, which
// answers with separate messages.
type peerHandler struct {
	loop   *loop
	trees  *tree.Holder
	keeper *keeper.Keeper
}

// HandleMessage implements peer.Handler. It blocks while the loop's queue is full,
// which slows down the sender.
func (h *peerHandler) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	if request, ok := message.(tree.FetchRequest); ok {
		return h.trees.Answer(request), nil
	}
	if reply, handled, err := h.keeper.HandleMessage(message); handled {
		return reply, err
	}
	h.loop.deliver(ctx, control.PeerReceived{From: from, Message: message})
	return nil, nil
}
