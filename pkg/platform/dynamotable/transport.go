package dynamotable

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform/internal/bounded"
)

// bodyTransport gives each request a copy of its body. The SDK closes its own body
// as soon as a response begins. net/http, which may still be reading the body to
// find its end, then reports a failed write and closes the connection during the
// response.
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
	response, err := t.send(request)
	bounded.Limit(response, maxAnswerBytes)
	return response, err
}

// send sends a request with a copy of its body.
func (t bodyTransport) send(request *http.Request) (*http.Response, error) {
	if request.Body == nil {
		return t.next.RoundTrip(request)
	}
	body, err := io.ReadAll(request.Body)
	_ = request.Body.Close() // the body is in memory
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	own := request.Clone(request.Context())
	// With GetBody net/http retries a request on another connection if nothing
	// of it was written to a closed one. It does not retry others.
	own.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	own.Body, _ = own.GetBody() // never fails
	return t.next.RoundTrip(own)
}

// maxAnswerBytes limits the body of an answer. The protocol allows 1 MB for a page of a query.
const maxAnswerBytes = 16 << 20
