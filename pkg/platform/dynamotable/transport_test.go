package dynamotable

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// closableBody behaves like the SDK's request body: once closed, WriteTo returns
// io.EOF.
type closableBody struct {
	io.Reader
	closed bool
}

func (b *closableBody) Close() error {
	b.closed = true
	return nil
}

func (b *closableBody) WriteTo(writer io.Writer) (int64, error) {
	if b.closed {
		return 0, io.EOF
	}
	return io.Copy(writer, b.Reader)
}

type roundTripperFunc func(*http.Request) (*http.Response, error)

func (f roundTripperFunc) RoundTrip(request *http.Request) (*http.Response, error) {
	return f(request)
}

func TestBodyOutlivesTheSDKsClose(t *testing.T) {
	original := &closableBody{Reader: strings.NewReader("request")}
	transport := newBodyTransport(roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		original.Close() // the SDK does so when the response begins
		sent, err := io.ReadAll(request.Body)
		if string(sent) != "request" || err != nil {
			t.Errorf("sent %q, error %v", sent, err)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			t.Errorf("end of the body: %v", err)
		}
		again, err := request.GetBody()
		if err != nil {
			t.Fatal(err)
		}
		if sent, _ := io.ReadAll(again); string(sent) != "request" {
			t.Errorf("sent again %q", sent)
		}
		return nil, nil
	}))
	request, err := http.NewRequest(http.MethodPost, "http://127.0.0.1", original)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := transport.RoundTrip(request); err != nil {
		t.Fatal(err)
	}
}
