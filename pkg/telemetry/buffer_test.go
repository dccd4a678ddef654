package telemetry

import (
	"bytes"
	"strings"
	"testing"
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
	b.Flush()
	if text := w.text.String(); !strings.Contains(text, "log lines dropped") {
		t.Errorf("the output does not report the dropped lines: %q", text)
	}
}
