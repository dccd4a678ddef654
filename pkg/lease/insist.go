package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Times of writes without an answer.
const (
	maxWrites     = 4 // of one record
	leastPatience = 60 * time.Millisecond
	mostPatience  = 300 * time.Millisecond
	// patienceFactor is how many usual answers' time an answer may take.
	patienceFactor = 4
	// paceWeight is the weight of the newest answer in the usual time.
	paceWeight = 0.3
)

// insist writes a record, and again while no answer comes: a lost answer is
// otherwise noticed only when the call's time is over, and all orders wait for
// it. The writes are alike and under the same condition, so that one of them takes
// effect at most; a later one then finds the record as it wrote it.
func (l *Lease) insist(ctx context.Context, r Record, over Stored) (Stored, error) {
	type answer struct {
		stored Stored
		err    error
	}
	answers := make(chan answer, maxWrites)
	write := func() {
		began := l.Time.Now()
		s, err := l.Store.Write(ctx, r, over)
		if settled(err) {
			l.pace.observe(l.Time.Since(began))
		}
		answers <- answer{s, err}
	}
	patience := l.pace.patience()
	again := time.NewTicker(patience)
	defer again.Stop()
	go write()
	for sent, waiting := 1, 1; ; {
		select {
		case a := <-answers:
			waiting--
			if settled(a.err) || waiting == 0 {
				return a.stored, a.err
			}
		case <-again.C:
			if sent < maxWrites {
				sent++
				waiting++
				go write()
				l.log("lease written again", "version", over.Version, "writes", sent, "patience_ms", patience.Milliseconds())
			}
		}
	}
}

// settled tells whether the store said what became of a write.
func settled(err error) bool { return err == nil || errors.Is(err, ErrConflict) }

// pace remembers how long the store's answers usually take. Safe for concurrent
// use.
type pace struct {
	mu    sync.Mutex
	usual time.Duration
}

func (p *pace) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(paceWeight * float64(took-p.usual))
}

// patience returns after which time an answer counts as lost.
func (p *pace) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(patienceFactor*p.usual, leastPatience), mostPatience)
}
