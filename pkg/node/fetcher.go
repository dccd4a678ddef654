package node

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tree"
)

// fetchTreeTimeout is the timeout of one fetch of the tree.
const fetchTreeTimeout = 5 * time.Second

// treeFetcher fetches newer trees from peers or the platform, one at a time, because
// many nodes announce the same change and each answer costs a check of the tree. Of
// the fetches requested while one is running, only the last is done after it. The
// tree holder notifies the control loop of a new tree.
type treeFetcher struct {
	ctx       context.Context // ends when the node stops
	tasks     *conc.WaitGroup
	trees     *tree.Holder
	store     *tree.Store
	transport peer.Transport
	logger    hclog.Logger

	mutex   sync.Mutex
	running bool
	next    *control.FetchTree
}

// fetch starts a fetch. If one is running, the new one starts when it ends, and
// replaces any other that waits. It does not block.
func (f *treeFetcher) fetch(effect control.FetchTree) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.next = &effect
	if f.running {
		return
	}
	f.running = true
	f.tasks.Go(f.run)
}

// run fetches until no fetch is waiting.
func (f *treeFetcher) run() {
	for effect := f.takeNext(); effect != nil; effect = f.takeNext() {
		f.fetchOnce(*effect)
	}
}

// takeNext returns the waiting fetch. If there is none, it marks the fetcher as not
// running and returns nil.
func (f *treeFetcher) takeNext() *control.FetchTree {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.next
	f.next = nil
	f.running = next != nil
	return next
}

func (f *treeFetcher) fetchOnce(effect control.FetchTree) {
	ctx, cancel := context.WithTimeout(f.ctx, fetchTreeTimeout)
	defer cancel()
	var source tree.Source = f.store
	if effect.Peer != "" {
		source = peerSource{transport: f.transport, address: effect.Peer}
	}
	if err := f.fetchTreeFrom(ctx, source); err != nil {
		f.logger.Warn("cannot fetch tree", "peer", effect.Peer, "error", err)
	}
}

// fetchTreeFrom requests the changes since the tree in force. If that fails or they
// cannot be applied, it requests the whole tree.
func (f *treeFetcher) fetchTreeFrom(ctx context.Context, source tree.Source) error {
	request := tree.FetchRequest{After: f.trees.Current().Revision()}
	if err := f.receiveTree(ctx, source, request); err == nil {
		return nil
	}
	request.Whole = true
	return f.receiveTree(ctx, source, request)
}

func (f *treeFetcher) receiveTree(ctx context.Context, source tree.Source, request tree.FetchRequest) error {
	answer, err := source.Fetch(ctx, request)
	if err != nil {
		return err
	}
	_, err = f.trees.Receive(answer)
	return err
}
