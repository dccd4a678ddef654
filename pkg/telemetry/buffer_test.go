package telemetry

import (
	"bytes"
	"strings"
	"testing"
)

// stuckWriter blocks until it is let go.
type stuckWriter struct {
	letGo chan struct{}
	text  bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.letGo
	return w.text.Write(p)
}

func TestBufferNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	w := &stuckWriter{letGo: make(chan struct{})}
	b := &Buffer{Output: w, Lines: 2}
	const lines = 10
	for range lines {
		_, _ = b.Write([]byte("line\n"))
	}
	if dropped := b.Dropped(); dropped < lines-3 {
		t.Errorf("%d lines were dropped, want at least %d", dropped, lines-3)
	}
	close(w.letGo)
	b.Flush()
	if text := w.text.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("the drop is not told in %q", text)
	}
}
