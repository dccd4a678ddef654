package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Buffer passes log lines to a writer that may be slow, without blocking the
// caller. When it is full, lines are dropped and counted. Set the fields before
// the first Write.
type Buffer struct {
	Output io.Writer
	Lines  int // capacity in lines; zero: defaultBufferLines

	once     sync.Once
	lines    chan []byte
	done     chan struct{}
	dropped  atomic.Uint64
	reported uint64 // dropped lines reported so far; used only by run
}

const defaultBufferLines = 2048

func (b *Buffer) init() {
	b.once.Do(func() {
		n := b.Lines
		if n == 0 {
			n = defaultBufferLines
		}
		b.lines = make(chan []byte, n)
		b.done = make(chan struct{})
		go b.run()
	})
}

// Write buffers one line. It never blocks and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	b.init()
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines, including those that could not be
// written.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

func (b *Buffer) run() {
	for line := range b.lines {
		if line == nil {
			close(b.done)
			return
		}
		if dropped := b.dropped.Load(); dropped != b.reported {
			b.reported = dropped
			fmt.Fprintf(b.Output, `{"@level":"warn","@message":"log lines dropped","total":%d}`+"\n", dropped)
		}
		if _, err := b.Output.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// Flush waits until the buffered lines are written, at most for limit, and stops the
// buffer.
func (b *Buffer) Flush(limit time.Duration) {
	b.init()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case b.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-b.done:
	case <-timer.C:
	}
}
