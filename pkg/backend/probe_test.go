package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
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
