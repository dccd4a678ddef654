package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
)

// A node that lacks a table asks a watcher for all of it. With 302 nodes and 3,000 servers the answer has some
// 120 kB. If the node asked again for each news that comes meanwhile, the answers would take the watchers'
// time and the bandwidth of weak machines from the news.

// slowPulls is a transport that takes a while to answer a Pull.
type slowPulls struct {
	noNews
	took  time.Duration
	calls atomic.Int32
}

// noNews is a transport whose Send does nothing.
type noNews struct{ peer.Transport }

func (noNews) Send(string, peer.Message) {}

func (s *slowPulls) Call(ctx context.Context, _ string, _ peer.Message) (peer.Message, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.took):
		return PullAnswer{Known: true, Version: 9}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestANodeAsksForAWholeTableOnce checks that a node asks only once for a table, however much news comes
// before the answer.
func TestANodeAsksForAWholeTableOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &slowPulls{took: 500 * time.Millisecond}
		table := &Table{Name: "t", Bound: bound, Apply: func(map[string]Record, revision.Revision) {}, Logger: hclog.NewNullLogger()}
		h := &Hub{Tables: []*Table{table}, Transport: transport, Logger: hclog.NewNullLogger()}
		for range 80 {
			go func() { _, _, _ = h.Handle(t.Context(), News{Table: "t", After: 5, Version: 6, Watcher: "w"}) }()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if n := transport.calls.Load(); n != 1 {
			t.Errorf("the node asked %d times", n)
		}
		if table.Version() != 9 {
			t.Errorf("the table has version %d, want 9", table.Version())
		}
	})
}
