package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tree"
)

// bootstrapPause is the pause between two attempts to get the first tree.
const bootstrapPause = 500 * time.Millisecond

// bootstrap gets the first tree of a new process: the newest one that the platform or
// a reachable seed has.
type bootstrap struct {
	trees  *tree.Holder
	store  *tree.Store
	peers  []tree.Source
	logger hclog.Logger
}

// newBootstrap returns a bootstrap that reads from the store and the seeds.
func newBootstrap(trees *tree.Holder, store *tree.Store, transport peer.Transport, seeds []string, logger hclog.Logger) *bootstrap {
	b := &bootstrap{trees: trees, store: store, logger: logger}
	for _, seed := range seeds {
		b.peers = append(b.peers, peerSource{transport: transport, address: seed})
	}
	return b
}

// run tries until a tree is in force or ctx ends.
func (b *bootstrap) run(ctx context.Context) {
	for !b.fetchFirstTree(ctx) {
		select {
		case <-time.After(bootstrapPause):
		case <-ctx.Done():
			return
		}
	}
}

// fetchFirstTree asks all sources concurrently. It returns whether it got a tree.
func (b *bootstrap) fetchFirstTree(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTreeTimeout)
	defer cancel()
	newest, err := tree.Newest(ctx, b.store, b.peers...)
	if err != nil {
		b.logger.Warn("cannot get first tree", "error", err)
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
