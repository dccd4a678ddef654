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

// faultySite is a network and a store with faults that depend on a seed: messages and answers are lost, late
// and out of order, nodes freeze for a while, and the store hides changes before it forgets its history.
type faultySite struct {
	mu        sync.Mutex
	random    *rand.Rand
	store     *fakeStore
	began     time.Time
	hubs      map[string]*Hub
	frozen    map[string]time.Time     // end of the freeze by node
	cut       map[string]time.Time     // end of the time without the store, by node
	hideUntil time.Time                // end of the time in which the store hides changes
	lastShown revision.Revision        // last version that the store shows meanwhile
	acked     []time.Time              // times of the writes of versions 1, 2, ...
	calm      bool                     // nothing is lost, and only the messages in late are delayed
	late      map[string]time.Duration // delay of messages by destination
}

// linkDelay returns the delay of a message or an answer, which is usually short.
func (r *faultySite) linkDelay() time.Duration {
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

// waitThawed waits while a node is frozen.
func (r *faultySite) waitThawed(name string) {
	r.mu.Lock()
	until := r.frozen[name]
	r.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (r *faultySite) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.calm && r.random.IntN(10) == 0
}

// put makes a change whose value is its version.
func (r *faultySite) put() {
	r.store.put("a", strconv.Itoa(int(r.store.version)+1))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, time.Now())
}

// Send implements peer.Transport.
func (r *faultySite) Send(address string, message peer.Message) {
	if r.isLost() {
		return
	}
	go func() {
		time.Sleep(r.linkDelay() + r.late[address])
		r.waitThawed(address)
		_, _, _ = r.hubs[address].Handle(context.Background(), message)
	}()
}

// Call implements peer.Transport.
func (r *faultySite) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	time.Sleep(r.linkDelay())
	r.waitThawed(address)
	reply, _, err := r.hubs[address].Handle(ctx, message)
	time.Sleep(r.linkDelay())
	return reply, err
}

func (r *faultySite) Close() error { return nil }

// faultyStoreClient is a node's connection to the store.
type faultyStoreClient struct {
	*faultySite
	name  string
	clock *storeclock.Clock
}

var errCut = errors.New("the store is cut off")

// stamped returns an answer with the store's time at a moment between the request's and the answer's delay.
func (c faultyStoreClient) stamped(answer func() (Page, error)) (Page, error) {
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
	c.waitThawed(c.name)
	if err == nil {
		c.clock.Observe(sent, p.AsOf)
	}
	return p, err
}

func (c faultyStoreClient) Read(ctx context.Context, table string) (Page, error) {
	return c.stamped(func() (Page, error) { return storeClient{c.name, c.store}.Read(ctx, table) })
}

func (c faultyStoreClient) Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) (Page, error) {
	return c.stamped(func() (Page, error) {
		p, err := storeClient{c.name, c.store}.Feed(ctx, table, after, wait)
		c.mu.Lock()
		defer c.mu.Unlock()
		if time.Now().Before(c.hideUntil) {
			p.Version = max(after, c.lastShown)
			p.Records = slices.DeleteFunc(p.Records, func(r Record) bool { return r.Version > c.lastShown })
		}
		return p, err
	})
}

// hideChanges makes the store hide changes from feeds for maxHiddenTime and then forget its history.
func (r *faultySite) hideChanges() {
	r.mu.Lock()
	r.hideUntil, r.lastShown = time.Now().Add(maxHiddenTime), r.store.version
	r.mu.Unlock()
	time.AfterFunc(maxHiddenTime, func() {
		r.store.mu.Lock()
		defer r.store.mu.Unlock()
		r.store.oldest = r.store.version
	})
}

// injectFault causes one random fault at a node or at the store.
func (r *faultySite) injectFault(names []string) {
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
		r.hideChanges()
	}
}

// TestLagIsNoLessThanWhatANodeLacks checks in random runs with faults that a node never lacks a change that
// is older than its Lag.
func TestLagIsNoLessThanWhatANodeLacks(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runLag(t, seed) })
		})
	}
}

// startFaultySite starts a site with size nodes. It returns their names, and their tables and values by name.
func startFaultySite(ctx context.Context, r *faultySite, size int) (names []string, tables map[string]*Table, values map[string]func() int) {
	r.store, r.began, r.hubs = newFakeStore(), time.Now(), make(map[string]*Hub)
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
		table := &Table{Name: "t", Source: faultyStoreClient{r, node.Name, clock}, Clock: clock, Bound: bound, Refresh: bound / 4,
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

// TestLagOfAStoreThatHasJustStarted guards against a lag that counts as unknown because the store's clock
// shows zero.
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

// TestNodeWithLateNewsReadsTheStore checks that a node whose news is late reads the store itself, so that
// changes arrive there within the bound.
func TestNodeWithLateNewsReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &faultySite{calm: true, late: make(map[string]time.Duration)}
		ctx, cancel := context.WithCancel(context.Background())
		names, _, values := startFaultySite(ctx, r, SmallSite+3)
		time.Sleep(5 * time.Second)
		for _, name := range names[Watchers:] {
			r.late[name] = 3 * bound
		}
		for range 3 {
			time.Sleep(10 * bound) // until all late messages are of the current version
			r.put()
			time.Sleep(bound)
			for _, name := range names {
				if values[name]() < len(r.acked) {
					t.Errorf("%s has version %d %v after version %d was made", name, values[name](), bound, len(r.acked))
				}
			}
		}
		cancel()
		time.Sleep(20 * time.Second) // lets calls in progress end
	})
}

func runLag(t *testing.T, seed uint64) {
	r := &faultySite{random: rand.New(rand.NewPCG(seed, 1))}
	ctx, cancel := context.WithCancel(context.Background())
	names, tables, values := startFaultySite(ctx, r, SmallSite+3)
	shortLags := 0
	for step := range 1200 { // of 50 ms
		time.Sleep(50 * time.Millisecond)
		if step%17 == 0 {
			r.put()
		}
		if step%40 == 39 {
			r.injectFault(names)
		}
		for name, table := range tables {
			shortLags += r.check(t, name, table, values[name])
		}
	}
	if shortLags < 600*len(names) {
		t.Errorf("only %d times a node had a lag below %v", shortLags, 3*bound)
	}
	cancel()
	time.Sleep(20 * time.Second) // lets calls in progress end
}

// check fails the test if a node lacks a change that is older than its lag. It returns 1 if the lag is known
// and below 3*bound, and 0 otherwise.
func (r *faultySite) check(t *testing.T, name string, table *Table, value func() int) int {
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
			t.Fatalf("%s has version %d and the lag %v, but version %d is %v old",
				name, has, lag, i+1, now.Sub(acked))
		}
	}
	if lag < 3*bound {
		return 1
	}
	return 0
}
