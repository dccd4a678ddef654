package dynamotable

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// bodyTransport gives each request a body of its own. The SDK closes the body
// that it made as soon as an answer begins; net/http, which may still look for
// the body's end, takes that for a failed write and closes the connection under
// the answer.
type bodyTransport struct {
	next http.RoundTripper
}

func newBodyTransport(next http.RoundTripper) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return bodyTransport{next: next}
}

// RoundTrip implements http.RoundTripper.
func (t bodyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Body == nil {
		return t.next.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	_ = request.Body.Close() // held in memory
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	own := request.Clone(request.Context())
	// With GetBody a request of which nothing was written to a closed
	// connection goes to another one. Others are not repeated.
	own.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	own.Body, _ = own.GetBody() // never fails
	return t.next.RoundTrip(own)
}
