// Package bounded limits the bodies of HTTP responses below libraries that read them to their end.
package bounded

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("the answer is too long")

// Limit limits the body of a response to a number of bytes. The response may be nil.
func Limit(response *http.Response, bytes int) {
	if response != nil && response.Body != nil {
		response.Body = &body{ReadCloser: response.Body, left: bytes}
	}
}

// body is a body of which no more than left bytes are read.
type body struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
