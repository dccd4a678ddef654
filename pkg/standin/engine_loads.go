package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	loadPollInterval = 50 * time.Millisecond
	loadRetryWait    = 200 * time.Millisecond // after a refused or failed request to the weight store
	loadTimeout      = 15 * time.Minute
)

// Errors of a WeightSource.
var (
	// ErrStartRefused means that the rate limit of transfer starts is exceeded.
	ErrStartRefused = errors.New("standin: weight store refuses the start")
	// ErrUnknownTransfer means that the weight store has dropped the transfer.
	ErrUnknownTransfer = errors.New("standin: unknown transfer")
)

// WeightSource is an engine's interface to the weight store. Implementations are
// safe for concurrent use.
type WeightSource interface {
	// Start starts the transfer of a checkpoint and returns its ID.
	Start(ctx context.Context, checkpoint string, bytes uint64) (string, error)
	// Fetched returns the number of bytes transferred so far.
	Fetched(ctx context.Context, transfer string) (uint64, error)
	// Stop ends a transfer.
	Stop(ctx context.Context, transfer string) error
}

// fetch loads an item's checkpoint into memory and marks the item as ready or
// failed.
func (e *Engine) fetch(ctx context.Context, loaded *item) {
	ctx, cancel := context.WithTimeout(ctx, e.clock.Wall(loadTimeout))
	defer cancel()
	fails := e.faults.take(PartOrders, func(faults *Faults) *int { return &faults.FailLoads })
	fetched := false
	if rate, local := e.localRate(loaded); local {
		fetched = e.fetchLocal(ctx, loaded, rate)
	} else {
		fetched = e.fetchRemote(ctx, loaded)
	}
	e.faults.waitThawed(ctx, PartEngine)
	e.update(func(state *engineState) { state.finishLoad(loaded, fetched && !fails) })
}

// localRate returns the rate in bytes per second at which the checkpoint is
// read, and false if it must come from the weight store.
func (e *Engine) localRate(loaded *item) (float64, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case e.state.hostCache.has(loaded.checkpoint):
		return e.config.HostBytesPerSecond, true
	case e.state.diskCache.has(loaded.checkpoint):
		return e.config.DiskBytesPerSecond, true
	default:
		return e.config.RemoteBytesPerSecond, e.weights == nil
	}
}

// fetchLocal simulates reading the checkpoint at rate. It returns false if the
// item was unloaded meanwhile or ctx ended.
func (e *Engine) fetchLocal(ctx context.Context, loaded *item, rate float64) bool {
	started := e.clock.Now()
	total := float64(loaded.MemoryBytes)
	for {
		left := total - e.clock.Now().Sub(started).Seconds()*rate
		if left <= 0 {
			return true
		}
		if !e.report(ctx, loaded, 1-left/total) {
			return false
		}
		if !e.clock.Sleep(ctx, min(duration(left/rate), loadPollInterval)) {
			return false
		}
	}
}

// fetchRemote transfers the checkpoint from the weight store and retries while
// the store refuses or doesn't answer. It returns false if the item was unloaded
// meanwhile or ctx ended.
func (e *Engine) fetchRemote(ctx context.Context, loaded *item) bool {
	var transfer string
	var fetched uint64
	for e.report(ctx, loaded, float64(fetched)/float64(loaded.MemoryBytes)) {
		now, err := e.pollTransfer(ctx, &transfer, loaded)
		wait := loadRetryWait
		if err == nil {
			fetched, wait = now, loadPollInterval
		}
		if fetched >= loaded.MemoryBytes {
			return true
		}
		if !e.clock.Sleep(ctx, wait) {
			return false
		}
	}
	if transfer != "" {
		_ = e.weights.Stop(ctx, transfer) // without polls the transfer ends by itself
	}
	return false
}

// pollTransfer starts the transfer, or polls its progress if it was started.
func (e *Engine) pollTransfer(ctx context.Context, transfer *string, loaded *item) (fetched uint64, err error) {
	if *transfer == "" {
		*transfer, err = e.weights.Start(ctx, loaded.checkpoint, loaded.MemoryBytes)
		return 0, err
	}
	fetched, err = e.weights.Fetched(ctx, *transfer)
	if errors.Is(err, ErrUnknownTransfer) {
		*transfer = ""
	}
	return fetched, err
}

// report records the progress of a load once the engine isn't frozen. It returns
// false if the item is no longer loading.
func (e *Engine) report(ctx context.Context, loaded *item, progress float64) (loading bool) {
	e.faults.waitThawed(ctx, PartEngine)
	e.update(func(state *engineState) { loading = state.setProgress(loaded, progress) })
	return loading
}
