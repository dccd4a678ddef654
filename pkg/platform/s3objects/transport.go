package s3objects

import (
	"net/http"

	"github.com/minio/minio-go/v7"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform/internal/bounded"
)

// maxListBytes limits the answer with a page of a list. A page has 1,000 names of up to 1,024 bytes.
const maxListBytes = 16 << 20

// parameterList is a parameter of the queries of lists.
const parameterList = "list-type"

// listTransport limits the answers with pages of lists, which the library reads to their end.
type listTransport struct {
	next http.RoundTripper
}

// newListTransport returns a transport over next, or over the library's own if that is nil.
func newListTransport(next http.RoundTripper, secure bool) (http.RoundTripper, error) {
	if next != nil {
		return listTransport{next}, nil
	}
	next, err := minio.DefaultTransport(secure)
	return listTransport{next}, errors.Wrap(err, "object store")
}

// RoundTrip implements http.RoundTripper.
func (t listTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if request.URL.Query().Has(parameterList) {
		bounded.Limit(response, maxListBytes)
	}
	return response, err
}
