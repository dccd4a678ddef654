package coordinator

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/relay"
)

// scriptedHolder is a holder that gives the answers of a test to load requests.
type scriptedHolder struct {
	mu     sync.Mutex
	answer WishAnswer
	silent bool
	killed bool   // refuses connections, as one whose process ended
	next   string // address of another holder, which answers; empty: there is none
}

func (h *scriptedHolder) set(answer WishAnswer, silent, killed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer, h.silent, h.killed = answer, silent, killed
}

func (h *scriptedHolder) Call(ctx context.Context, address string, _ peer.Message) (peer.Message, error) {
	h.mu.Lock()
	answer, silent, killed := h.answer, h.silent && address != h.next, h.killed
	h.mu.Unlock()
	switch {
	case killed:
		return nil, errors.Wrap(peer.ErrUnreachable, "connection refused")
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, nil
}

func (h *scriptedHolder) Send(string, peer.Message) {}
func (h *scriptedHolder) Close() error              { return nil }

// Guards against waiters who are told, as their holder is lost, that nothing is known of a model that is being loaded.
func TestLastAnswerOfALostHolderStands(t *testing.T) {
	for name, killed := range map[string]bool{"silent": false, "killed": true} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				h := &scriptedHolder{}
				m := newAskingMember(h)
				began := time.Now()
				ask := func() (relay.LoadStatus, error) {
					return m.RequestLoad(t.Context(), relay.LoadRequest{Service: "s", Need: backend.Need{Model: "m1"}, Deadline: began.Add(time.Minute)})
				}
				const ready = 3 * time.Second
				h.set(WishAnswer{Term: 1, ReadyIn: ready}, false, false)
				if status, err := ask(); err != nil || status.ReadyIn != ready {
					t.Fatalf("%+v, %v", status, err)
				}
				h.set(WishAnswer{}, true, killed)
				lost := began.Add(time.Second)
				for time.Since(began) < 2*(ready+maxOverdue) {
					time.Sleep(time.Second)
					status, err := ask()
					left, want := ready-time.Since(began), time.Duration(0)
					if left >= -maxOverdue {
						want = max(left, dueReady)
					}
					if err == nil || status.ReadyIn != want {
						t.Errorf("after %v: %v, error %v, want %v", time.Since(began), status.ReadyIn, err, want)
					}
					if silence := time.Since(lost); status.Silence != silence {
						t.Errorf("the holder is silent for %v, want %v", status.Silence, silence)
					}
				}
				h.set(WishAnswer{Term: 2}, false, false)
				time.Sleep(time.Second)
				if status, err := ask(); err != nil || status.ReadyIn != 0 {
					t.Errorf("a new holder that knows nothing: %+v, %v", status, err)
				}
				h.set(WishAnswer{}, true, killed)
				time.Sleep(time.Second)
				if status, err := ask(); err == nil || status.ReadyIn != 0 {
					t.Errorf("after its loss: %+v, %v, want that nothing is known", status, err)
				}
			})
		})
	}
}

// newAskingMember returns a member that asks the holder at address a.
func newAskingMember(h *scriptedHolder) *Member {
	m := &Member{Self: Node{Name: "b", Peers: "b"}, Lease: &lease.Lease{}, Transport: h, Servers: &backend.Directory{}, Logger: hclog.NewNullLogger()}
	m.Lease.Announced(lease.Record{Term: 1, Holder: "a/1", Address: "a"})
	return m
}

// Guards against waiters who learn nothing as their call to the last holder fails, though another one answers meanwhile.
func TestNextHolderIsAskedWhileTheLastOneIsSilent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		h := &scriptedHolder{silent: true, next: "c", answer: WishAnswer{Term: 2, ReadyIn: time.Second}}
		m := newAskingMember(h)
		time.AfterFunc(heartbeatTimeout/2, func() { m.Lease.Announced(lease.Record{Term: 2, Holder: "c/1", Address: "c"}) })
		status, err := m.RequestLoad(t.Context(), relay.LoadRequest{Service: "s", Need: backend.Need{Model: "m1"}, Deadline: time.Now().Add(time.Minute)})
		if err != nil || status.ReadyIn <= 0 {
			t.Errorf("%+v, %v, want the next holder's answer", status, err)
		}
		if !m.unansweredSince.IsZero() {
			t.Error("the next holder counts as lost")
		}
	})
}

// Guards against a failed call that is reused after a holder answers again.
func TestFailedLoadRequestIsSentAgainOnceAHolderAnswers(t *testing.T) {
	bubble(t, func(t *testing.T) {
		h := &scriptedHolder{killed: true}
		m := newAskingMember(h)
		request := relay.LoadRequest{Service: "s", Need: backend.Need{Model: "m1"}, Deadline: time.Now().Add(time.Minute)}
		if _, err := m.RequestLoad(t.Context(), request); err == nil {
			t.Fatal("a holder that is killed answered")
		}
		h.set(WishAnswer{Term: 1, ReadyIn: time.Second}, false, false)
		m.mu.Lock()
		m.connected = true // a heartbeat was answered
		m.mu.Unlock()
		if status, err := m.RequestLoad(t.Context(), request); err != nil || status.ReadyIn <= 0 {
			t.Errorf("%+v, %v, want the holder's answer", status, err)
		}
	})
}

// Guards against a holder that counts as lost because a caller left.
func TestRequestThatEndsShowsNothingOfTheHolder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		m := newAskingMember(&scriptedHolder{silent: true})
		ctx, cancel := context.WithTimeout(t.Context(), heartbeatTimeout/2)
		defer cancel()
		if _, err := m.RequestLoad(ctx, relay.LoadRequest{Service: "s", Need: backend.Need{Model: "m1"}, Deadline: time.Now().Add(time.Minute)}); err == nil {
			t.Error("a silent holder answered")
		}
		if !m.unansweredSince.IsZero() {
			t.Error("the holder counts as lost")
		}
	})
}
