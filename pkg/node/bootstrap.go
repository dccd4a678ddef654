package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tree"
)

// bootstrapPause is the wait between two tries to get the first tree.
const bootstrapPause = 500 * time.Millisecond

// bootstrap gets the first tree of a fresh process: the newest that the
// platform or a seed in reach has.
type bootstrap struct {
	trees  *tree.Holder
	store  *tree.Store
	peers  []tree.Source
	logger hclog.Logger
}

// newBootstrap returns a bootstrap from the store and the seeds.
func newBootstrap(trees *tree.Holder, store *tree.Store, transport peer.Transport, seeds []string, logger hclog.Logger) *bootstrap {
	b := &bootstrap{trees: trees, store: store, logger: logger}
	for _, seed := range seeds {
		b.peers = append(b.peers, peerSource{transport: transport, address: seed})
	}
	return b
}

// run returns when a tree is in force, or when ctx ends.
func (b *bootstrap) run(ctx context.Context) {
	for !b.try(ctx) {
		select {
		case <-time.After(bootstrapPause):
		case <-ctx.Done():
			return
		}
	}
}

// try asks all sources at once.
func (b *bootstrap) try(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTreeTimeout)
	defer cancel()
	newest, err := tree.Newest(ctx, b.store, b.peers...)
	if err != nil {
		b.logger.Warn("no first tree yet", "error", err)
		return false
	}
	b.trees.Offer(newest)
	return true
}

// peerSource fetches the tree from another node.
type peerSource struct {
	transport peer.Transport
	address   string
}

// Fetch implements tree.Source.
func (s peerSource) Fetch(ctx context.Context, request tree.FetchRequest) (tree.FetchAnswer, error) {
	answer, err := s.transport.Call(ctx, s.address, request)
	if err != nil {
		return tree.FetchAnswer{}, err
	}
	fetched, ok := answer.(tree.FetchAnswer)
	if !ok {
		return tree.FetchAnswer{}, errUnexpectedAnswer
	}
	return fetched, nil
}
