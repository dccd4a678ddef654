package loadtest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a part of a stream that looks whole under a long upload and is not counted, and against whole ones that are.
func TestPartsThatLookWholeAreNotCounted(t *testing.T) {
	const whole, uploadBytes = 9, 1 << 20
	for _, events := range []int{whole, whole - 3, 0} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if body, err := io.ReadAll(r.Body); err != nil || len(body) != uploadBytes {
				t.Errorf("a body of %d bytes, %v", len(body), err)
			}
			for i := range events {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", i+1)
			}
		}))
		o := options(strings.TrimPrefix(server.URL, "http://"))
		o.SameField, o.Events, o.UploadBytes = "", whole, uploadBytes
		got, err := Run(t.Context(), o)
		if err != nil || got.Sent == 0 || got.Whole != got.Sent {
			t.Errorf("%+v, %v", got, err)
		}
		if want := map[bool]int{true: got.Sent}[events != whole]; got.Short != want || got.Violations() != want {
			t.Errorf("%d events: %+v", events, got)
		}
		server.Close()
	}
}
