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
		"many lines": {strings.Replace(siteRequest, "\r\n\r\n", "\r\n"+strings.Repeat("X: a\r\n", 1000)+"\r\n", 1), 64 << 10, http.StatusServiceUnavailable},
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

// Guards against heads that are counted together with those of earlier requests of their connection, and memory that is kept for them.
func TestHeadsOfAConnectionAreCountedApart(t *testing.T) {
	t.Parallel()
	heads := &memory.Budget{Limit: 1 << 20}
	s := newCallerSiteOf(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{HeaderBytes: 16 << 10}, func(c *callers) { c.heads = heads })
	conn := s.connect(false)
	request := strings.Replace(siteRequest, "\r\n\r\n", "\r\nX-Filler: "+strings.Repeat("a", 8<<10)+"\r\n\r\n", 1)
	reader := bufio.NewReader(conn)
	for i := range 5 {
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body) // of three bytes
		if answer.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %d", i, answer.StatusCode)
		}
	}
	awaitNothingHeld(t, heads)
	if _, err := io.WriteString(conn, request[:6<<10]); err != nil { // not to its end
		t.Fatal(err)
	}
	for began := time.Now(); heads.Usage().Used == 0 && time.Since(began) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	_ = conn.Close()
	awaitNothingHeld(t, heads)
}

func awaitNothingHeld(t *testing.T, b *memory.Budget) {
	t.Helper()
	for began := time.Now(); b.Usage().Used > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%+v", b.Usage())
		}
	}
}

// Guards against heads that are refused since a configuration came in the middle of them.
func TestHeadsKeepToTheLimitThatTheyBeganWith(t *testing.T) {
	t.Parallel()
	s := newCallerSite(t, callerTimes{head: time.Minute, idle: time.Minute}, route.Limits{HeaderBytes: 16 << 10})
	conn := s.connect(false)
	request := strings.Replace(siteRequest, "\r\n\r\n", "\r\nX-Filler: "+strings.Repeat("a", 12<<10)+"\r\n\r\n", 1)
	if _, err := io.WriteString(conn, request[:4<<10]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // it was read
	s.limits.Store(&route.Limits{HeaderBytes: 1 << 10})
	if _, err := io.WriteString(conn, request[4<<10:]); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("status %d", answer.StatusCode)
	}
}
