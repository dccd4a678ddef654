package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
)

// bootstrapPause is the wait between two tries to get the first tree.
const bootstrapPause = 500 * time.Millisecond

// bootstrap gets the first tree of a fresh process: the newest of the platform
// and of the seeds in reach. A snapshot alone is not enough, since it may be
// older than a change that was accepted.
type bootstrap struct {
	executor *executor
	seeds    []string
	logger   hclog.Logger
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

// try asks the platform and all seeds at once. It succeeds when the platform
// answered, or when a seed had a tree.
func (b *bootstrap) try(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTreeTimeout)
	defer cancel()
	var group conc.WaitGroup
	for _, seed := range b.seeds {
		group.Go(func() { b.askSeed(ctx, seed) })
	}
	platformError := b.executor.fetchTreeFromPlatform(ctx)
	if recovered := group.WaitAndRecover(); recovered != nil {
		b.logger.Error("asking the seeds failed", "panic", recovered.String())
	}
	if platformError == nil {
		return true
	}
	b.logger.Warn("first tree not read from the platform", "error", platformError)
	return b.executor.trees.Current().Revision() > 0
}

func (b *bootstrap) askSeed(ctx context.Context, seed string) {
	if err := b.executor.fetchTreeFromPeer(ctx, seed); err != nil {
		b.logger.Debug("first tree not read from seed", "peer", seed, "error", err)
	}
}
