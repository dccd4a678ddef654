package machinelist_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/platform/machinelist"
)

// TestBrokenListIsNoList checks that an incomplete or invalid response is an
// error. Taken as a list, it would look as if machines were gone.
func TestBrokenListIsNoList(t *testing.T) {
	whole := `{"version":3,"machines":[{"id":"a1"}]}`
	cases := map[string]http.HandlerFunc{
		"cut connection": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "1000")
			fmt.Fprint(writer, whole)
		},
		"cut text": func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, whole[:len(whole)-1]) },
		"no JSON":  func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "<html>") },
		"empty":    func(http.ResponseWriter, *http.Request) {},
		"oversized": func(writer http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(writer, whole+strings.Repeat(" ", 17<<20))
		},
	}
	for name, handler := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			list, err := machinelist.New(machinelist.Config{Endpoint: server.URL}).List(t.Context(), "r")
			if !errors.Is(err, platform.ErrUnavailable) || len(list.Machines) != 0 {
				t.Errorf("list %+v, error %v", list, err)
			}
		})
	}
}
