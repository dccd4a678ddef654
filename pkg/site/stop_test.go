package site

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/coordinator"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tunnel"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const testGrace = 3 * time.Second

// newStoppableSite returns as much of a site as a planned stop needs.
func newStoppableSite(logger hclog.Logger) *Site {
	return &Site{Grace: testGrace, Logger: logger, member: &coordinator.Member{}, relay: &relay.Relay{Logger: logger}, helper: &tunnel.Helper{}}
}

// Guards against a planned stop that cuts a request off without its line in the log, or waits for one that never ends.
func TestRequestsThatAStopCutsOffAreLogged(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"ends at once": 0, "ends late": cutOffTime / 2, "does not end": 10 * testGrace,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var text syncBuffer
				s := newStoppableSite(hclog.New(&hclog.LoggerOptions{Output: &text, JSONFormat: true}))
				caller, conn := net.Pipe()
				s.relay.Routes = func() *route.Table { // holds the request up until its connection is closed, and longer
					_, _ = io.Copy(io.Discard, caller)
					time.Sleep(delay)
					return nil
				}
				inner := newExhaustedListener()
				inner.relieved.Store(true)
				server := &http.Server{Handler: s.relay, ErrorLog: hclog.NewNullLogger().StandardLogger(nil)}
				served := make(chan error, 1)
				conns := s.newCallers(inner)
				go func() { served <- server.Serve(conns) }()
				inner.conns <- conn
				if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				began := time.Now()
				s.stop(server, conns)
				took := time.Since(began)
				logged := strings.Contains(text.String(), `"@message":"request"`)
				if want := delay < testGrace; logged != want {
					t.Errorf("logged %v, want %v:\n%s", logged, want, text.String())
				}
				if took >= testGrace {
					t.Errorf("the stop took %v of %v", took, testGrace)
				}
				<-served
				time.Sleep(delay) // until the request has ended
			})
		})
	}
}
