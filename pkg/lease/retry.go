package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Limits of repeated writes.
const (
	maxWrites        = 4 // of one record, the first one included
	minRetryInterval = 60 * time.Millisecond
	maxRetryInterval = 300 * time.Millisecond
	// retryLatencyFactor is how many mean latencies an answer may take before the write is repeated.
	retryLatencyFactor = 4
	// newestLatencyWeight is the weight of the newest answer in the mean latency.
	newestLatencyWeight = 0.3
)

// writeRepeatedly writes a record and repeats the write while no answer comes. Otherwise a lost answer would
// be noticed only when the call times out, and all orders wait for the write. All writes have the same record
// and condition, so that at most one of them takes effect; a later one then finds the record that it was to
// write.
func (l *Lease) writeRepeatedly(ctx context.Context, r Record, over Stored) (Stored, error) {
	type answer struct {
		stored Stored
		err    error
	}
	answers := make(chan answer, maxWrites)
	write := func() {
		began := l.Time.Now()
		s, err := l.Store.Write(ctx, r, over)
		if outcomeKnown(err) {
			l.writeLatency.observe(l.Time.Since(began))
		}
		answers <- answer{s, err}
	}
	interval := l.writeLatency.retryInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	go write()
	for sent, pending := 1, 1; ; {
		select {
		case a := <-answers:
			pending--
			if outcomeKnown(a.err) || pending == 0 {
				return a.stored, a.err
			}
		case <-ticker.C:
			if sent < maxWrites {
				sent++
				pending++
				go write()
				l.log("lease written again", "version", over.Version, "writes", sent, "patience_ms", interval.Milliseconds())
			}
		}
	}
}

// outcomeKnown reports whether the store's answer tells if the write was done.
func outcomeKnown(err error) bool { return err == nil || errors.Is(err, ErrConflict) }

// latency is a moving average of the time that the store takes to answer. It is safe for concurrent use.
type latency struct {
	mu   sync.Mutex
	mean time.Duration
}

// observe adds the duration of one answered call.
func (l *latency) observe(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += time.Duration(newestLatencyWeight * float64(duration-l.mean))
}

// retryInterval returns the time after which an answer counts as lost.
func (l *latency) retryInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(retryLatencyFactor*l.mean, minRetryInterval), maxRetryInterval)
}
