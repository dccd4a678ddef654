package memory

import (
	"io"
	"math"

	"github.com/pkg/errors"
)

// ErrTooLong means that a message is longer than it may be.
var ErrTooLong = errors.New("memory: the message is too long")

const (
	// firstBytes is the size of a buffer whose content has no known length.
	firstBytes = 512
	// maxTrusted bounds what is allocated for a length that was announced before the content has come.
	maxTrusted = 64 << 10
)

// Buffer holds a message within a budget. It belongs to one goroutine at a time.
type Buffer struct {
	hold Hold
	data []byte
}

// NewBuffer returns an empty buffer whose memory is taken from a budget.
func NewBuffer(b *Budget) *Buffer { return &Buffer{hold: b.Hold()} }

// NewGroupBuffer is NewBuffer for a holder of a group.
func NewGroupBuffer(b *Budget, group string) *Buffer {
	return &Buffer{hold: Hold{budget: b, group: group}}
}

// Bytes returns the content. It is valid until the next change.
func (b *Buffer) Bytes() []byte { return b.data }

// Len returns the length of the content in bytes.
func (b *Buffer) Len() int { return len(b.data) }

// Append adds to the content. It returns false, and adds nothing, if the budget has no room.
func (b *Buffer) Append(p []byte) bool {
	if !b.reserve(len(b.data)+len(p), math.MaxInt) {
		return false
	}
	b.data = append(b.data, p...)
	return true
}

// Discard removes the first n bytes of the content.
func (b *Buffer) Discard(n int) {
	rest := len(b.data) - n
	if rest == 0 && cap(b.data) > FreeBytes {
		b.Release()
		return
	}
	copy(b.data, b.data[n:])
	b.data = b.data[:rest]
}

// Release drops the content.
func (b *Buffer) Release() {
	b.data = nil
	b.hold.Release()
}

// Fill adds what a reader brings until it ends. announced is the expected length, negative if unknown, and limit the
// greatest one. It returns nil at the end of the reader, ErrTooLong beyond the limit, ErrUsedUp if the budget has no room,
// and otherwise the reader's error. What has been read is kept.
func (b *Buffer) Fill(r io.Reader, announced, limit int64) error {
	most := int(min(limit, math.MaxInt))
	if announced > 0 && !b.reserve(int(min(announced, limit, maxTrusted)), most) {
		return ErrUsedUp
	}
	var last [1]byte
	for {
		length := int64(len(b.data))
		if len(b.data) == cap(b.data) && (length == announced || length == limit) {
			n, err := r.Read(last[:]) // usually the end, for which the buffer need not grow
			switch {
			case n > 0 && length == limit:
				return ErrTooLong
			case n > 0 && !b.Append(last[:n]):
				return ErrUsedUp
			}
			if done, err := b.ended(err, limit); done {
				return err
			}
			continue
		}
		if len(b.data) == cap(b.data) && !b.reserve(max(len(b.data)+1, firstBytes), most) {
			return ErrUsedUp
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if done, err := b.ended(err, limit); done {
			return err
		}
	}
}

// ended reports whether nothing more is read, and what Fill returns then.
func (b *Buffer) ended(err error, limit int64) (bool, error) {
	switch {
	case int64(len(b.data)) > limit:
		return true, ErrTooLong
	case err == io.EOF:
		return true, nil
	}
	return err != nil, err
}

// reserve makes room for a content of the given length, of which there will be most at the most. The old memory counts
// until its content has been copied, unless all is within the free part.
func (b *Buffer) reserve(length, most int) bool {
	if length <= cap(b.data) {
		return true
	}
	size := max(length, min(2*cap(b.data), most))
	during := cap(b.data) + size
	if length <= FreeBytes {
		size = min(size, FreeBytes)
		during = size
	}
	if !b.hold.Resize(during) {
		return false
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.data = grown
	b.hold.Resize(size)
	return true
}
