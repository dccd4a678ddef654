package backend

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against log lines that repeat kilobytes of what a server sent in place of a response.
func TestErrorsOfMalformedResponsesAreShort(t *testing.T) {
	const long = 300
	text := strings.Repeat("\x01", maxHeadBytes/2) // four bytes each when it is quoted
	for name, answer := range map[string]string{
		"no protocol":  text + "\r\n\r\n",
		"status":       "HTTP/1.1 " + text + " OK\r\n\r\n",
		"header line":  "HTTP/1.1 200 OK\r\n" + text + "\r\n\r\n",
		"header field": "HTTP/1.1 200 OK\r\nContent-Length: " + text + "\r\n\r\n",
		"chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text + "\r\n\r\n",
		"trailer":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + text + "\r\n\r\n",
	} {
		m := memberThatGets(func(w io.Writer) { _, _ = io.WriteString(w, answer) })
		a, err := m.Send(t.Context(), &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}, func() error { return nil })
		if err == nil {
			_, err = io.Copy(io.Discard, a)
			a.Close()
		}
		if err == nil || len(err.Error()) > long {
			t.Errorf("%s: an error of %d bytes: %.80v", name, len(err.Error()), err)
		}
	}
}
