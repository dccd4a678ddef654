package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// identitySite is a server at which probes are counted, and that may be another process than expected.
type identitySite struct {
	t       *testing.T
	member  *Member
	far     []net.Conn // server's ends of the connections
	refused error      // why connections can't be opened
	other   bool       // another process than the expected one answers
	probes  int
}

// goodUnannounced does not tell how long its connection may be idle.
const goodUnannounced = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

func newIdentitySite(t *testing.T, answer string) *identitySite {
	s := &identitySite{t: t}
	s.member = newMember(func(context.Context, string) (net.Conn, error) {
		if s.refused != nil {
			return nil, s.refused
		}
		near, far := net.Pipe()
		s.far = append(s.far, far)
		go serve(far, answer, answer, answer, answer)
		return near, nil
	})
	return s
}

// send sends a message that is to reach the expected process, and reports whether it was sent.
func (s *identitySite) send() bool {
	s.t.Helper()
	message := &Message{Method: http.MethodPost, Target: "/", Head: []byte("Host: x\r\n"), Body: []byte("body"), Probe: &Probe{
		Message: &Message{Method: http.MethodGet, Target: "/report", Head: []byte("Host: x\r\n")}, IfInDoubt: true,
		Accept: func(int, []byte) error {
			s.probes++
			if s.other {
				return errors.New("another process")
			}
			return nil
		}}}
	a, err := s.member.Send(s.t.Context(), message, func() error { return nil })
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, a)
	a.Close()
	synctest.Wait()
	return true
}

// breakOff ends all connections at the server.
func (s *identitySite) breakOff() {
	for _, c := range s.far {
		_ = c.Close()
	}
	synctest.Wait()
}

// Guards against messages that reach another process after a connection broke, and against probes that nothing calls for.
func TestProcessIsInDoubtAfterABreak(t *testing.T) {
	for name, row := range map[string]struct {
		answer string
		event  func(s *identitySite)
		other  bool
		sent   bool
		probes int // for two messages
	}{
		"nothing":                  {goodUnannounced, func(*identitySite) {}, false, true, 0},
		"an idle connection ended": {goodUnannounced, (*identitySite).breakOff, false, true, 1},
		"an idle connection ended, another process": {goodUnannounced, (*identitySite).breakOff, true, false, 2},
		"an idle connection ended early":            {good, (*identitySite).breakOff, false, true, 1},
		"an idle connection ended as was announced": {good, func(s *identitySite) { time.Sleep(10 * time.Second); s.breakOff() }, false, true, 0},
		"this node closed its idle connections":     {goodUnannounced, func(s *identitySite) { s.member.pool.dropIdle(false) }, false, true, 0},
		"a connection could not be opened":          {goodUnannounced, (*identitySite).failToConnect, false, true, 1},
		"the caller left while a connection opened": {goodUnannounced, (*identitySite).leaveWhileConnecting, false, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newIdentitySite(t, row.answer)
				if !s.send() || s.probes > 0 {
					t.Fatalf("%d probes before anything broke", s.probes)
				}
				row.event(s)
				s.other = row.other
				for range 2 {
					if sent := s.send(); sent != row.sent {
						t.Errorf("sent: %v", sent)
					}
				}
				if s.probes != row.probes {
					t.Errorf("%d probes, want %d", s.probes, row.probes)
				}
				s.breakOff()
			})
		})
	}
}

// failToConnect has a connection attempt fail.
func (s *identitySite) failToConnect() { s.failWith(errors.New("reset")) }

// leaveWhileConnecting has a connection attempt end since nobody waits for it.
func (s *identitySite) leaveWhileConnecting() { s.failWith(context.Canceled) }

func (s *identitySite) failWith(err error) {
	s.member.pool.dropIdle(false)
	s.refused = err
	if s.send() {
		s.t.Error("sent without a connection")
	}
	s.refused = nil
}
