package watch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/storeclock"
)

// rough is a network and a store under a schedule of faults that a seed tells: messages
// and answers are lost, late and out of order, nodes freeze and wake again, and the store
// hides changes for a while before it forgets its history.
type rough struct {
	mu     sync.Mutex
	random *rand.Rand
	store  *memory
	began  time.Time
	hubs   map[string]*Hub
	frozen map[string]time.Time // until when
	cut    map[string]time.Time // from the store, until when
	hides  time.Time            // until when the store hides changes
	hidden revision.Revision    // the last version that it shows meanwhile
	acked  []time.Time          // of the versions, from 1
	calm   bool                 // nothing is lost, and only messages to those named are late
	late   map[string]time.Duration
}

// linkDelay is the time that a message or an answer needs, most often little.
func (r *rough) linkDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calm {
		return 2 * time.Millisecond
	}
	if r.random.IntN(20) == 0 {
		return time.Duration(r.random.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(r.random.Int64N(int64(10 * time.Millisecond)))
}

// thaw waits until a node runs.
func (r *rough) thaw(name string) {
	r.mu.Lock()
	until := r.frozen[name]
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (r *rough) lost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.calm && r.random.IntN(10) == 0
}

// put makes a change; its value is its version.
func (r *rough) put() {
	r.store.put("a", strconv.Itoa(int(r.store.version)+1))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, time.Now())
}

// Send implements peer.Transport.
func (r *rough) Send(address string, message peer.Message) {
	if r.lost() {
		return
	}
	go func() {
		time.Sleep(r.linkDelay() + r.late[address])
		r.thaw(address)
		_, _, _ = r.hubs[address].Handle(context.Background(), message)
	}()
}

// Call implements peer.Transport.
func (r *rough) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	time.Sleep(r.linkDelay())
	r.thaw(address)
	reply, _, err := r.hubs[address].Handle(ctx, message)
	time.Sleep(r.linkDelay())
	return reply, err
}

func (r *rough) Close() error { return nil }

// roughCaller is a node's way to the store.
type roughCaller struct {
	*rough
	name  string
	clock *storeclock.Clock
}

var errCut = errors.New("the store is cut off")

// stamped answers as of a moment between the way there and the way back.
func (c roughCaller) stamped(answer func() (Page, error)) (Page, error) {
	sent := time.Now()
	time.Sleep(c.linkDelay())
	c.mu.Lock()
	cut := time.Now().Before(c.cut[c.name])
	c.mu.Unlock()
	if cut {
		return Page{}, errCut
	}
	p, err := answer()
	p.AsOf, p.Dated = time.Since(c.began).Truncate(time.Millisecond), true
	time.Sleep(c.linkDelay())
	c.thaw(c.name)
	if err == nil {
		c.clock.Observe(sent, p.AsOf)
	}
	return p, err
}

func (c roughCaller) Read(ctx context.Context, table string) (Page, error) {
	return c.stamped(func() (Page, error) { return caller{c.name, c.store}.Read(ctx, table) })
}

func (c roughCaller) Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) (Page, error) {
	return c.stamped(func() (Page, error) {
		p, err := caller{c.name, c.store}.Feed(ctx, table, after, wait)
		c.mu.Lock()
		defer c.mu.Unlock()
		if time.Now().Before(c.hides) {
			p.Version = max(after, c.hidden)
			p.Records = slices.DeleteFunc(p.Records, func(r Record) bool { return r.Version > c.hidden })
		}
		return p, err
	})
}

// hide has the store hide changes from feeds for a second and forget its history then.
func (r *rough) hide() {
	r.mu.Lock()
	r.hides, r.hidden = time.Now().Add(hiddenChanges), r.store.version
	r.mu.Unlock()
	time.AfterFunc(hiddenChanges, func() {
		r.store.mu.Lock()
		defer r.store.mu.Unlock()
		r.store.oldest = r.store.version
	})
}

// trouble does one fault to some node, or to the store.
func (r *rough) trouble(names []string) {
	r.mu.Lock()
	name := names[r.random.IntN(len(names))]
	until := time.Now().Add(time.Duration(r.random.Int64N(int64(9 * time.Second))))
	kind := r.random.IntN(4)
	switch kind {
	case 0:
		r.frozen[name] = until
	case 1, 2:
		r.cut[name] = until
	}
	r.mu.Unlock()
	if kind == 3 {
		r.hide()
	}
}

// TestLagIsNoLessThanWhatANodeLacks: whatever is lost, late or hidden and whoever is
// frozen, a node that says that its rows lack nothing older than its lag is right.
func TestLagIsNoLessThanWhatANodeLacks(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLag(t, seed) })
		})
	}
}

// newRough starts a site of so many nodes. It returns their names, tables and values.
func newRough(ctx context.Context, r *rough, size int) (names []string, tables map[string]*Table, values map[string]func() int) {
	r.store, r.began, r.hubs = newMemory(), time.Now(), make(map[string]*Hub)
	r.frozen, r.cut = make(map[string]time.Time), make(map[string]time.Time)
	r.put()
	var nodes []Node
	for i := range size {
		name := string(rune('A' + i))
		names = append(names, name)
		nodes = append(nodes, Node{Name: name, Zone: name, Peers: name})
	}
	values = make(map[string]func() int)
	tables = make(map[string]*Table)
	for _, node := range nodes {
		clock := &storeclock.Clock{}
		var mu sync.Mutex
		value := 0
		table := &Table{Name: "t", Source: roughCaller{r, node.Name, clock}, Clock: clock, Bound: bound, Refresh: bound / 4,
			Logger: hclog.NewNullLogger(), Apply: func(rows map[string]Record, _ revision.Revision) {
				mu.Lock()
				defer mu.Unlock()
				value, _ = strconv.Atoi(string(rows["a"].Value))
			}}
		tables[node.Name] = table
		values[node.Name] = func() int { mu.Lock(); defer mu.Unlock(); return value }
		r.hubs[node.Name] = &Hub{Self: node, Nodes: func() []Node { return nodes }, Known: func() bool { return true },
			Transport: r, Tables: []*Table{table}, Logger: hclog.NewNullLogger()}
	}
	for _, h := range r.hubs {
		go h.Run(ctx)
	}
	return names, tables, values
}

// TestLagOfAStoreThatHasJustStarted is known as well: its clock shows zero.
func TestLagOfAStoreThatHasJustStarted(t *testing.T) {
	clock := &storeclock.Clock{}
	clock.Observe(time.Now(), 0)
	table := &Table{Clock: clock, Apply: func(map[string]Record, revision.Revision) {}}
	if lag, known := table.Lag(); known {
		t.Errorf("before anything was read the lag is %v", lag)
	}
	table.Replace(Page{Version: 1, Dated: true}, 0)
	if lag, known := table.Lag(); !known || lag > time.Second {
		t.Errorf("after a read the lag is %v, known %t", lag, known)
	}
}

// TestLateNewsIsNotTakenForFresh: a node whose news is late reads the store itself, so that
// changes are in force there within the bound.
func TestLateNewsIsNotTakenForFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rough{calm: true, late: make(map[string]time.Duration)}
		ctx, cancel := context.WithCancel(context.Background())
		names, _, values := newRough(ctx, r, SmallSite+3)
		time.Sleep(5 * time.Second)
		for _, name := range names[Watchers:] {
			r.late[name] = 3 * bound
		}
		for range 3 {
			time.Sleep(10 * bound) // in which what is late tells nothing older
			r.put()
			time.Sleep(bound)
			for _, name := range names {
				if values[name]() < len(r.acked) {
					t.Errorf("%s has version %d %v after version %d was made", name, values[name](), bound, len(r.acked))
				}
			}
		}
		cancel()
		time.Sleep(20 * time.Second) // for what is under way to end
	})
}

func playLag(t *testing.T, seed uint64) {
	r := &rough{random: rand.New(rand.NewPCG(seed, 1))}
	ctx, cancel := context.WithCancel(context.Background())
	names, tables, values := newRough(ctx, r, SmallSite+3)
	told := 0
	for step := range 1200 { // of 50 ms
		time.Sleep(50 * time.Millisecond)
		if step%17 == 0 {
			r.put()
		}
		if step%40 == 39 {
			r.trouble(names)
		}
		for name, table := range tables {
			told += r.check(t, name, table, values[name])
		}
	}
	if told < 600*len(names) {
		t.Errorf("only %d times a node knew its lag to be below %v", told, 3*bound)
	}
	cancel()
	time.Sleep(20 * time.Second) // for what is under way to end
}

// check compares what a node has with what it says. It returns 1 if the node says that
// its rows are quite new.
func (r *rough) check(t *testing.T, name string, table *Table, value func() int) int {
	now := time.Now()
	lag, known := table.Lag()
	if !known {
		return 0
	}
	has := value()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Before(r.frozen[name]) {
		return 0
	}
	for i, acked := range r.acked {
		if i+1 > has && now.Sub(acked) > lag {
			t.Fatalf("%s has version %d and says that it lacks nothing older than %v; version %d is %v old",
				name, has, lag, i+1, now.Sub(acked))
		}
	}
	if lag < 3*bound {
		return 1
	}
	return 0
}
