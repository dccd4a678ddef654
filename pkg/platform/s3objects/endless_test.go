package s3objects

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a client that holds all that an object store sends in place of a list.
func TestFAULTOfListsOfObjectsWithoutEnd(t *testing.T) {
	const endless = 64 << 20
	name := []byte("<Contents><Key>" + strings.Repeat("k", 1000) + "</Key></Contents>")
	for form, again := range map[string][]byte{"names": name, "one name": []byte(strings.Repeat("k", 1000))} {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, err := w.Write([]byte("<ListBucketResult><Contents><Key>k</Key></Contents><Contents><Key>"))
			if form == "names" {
				_, err = w.Write([]byte("</Key></Contents>"))
			}
			for err == nil && sent.Load() < endless {
				var n int
				n, err = w.Write(again)
				sent.Add(int64(n))
			}
		}))
		objects, err := New(Config{Endpoint: server.URL, Region: "r", Bucket: "bucket", AccessKey: "k", SecretKey: "s"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := objects.List(t.Context(), ""); err == nil {
			t.Errorf("%s: the answer is taken for a list", form)
		}
		server.Close()
		t.Logf("%s: %d MB sent", form, sent.Load()/1e6)
		if sent.Load() >= endless {
			t.Errorf("FAULT: %s: the client takes all that comes", form)
		}
	}
}
