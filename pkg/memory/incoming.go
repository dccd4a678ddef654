package memory

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
)

// ErrGaveWay means that a message that had stalled gave way to others.
var ErrGaveWay = errors.New("memory: the message stalled and gave way to others")

const (
	// progressBytes have to come for a message to count as going on, so that single bytes do not keep it.
	progressBytes = 16 << 10
	// stallTime is the time without progress after which a message may have to give way.
	stallTime = 250 * time.Millisecond
	// maxRoomWait bounds the wait for a message that was told to give way.
	maxRoomWait = time.Second
)

// Incoming is a message that a sender may leave incomplete. While the budget is used up, the one that has stalled for
// longest gives way.
type Incoming struct {
	Buffer
	interrupt func()        // ends the read in progress
	ended     chan struct{} // closed by Interrupt
	ending    sync.Once
	progress  atomic.Int64 // when it last went on, in nanoseconds since the clock's epoch
	asked     bool         // to give way; guarded by the budget's mutex, as is the next field
	waits     bool         // for memory
}

// NewIncoming returns an empty message whose memory is taken from a budget. interrupt makes a read of the sender's bytes
// that is in progress, and later ones, return an error at once.
func NewIncoming(b *Budget, interrupt func()) *Incoming {
	return &Incoming{Buffer: *NewBuffer(b), interrupt: interrupt, ended: make(chan struct{})}
}

// Interrupt ends the read in progress, or the wait for memory, and keeps later ones from beginning.
func (in *Incoming) Interrupt() {
	in.ending.Do(func() { close(in.ended) })
	in.interrupt()
}

// Fill is Buffer.Fill. It returns ErrGaveWay if the message was told to give way, even if it is complete.
func (in *Incoming) Fill(r io.Reader, announced, limit int64) error {
	b := in.hold.budget
	in.progress.Store(clock.Now().UnixNano())
	b.enter(in)
	from := &progressReader{Reader: r, in: in}
	err := in.Buffer.Fill(from, announced, limit)
	for err == ErrUsedUp && b.awaitRoom(in) {
		err = in.Buffer.Fill(from, announced, limit)
	}
	if b.leave(in) {
		in.Release()
		return ErrGaveWay
	}
	return err
}

// interrupted reports whether Interrupt was called.
func (in *Incoming) interrupted() bool {
	select {
	case <-in.ended:
		return true
	default:
		return false
	}
}

// stalledFor returns for how long nothing worth counting has come.
func (in *Incoming) stalledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - in.progress.Load())
}

// progressReader records when a message goes on.
type progressReader struct {
	io.Reader
	in    *Incoming
	bytes int // since the last progress
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.bytes += n; r.bytes >= progressBytes {
		r.bytes = 0
		r.in.progress.Store(clock.Now().UnixNano())
	}
	return n, err
}

// enter registers a message that may be told to give way.
func (b *Budget) enter(in *Incoming) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incoming == nil {
		b.incoming = make(map[*Incoming]struct{})
	}
	b.incoming[in] = struct{}{}
}

// leave undoes enter, and reports whether the message was told to give way.
func (b *Budget) leave(in *Incoming) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.incoming, in)
	return in.asked
}

// awaitRoom tells the message that has stalled for longest, of those that hold memory, to give way, unless one is about to, and
// waits until memory was returned. It returns false if no other message has stalled, or if this one was interrupted.
func (b *Budget) awaitRoom(in *Incoming) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	if in.interrupted() || !b.givingWay() && !b.yieldLongest(in, 1) {
		b.mu.Unlock()
		return false
	}
	if b.returned == nil {
		b.returned = make(chan struct{})
	}
	returned := b.returned
	in.waits = true
	b.mu.Unlock()
	defer b.goOn(in)
	timer := time.NewTimer(maxRoomWait)
	defer timer.Stop()
	select {
	case <-in.ended:
		return false
	case <-returned:
		return true
	case <-timer.C:
		return false
	}
}

// goOn ends the wait of a message, which does not count as a stall.
func (b *Budget) goOn(in *Incoming) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in.waits = false
	in.progress.Store(clock.Now().UnixNano())
}

// givingWay reports whether a message that holds memory was told to give way and has not done so yet. The caller holds mu.
func (b *Budget) givingWay() bool {
	for in := range b.incoming {
		if in.asked && in.hold.charged > 0 {
			return true
		}
	}
	return false
}

// yieldLongest tells the message that has stalled for longest, of those that hold some bytes of the budget, to give way, and
// reports whether there is one, other than the given one. The caller holds mu.
func (b *Budget) yieldLongest(other *Incoming, least int64) bool {
	now, longest := clock.Now(), stallTime
	var chosen *Incoming
	for in := range b.incoming {
		if in == other || in.asked || in.waits || in.hold.charged < least {
			continue
		}
		if stalled := in.stalledFor(now); stalled >= longest {
			chosen, longest = in, stalled
		}
	}
	if chosen == nil {
		return false
	}
	b.yield(chosen)
	return true
}

// yield tells a message to give way. The caller holds mu.
func (b *Budget) yield(in *Incoming) {
	in.asked = true
	b.yielded++
	in.Interrupt()
}

// YieldLongest tells the incomplete message that has stalled for longest to give way, and reports whether there is one.
func (b *Budget) YieldLongest() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.yieldLongest(nil, 0)
}

// YieldAll tells all incomplete messages to give way.
func (b *Budget) YieldAll() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for in := range b.incoming {
		if !in.asked {
			b.yield(in)
		}
	}
}
