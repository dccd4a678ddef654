package dynamotable

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a client that holds all that a table service sends.
func TestFAULTOfAnswersOfTheTableWithoutEnd(t *testing.T) {
	const endless = 64 << 20
	piece := []byte(strings.Repeat("a", 32<<10))
	for name, begin := range map[string]string{"value": `{"Item":{"key":{"S":"`, "no JSON": ""} {
		for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
			var sent atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, err := w.Write([]byte(begin))
				for err == nil && sent.Load() < endless {
					var n int
					n, err = w.Write(piece)
					sent.Add(int64(n))
				}
			}))
			table := New(Config{Endpoint: server.URL, Region: "r", Table: "t", Partition: "p", AccessKey: "k", SecretKey: "s"})
			if _, err := table.Get(t.Context(), "k", true); err == nil {
				t.Errorf("%s, %d: the answer is taken for one", name, status)
			}
			server.Close()
			t.Logf("%s, %d: %d MB sent", name, status, sent.Load()/1e6)
			if sent.Load() >= endless {
				t.Errorf("FAULT: %s, %d: the client takes all that comes", name, status)
			}
		}
	}
}
