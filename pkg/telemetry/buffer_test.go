package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.text.Write(p)
}

func TestBufferNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := &Buffer{Output: w, Lines: 2}
	const lines = 10
	for range lines {
		_, _ = b.Write([]byte("line\n"))
	}
	if dropped := b.Dropped(); dropped < lines-3 {
		t.Errorf("%d lines were dropped, want at least %d", dropped, lines-3)
	}
	close(w.release)
	b.Flush(time.Second)
	if text := w.text.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("the output does not report the dropped lines: %q", text)
	}
}

// Guards against a flush that lasts longer than its limit, whether the buffer is full or not.
func TestFlushEndsWithItsLimitThoughNobodyReads(t *testing.T) {
	for name, lines := range map[string]int{"one line": 1, "full": 10} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &blockedWriter{release: make(chan struct{})}
				b := &Buffer{Output: w, Lines: 2}
				for range lines {
					_, _ = b.Write([]byte("line\n"))
				}
				synctest.Wait()
				const limit = 80 * time.Millisecond
				began := time.Now()
				b.Flush(limit)
				if took := time.Since(began); took != limit {
					t.Errorf("the flush took %v, want %v", took, limit)
				}
				close(w.release)
				b.Flush(time.Second) // ends the buffer's goroutine
			})
		})
	}
}

// slowWriter takes a while for each line.
type slowWriter time.Duration

func (w slowWriter) Write(line []byte) (int, error) {
	time.Sleep(time.Duration(w))
	return len(line), nil
}

// Guards against a flush whose limit begins anew once the reader has made room for its end.
func TestFlushEndsWithItsLimitThoughTheReaderIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 80 * time.Millisecond
		b := &Buffer{Output: slowWriter(limit * 3 / 4), Lines: 1}
		for range 2 { // one that is being written, and one that fills the buffer until then
			_, _ = b.Write([]byte("line\n"))
			synctest.Wait()
		}
		began := time.Now()
		b.Flush(limit)
		if took := time.Since(began); took != limit {
			t.Errorf("the flush took %v, want %v", took, limit)
		}
		time.Sleep(limit) // ends the buffer's goroutine
	})
}
