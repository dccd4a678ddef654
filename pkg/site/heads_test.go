package site

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
)

// Guards against heads that are kept beyond the limits, and refusals of them that do not arrive.
func TestHeadsStayWithinTheirLimits(t *testing.T) {
	t.Parallel()
	const limit = 16 << 10
	line := "X-Filler: " + strings.Repeat("a", 100) + "\r\n"
	head := func(bytes int) string {
		return strings.Replace(siteRequest, "\r\n\r\n", "\r\n"+strings.Repeat(line, bytes/len(line))+"\r\n", 1)
	}
	for name, c := range map[string]struct {
		text   string
		budget int64
		status int
	}{
		"largest":    {head(limit - 200), 1 << 20, http.StatusOK},
		"too large":  {head(64 << 10), 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"far beyond": {head(1 << 20), 1 << 20, http.StatusRequestHeaderFieldsTooLarge},
		"no memory":  {head(limit - 200), 1 << 10, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			heads := &memory.Budget{Limit: c.budget}
			s := newCallerSiteOf(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{HeaderBytes: limit}, func(c *callers) { c.heads = heads })
			conn := s.connect(false)
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = answer.Body.Close()
			if answer.StatusCode != c.status || c.status == http.StatusServiceUnavailable && answer.Header.Get("Retry-After") == "" {
				t.Errorf("status %d, header %v", answer.StatusCode, answer.Header)
			}
			if used := heads.Usage().Used; c.status != http.StatusOK && used != 0 {
				t.Errorf("%d bytes are still held", used)
			}
		})
	}
}
