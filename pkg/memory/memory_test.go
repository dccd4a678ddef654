package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against holds that together exceed the budget, and holders that a crowd leaves without the free part.
func TestHoldsStayWithinTheBudget(t *testing.T) {
	b := &Budget{Limit: 3 * FreeBytes}
	first, second, third := b.Hold(), b.Hold(), b.Hold()
	if !first.Resize(3*FreeBytes) || second.Resize(3*FreeBytes) {
		t.Fatal("the second hold exceeds the budget")
	}
	if !third.Resize(FreeBytes) {
		t.Fatal("the free part is refused")
	}
	if u := b.Usage(); u.Used != 2*FreeBytes || u.Refused != 1 {
		t.Fatalf("usage %+v", u)
	}
	first.Release()
	if !second.Resize(4*FreeBytes) || b.Usage().Used != 3*FreeBytes {
		t.Fatalf("released memory is not available: %+v", b.Usage())
	}
}

// Guards against buffers that keep less or more than what came, whatever length was announced.
func TestBufferKeepsWhatComes(t *testing.T) {
	for _, length := range []int{0, 1, 511, 512, 513, 100_000} {
		content := strings.Repeat("x", length)
		for _, announced := range []int64{-1, 0, int64(length), int64(length) + 7, 1 << 40} {
			for name, r := range map[string]io.Reader{
				"at once": strings.NewReader(content), "with its end": iotest.DataErrReader(strings.NewReader(content)),
				"in bytes": iotest.OneByteReader(strings.NewReader(content)),
			} {
				budget := &Budget{Limit: 1 << 20}
				b := NewBuffer(budget)
				if err := b.Fill(r, announced, int64(length)); err != nil || string(b.Bytes()) != content {
					t.Errorf("%d bytes, %d announced, %s: %d, %v", length, announced, name, b.Len(), err)
				}
				b.Release()
				if u := budget.Usage(); u.Used != 0 {
					t.Errorf("%d bytes, %d announced, %s: %d are still held", length, announced, name, u.Used)
				}
			}
		}
	}
}

// Guards against a message that takes more memory than it may.
func TestBufferEndsAtItsLimits(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced int64
		limit     int64
		budget    int64
		want      error
	}{
		{"too long", -1, 1 << 20, 0, ErrTooLong},
		{"longer than announced", 1 << 19, 1 << 20, 0, ErrTooLong},
		{"no room", -1, 1 << 30, 1 << 20, ErrUsedUp},
		{"no room for what was announced", 1 << 30, 1 << 30, 1 << 20, ErrUsedUp},
	} {
		budget := &Budget{Limit: c.budget}
		b := NewBuffer(budget)
		if err := b.Fill(endless{}, c.announced, c.limit); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		if most := budget.Usage().Most; c.budget > 0 && most > c.budget || most > 4*c.limit {
			t.Errorf("%s: %d bytes were held", c.name, most)
		}
	}
}

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a buffer that keeps the memory of what it has discarded.
func TestBufferReturnsWhatItDiscards(t *testing.T) {
	budget := &Budget{Limit: 1 << 20}
	b := NewBuffer(budget)
	if !b.Append(bytes.Repeat([]byte("x"), 100_000)) || !b.Append([]byte("rest")) {
		t.Fatal("no room")
	}
	b.Discard(100_000)
	if string(b.Bytes()) != "rest" {
		t.Fatalf("content %q", b.Bytes())
	}
	b.Discard(len("rest"))
	if u := budget.Usage(); u.Used != 0 || b.Len() != 0 {
		t.Fatalf("%d bytes are still held", u.Used)
	}
}

// Guards against ordinary messages that need the budget while their buffers grow.
func TestBufferOfTheFreePartNeedsNoBudget(t *testing.T) {
	budget := &Budget{Limit: 1}
	for _, piece := range []int{1, 100, FreeBytes / 2, FreeBytes} {
		b := NewBuffer(budget)
		for b.Len()+piece <= FreeBytes {
			if !b.Append(make([]byte, piece)) {
				t.Fatalf("no room for %d bytes in pieces of %d", b.Len()+piece, piece)
			}
		}
		b.Release()
	}
	content := strings.NewReader(strings.Repeat("x", FreeBytes-1))
	if err := NewBuffer(budget).Fill(content, -1, 1<<20); err != nil {
		t.Errorf("a message of unknown length: %v", err)
	}
}
