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
	killed bool // refuses connections, as one whose process ended
}

func (h *scriptedHolder) set(answer WishAnswer, silent, killed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer, h.silent, h.killed = answer, silent, killed
}

func (h *scriptedHolder) Call(ctx context.Context, _ string, _ peer.Message) (peer.Message, error) {
	h.mu.Lock()
	answer, silent, killed := h.answer, h.silent, h.killed
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
				m := &Member{Self: Node{Name: "b", Peers: "b"}, Lease: &lease.Lease{}, Transport: h, Servers: &backend.Directory{}, Logger: hclog.NewNullLogger()}
				m.Lease.Announced(lease.Record{Term: 1, Holder: "a/1", Address: "a"})
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
