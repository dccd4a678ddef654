package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/memory"
)

const goodAndClose = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ngood"

func TestRequestReachesAProcessThatItsProbeRefuses(t *testing.T) {
	other := errors.New("another process")
	for name, row := range map[string]struct {
		connections [][]string // answers on each connection, in turn
		accept      error
		sent        bool
	}{
		"the expected process":                   {[][]string{{good, good}}, nil, true},
		"another process":                        {[][]string{{good, good}}, other, false},
		"closes after the probe, no other left":  {[][]string{{goodAndClose}}, nil, false},
		"does not answer the probe":              {[][]string{{}}, nil, false},
		"answers the probe without a status":     {[][]string{{"HTTP/1.1 000 OK\r\n\r\n" + good}}, nil, false},
		"answers the probe with a bad field":     {[][]string{{strings.Replace(good, "\r\n", "\r\nFoo Bar: x\r\n", 1), good}}, nil, false},
		"idle connection closes after its probe": {[][]string{{good, goodAndClose}, {good, good}}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			opened := 0
			m := newMember(func(context.Context, string) (net.Conn, error) {
				if opened == len(row.connections) {
					return nil, errors.New("no more connections")
				}
				near, far := net.Pipe()
				answers := row.connections[opened]
				opened++
				go func() {
					serve(far, answers...)
					_ = far.Close()
				}()
				return near, nil
			})
			if len(row.connections) > 1 {
				exchangeWith(t, m)
				for m.Idle() == 0 {
				}
			}
			message := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"), Body: []byte("body"),
				Probe: &Probe{Message: &Message{Method: http.MethodGet, Target: "/report", Head: []byte("Host: x\r\n")},
					Accept: func(int, []byte) error { return row.accept }}}
			a, err := m.Send(t.Context(), message, func() error { return nil })
			if (err == nil) != row.sent {
				t.Fatalf("error %v", err)
			}
			if err != nil {
				if !errors.Is(err, ErrNotSent) || m.Idle() != 0 {
					t.Errorf("%v, %d idle connections", err, m.Idle())
				}
				return
			}
			body, err := io.ReadAll(a)
			a.Close()
			if string(body) != "good" || err != nil || opened != len(row.connections) {
				t.Errorf("%q, %v, %d connections", body, err, opened)
			}
		})
	}
}

// Guards against reports of probes that count as held for good, so that later ones find no room.
func TestReportsOfProbesAreReleased(t *testing.T) {
	long := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 4*memory.FreeBytes, strings.Repeat("x", 4*memory.FreeBytes))
	for _, refusal := range []error{nil, errors.New("another process")} {
		m := newMember(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go serve(far, long, good)
			return near, nil
		})
		m.pool.control = &memory.Budget{Limit: 1 << 20}
		var held int64
		message := &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n"),
			Probe: &Probe{Message: &Message{Method: http.MethodGet, Target: "/report", Head: []byte("Host: x\r\n")},
				Accept: func(int, []byte) error {
					held = m.pool.control.Usage().Used
					return refusal
				}}}
		a, err := m.Send(t.Context(), message, func() error { return nil })
		if (err == nil) != (refusal == nil) {
			t.Fatal(err)
		}
		if err == nil {
			a.Close()
		}
		if used := m.pool.control.Usage().Used; held == 0 || used != 0 {
			t.Errorf("%d bytes are held, %d were", used, held)
		}
	}
}
