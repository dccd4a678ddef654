package coordinator

import (
	"context"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/peer"
)

// requestSlot asks a node's holder for a slot.
func (n *node) requestSlot(t *testing.T, server string, limit float64) SlotAnswer {
	t.Helper()
	reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{},
		AskSlot{Servers: []backpressure.Ask{{Server: server, Limit: limit}}, Within: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return reply.(SlotAnswer)
}

// sendHeartbeats sends heartbeats of a node to its own holder until the test ends, as its member
// would.
func (n *node) sendHeartbeats(t *testing.T, name string) {
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			_, _ = n.holder.HandleMessage(t.Context(), api.NodeRef{}, Beat{Node: Node{Name: name, Life: 1, Peers: name}})
			select {
			case <-ticker.C:
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// TestAModelWhoseServerLimitsItsRequestsIsLoadedElsewhere has the rate limit of a model's only
// server refuse requests. The model must be loaded on another server.
func TestAModelWhoseServerLimitsItsRequestsIsLoadedElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, nil)
		n := s.start("a")
		n.waitForLease()
		n.sendHeartbeats(t, "a")
		time.Sleep(5 * time.Second) // until the holder knows what servers hold
		if answer := n.requestLoad(t, "m0"); answer.Server != "server-0" {
			t.Fatalf("the model is located at %q, want server-0", answer.Server)
		}
		granted, refused := 0, 0
		for range 40 {
			if answer := n.requestSlot(t, "server-0", 2); answer.Slot.Granted {
				granted++
			} else {
				refused++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if granted < 3 || granted > 5 {
			t.Errorf("%d slots were granted in 2 s at a limit of 2 per second", granted)
		}
		if answer := n.requestLoad(t, "m0"); answer.Server != "" || answer.ReadyIn <= 0 {
			t.Errorf("the answer to a refused request is %+v", answer)
		}
		for range 40 {
			n.requestSlot(t, "server-0", 2)
			time.Sleep(200 * time.Millisecond)
		}
		loads := s.engines.loads()
		if len(loads) != 1 || loads[0].server != "server-1" || loads[0].order.Need.Model != "m0" {
			t.Fatalf("the loads are %+v", loads)
		}
		if answer := n.requestLoad(t, "m0"); answer.Server != "server-1" {
			t.Errorf("the model is then located at %q, want server-1", answer.Server)
		}
		time.Sleep(20 * time.Second)
		if answer := n.requestLoad(t, "m0"); answer.Server == "" {
			t.Error("the model is located nowhere after the refusals have ended")
		}
	})
}

// TestSlotsWithoutAHolder checks that only a node that holds the lease, and to which nodes send
// heartbeats, grants slots.
func TestSlotsWithoutAHolder(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		a, b := s.start("a"), s.start("b")
		holder, other := a, b
		for {
			if _, held := a.lease.Held(); held {
				break
			}
			if _, held := b.lease.Held(); held {
				holder, other = b, a
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if answer := other.requestSlot(t, "server-0", 10); answer.Term != 0 {
			t.Errorf("a node without the lease answers %+v", answer)
		}
		time.Sleep(2 * time.Second)
		if answer := holder.requestSlot(t, "server-0", 10); answer.Term != 0 {
			t.Errorf("a holder that gets no heartbeats answers %+v", answer)
		}
		holder.sendHeartbeats(t, "a")
		time.Sleep(2 * time.Second)
		if answer := holder.requestSlot(t, "server-0", 10); answer.Term == 0 || !answer.Slot.Granted {
			t.Errorf("the holder answers %+v", answer)
		}
	})
}

// TestAModelWhoseServerBacksOffIsLoadedElsewhere has a node report that the only server with a model
// asked for a back-off of some seconds. The model must be loaded on another server.
func TestAModelWhoseServerBacksOffIsLoadedElsewhere(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, nil)
		n := s.start("a")
		n.waitForLease()
		time.Sleep(5 * time.Second)
		for range 10 {
			reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{},
				WishMessage{Service: "s", Need: "m0", Priority: 1, Left: 20 * time.Second, Short: "server-0", ShortFor: 3 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			if answer := reply.(WishAnswer); answer.Server == "server-0" {
				t.Fatalf("a request is sent back to the server that refused it: %+v", answer)
			}
			time.Sleep(time.Second)
		}
		loads := s.engines.loads()
		if len(loads) != 1 || loads[0].server != "server-1" {
			t.Fatalf("the loads are %+v", loads)
		}
		if answer := n.requestLoad(t, "m0"); answer.Server != "server-1" {
			t.Errorf("the model is then located at %q, want server-1", answer.Server)
		}
	})
}

// slowTransport delivers answers late, and records the places that are returned.
type slowTransport struct {
	directTransport
	delay    time.Duration
	returned chan ReturnPlace
}

func (s slowTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	reply, err := s.directTransport.Call(ctx, address, message)
	select {
	case <-time.After(s.delay):
		return reply, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (s slowTransport) Send(_ string, message peer.Message) {
	if r, ok := message.(ReturnPlace); ok {
		s.returned <- r
	}
}

func TestPlaceLentToARequestThatLeftStaysLent(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		n.waitForLease()
		n.sendHeartbeats(t, "a")
		time.Sleep(5 * time.Second)
		transport := slowTransport{directTransport{site: s}, 100 * time.Millisecond, make(chan ReturnPlace, 1)}
		m := &Member{Self: Node{Name: "b", Peers: "b"}, Lease: n.lease, Transport: transport}
		ask := backpressure.Ask{Server: "server-0", Places: 1, Run: time.Millisecond, Left: 10 * time.Second}
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		if slot, err := m.RequestSlot(ctx, []backpressure.Ask{ask}, time.Second); err == nil {
			t.Fatalf("%+v came before the request left", slot)
		}
		time.Sleep(time.Second)
		select {
		case place := <-transport.returned:
			if _, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, place); err != nil {
				t.Fatal(err)
			}
		default:
			t.Fatal("the place was not returned")
		}
		if slot, err := m.RequestSlot(t.Context(), []backpressure.Ask{ask}, time.Second); err != nil || slot.Server != "server-0" {
			t.Errorf("the returned place is not lent again: %+v, %v", slot, err)
		}
	})
}
