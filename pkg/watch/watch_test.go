package watch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
)

// bound is Table.Bound in the tests.
const bound = 2 * time.Second

// fakeStore is an in-memory store of one table.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]Record
	log     []Record // all changes, oldest first
	version revision.Revision
	oldest  revision.Revision // changes after older versions are forgotten
	calls   int               // number of calls
	cut     map[string]bool   // callers that get no answer
	refused map[string]bool   // callers whose calls fail at once
	dead    map[string]bool   // callers that ended
	callsBy map[string]int    // number of calls by caller
	reads   int               // whole tables that were returned
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]Record), cut: make(map[string]bool), refused: make(map[string]bool), callsBy: make(map[string]int)}
}

func (m *fakeStore) put(key, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	r := Record{Key: key, Value: []byte(value), Version: m.version, Gone: value == ""}
	m.log = append(m.log, r)
	if r.Gone {
		delete(m.rows, key)
	} else {
		m.rows[key] = r
	}
}

// changeOtherTable makes a change of another table, which only increases the version.
func (m *fakeStore) changeOtherTable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
}

var errRefused = errors.New("the store refuses the node")

// callTime limits a call of the store.
const callTime = 1500 * time.Millisecond

// storeClient is a node's connection to the store.
type storeClient struct {
	name  string
	store *fakeStore
}

func (c storeClient) answer(ctx context.Context, f func() (Page, error)) (Page, error) {
	time.Sleep(4 * time.Millisecond)
	c.store.mu.Lock()
	if !c.store.dead[c.name] {
		c.store.calls++
		c.store.callsBy[c.name]++
	}
	cut, refused := c.store.cut[c.name] || c.store.dead[c.name], c.store.refused[c.name]
	c.store.mu.Unlock()
	if refused {
		return Page{}, errRefused
	}
	if cut {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return f()
}

func (c storeClient) Read(ctx context.Context, _ string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.answer(ctx, func() (Page, error) {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.reads++
		p := Page{Version: c.store.version}
		for _, r := range c.store.rows {
			p.Records = append(p.Records, r)
		}
		return p, nil
	})
}

func (c storeClient) Feed(ctx context.Context, _ string, after revision.Revision, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+AnswerTime)
	defer cancel()
	return c.answer(ctx, func() (Page, error) {
		for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
			c.store.mu.Lock()
			p := Page{Version: c.store.version}
			gone := after < c.store.oldest
			for _, r := range c.store.log {
				if r.Version > after {
					p.Records = append(p.Records, r)
				}
			}
			c.store.mu.Unlock()
			if gone {
				return Page{}, ErrHistoryGone
			}
			if len(p.Records) > 0 || time.Now().After(end) || ctx.Err() != nil {
				return p, ctx.Err()
			}
		}
	})
}

// network carries messages between the hubs of a test.
type network struct {
	mu   sync.Mutex
	hubs map[string]*Hub
	dead map[string]bool
}

func (n *network) hub(address string) *Hub {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead[address] {
		return nil
	}
	return n.hubs[address]
}

func (n *network) Send(address string, message peer.Message) {
	if h := n.hub(address); h != nil {
		go func() {
			time.Sleep(2 * time.Millisecond)
			_, _, _ = h.Handle(context.Background(), message)
		}()
	}
}

func (n *network) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	h := n.hub(address)
	if h == nil {
		return nil, peer.ErrUnreachable
	}
	time.Sleep(2 * time.Millisecond)
	reply, _, err := h.Handle(ctx, message)
	return reply, err
}

func (n *network) Close() error { return nil }

// member is a node of the test with the last rows that were applied.
type member struct {
	hub      *Hub
	mu       sync.Mutex
	rows     map[string]string
	wentBack bool              // a version was lower than one before
	last     revision.Revision // version that was applied last
}

func (m *member) value(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key]
}

// start runs a site of n nodes until stopSite is called.
func start(t *testing.T, store *fakeStore, n int, options ...func(*Hub)) ([]*member, *network) {
	net := &network{hubs: make(map[string]*Hub), dead: make(map[string]bool)}
	var nodes []Node
	for i := range n {
		name := string(rune('A' + i))
		nodes = append(nodes, Node{Name: name, Zone: name[:1], Peers: name})
	}
	var members []*member
	ctx, cancel := context.WithCancel(context.Background())
	for _, node := range nodes {
		m := &member{}
		table := &Table{Name: "t", Source: storeClient{node.Name, store}, Bound: bound, Logger: hclog.NewNullLogger(),
			Apply: func(rows map[string]Record, version revision.Revision) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.wentBack = m.wentBack || version < m.last
				m.last, m.rows = version, make(map[string]string)
				for key, r := range rows {
					m.rows[key] = string(r.Value)
				}
			}}
		m.hub = &Hub{Self: node, Nodes: func() []Node { return nodes }, Known: func() bool { return true },
			Transport: net, Tables: []*Table{table}, Logger: hclog.NewNullLogger()}
		for _, set := range options {
			set(m.hub)
		}
		net.hubs[node.Name] = m.hub
		members = append(members, m)
		go m.hub.Run(ctx)
	}
	stopSite = func() {
		cancel()
		time.Sleep(5 * time.Second) // virtual; lets calls in progress end
	}
	return members, net
}

// startCalmSite runs a site of n nodes for a while. All nodes have the value 1 of key a.
func startCalmSite(t *testing.T, n int) (*fakeStore, []*member) {
	t.Helper()
	store := newFakeStore()
	store.put("a", "1")
	members, _ := start(t, store, n)
	awaitValue(t, members, "a", "1")
	time.Sleep(5 * time.Second)
	return store, members
}

// stopSite stops the site of the running test.
var stopSite func()

// awaitValue waits until all members have the value, and returns the time it took.
func awaitValue(t *testing.T, members []*member, key, want string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, m := range members {
		for m.value(key) != want {
			if time.Since(began) > 10*bound {
				t.Fatalf("%s has %q, not %q, after %v", m.hub.Self.Name, m.value(key), want, time.Since(began))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

func TestChangesArriveWithinTheBound(t *testing.T) {
	for _, size := range []int{3, 20} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.put("a", "1")
			members, _ := start(t, store, size)
			awaitValue(t, members, "a", "1")
			time.Sleep(5 * time.Second)
			for _, change := range [][2]string{{"a", "2"}, {"b", "1"}, {"a", ""}, {"b", "2"}} {
				store.put(change[0], change[1])
				if took := awaitValue(t, members, change[0], change[1]); took > bound/2 {
					t.Errorf("%d nodes: the change arrived after %v", size, took)
				}
				store.changeOtherTable()
			}
			for _, m := range members {
				if m.wentBack {
					t.Errorf("the version of %s went back", m.hub.Self.Name)
				}
			}
			stopSite()
		})
	}
}

// TestCallsDoNotGrowWithTheSite checks that only the readers call the store, however many nodes there are.
func TestCallsDoNotGrowWithTheSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, members := startCalmSite(t, 26)
		store.mu.Lock()
		before := store.calls
		store.mu.Unlock()
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		calls := store.calls - before
		store.mu.Unlock()
		each := int(10*time.Second/members[0].hub.Tables[0].boundShare(feedShare)) + 2
		if calls > Readers*each {
			t.Errorf("%d calls in 10s, want at most %d with %d readers", calls, Readers*each, Readers)
		}
		stopSite()
	})
}

// TestFirstStartLeavesTheStoreToTheWatchers checks that the nodes of a large site that starts do not read the
// store and soon have the table, and that they read it if they don't learn of the watchers.
func TestFirstStartLeavesTheStoreToTheWatchers(t *testing.T) {
	const size = 26
	first := func(h *Hub) { h.FirstStart = true }
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		members, _ := start(t, store, size, first)
		if took := awaitValue(t, members, "a", "1"); took > time.Second {
			t.Errorf("all nodes have the table after %v", took)
		}
		store.mu.Lock()
		calls := store.calls
		store.mu.Unlock()
		if calls > 3*Watchers {
			t.Errorf("%d calls by %d nodes of which %d watch", calls, size, Watchers)
		}
		stopSite()
	})
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		unknown := func(h *Hub) { h.Known = func() bool { return false } }
		members, _ := start(t, store, size, first, unknown)
		if took := awaitValue(t, members, "a", "1"); took > firstStartWait+time.Second {
			t.Errorf("nodes that don't know the others have the table after %v", took)
		}
		stopSite()
	})
}

// harmWatchers runs a site and then makes its first watchers fail. It returns the nodes that don't watch.
func harmWatchers(t *testing.T, size, harmed int, harm func(*fakeStore, *network, string)) (*fakeStore, []*member) {
	store := newFakeStore()
	store.put("a", "1")
	members, net := start(t, store, size)
	awaitValue(t, members, "a", "1")
	time.Sleep(5 * time.Second)
	store.mu.Lock()
	net.mu.Lock()
	for _, watcher := range watchers(members[0].hub.Nodes())[:harmed] {
		harm(store, net, watcher)
	}
	net.mu.Unlock()
	store.mu.Unlock()
	var others []*member
	for _, m := range members {
		if !m.hub.Watching() {
			others = append(others, m)
		}
	}
	return store, others
}

// TestNodesTurnToTheStoreWithoutFreshWatchers checks that changes arrive within the bound if the watchers die
// or are cut off from the store.
func TestNodesTurnToTheStoreWithoutFreshWatchers(t *testing.T) {
	for name, harm := range map[string]func(*fakeStore, *network, string){
		"dead":                   func(_ *fakeStore, n *network, watcher string) { n.dead[watcher] = true },
		"cut off from the store": func(s *fakeStore, _ *network, watcher string) { s.cut[watcher] = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, others := harmWatchers(t, 20, Watchers, harm)
				time.Sleep(bound) // until the last heartbeats are too old
				store.put("a", "2")
				if took := awaitValue(t, others, "a", "2"); took > bound {
					t.Errorf("the change arrived after %v without watchers", took)
				}
				stopSite()
			})
		})
	}
}

// TestForgottenHistoryIsReadAnew checks that all nodes get changes that the store no longer has in its
// history.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		members, _ := start(t, store, 20)
		awaitValue(t, members, "a", "1")
		time.Sleep(3 * time.Second)
		store.put("a", "2")
		store.mu.Lock()
		store.oldest = store.version + 1
		store.mu.Unlock()
		store.put("b", "1")
		store.put("a", "")
		awaitValue(t, members, "a", "")
		if took := awaitValue(t, members, "b", "1"); took > bound {
			t.Errorf("the change arrived after %v", took)
		}
		stopSite()
	})
}

func TestPackIsUndoneByUnpack(t *testing.T) {
	records := []Record{{Key: "a", Value: []byte("x"), Version: 3}, {Key: "b", Version: 4, Gone: true}}
	packed, err := pack(records)
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpack(packed)
	if err != nil || len(got) != 2 || got[0].Key != "a" || string(got[0].Value) != "x" || !got[1].Gone {
		t.Errorf("unpacked records %+v, error %v", got, err)
	}
	if _, err := unpack([]byte("nonsense")); err == nil {
		t.Error("invalid data was unpacked without an error")
	}
}

// callCount returns the number of calls that the store has got.
func (m *fakeStore) callCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// TestRestartedNodesReadOnce checks that the nodes of a site that lost power read the table once at the
// start, and leave the changes to the watchers while they wait to learn which nodes those are.
func TestRestartedNodesReadOnce(t *testing.T) {
	const size = 26
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		began := time.Now()
		late := func(h *Hub) { h.Known = func() bool { return time.Since(began) > bound/2 } }
		members, _ := start(t, store, size, late)
		if took := awaitValue(t, members, "a", "1"); took > 100*time.Millisecond {
			t.Errorf("all nodes have the table after %v", took)
		}
		for range 8 {
			store.put("b", time.Now().String())
			time.Sleep(bound / 20)
		}
		time.Sleep(bound / 2)
		if calls := store.callCount(); calls > size+10*Watchers {
			t.Errorf("%d calls by %d nodes of which %d watch", calls, size, Watchers)
		}
		store.put("a", "2")
		if took := awaitValue(t, members, "a", "2"); took > bound/2 {
			t.Errorf("the change arrived after %v", took)
		}
		stopSite()
	})
}

// TestNodesSpareAStoreThatIsDown checks that nodes that don't watch rarely ask a store that is down, no more often
// on a large site than on a small one, and that all nodes have new changes within the bound after the store's return.
func TestNodesSpareAStoreThatIsDown(t *testing.T) {
	const outage = 10 * time.Second
	for _, size := range []int{26, 200} {
		// On average a watcher asks every 0.6 s at most and each other node every 1.2 s.
		most := (size + Watchers) * int(outage/(bound*6/10))
		synctest.Test(t, func(t *testing.T) {
			store, members := startCalmSite(t, size)
			store.mu.Lock()
			for _, m := range members {
				store.refused[m.hub.Self.Name] = true
			}
			store.mu.Unlock()
			before := store.callCount()
			time.Sleep(outage)
			if calls := store.callCount() - before; calls > most {
				t.Errorf("%d calls by %d nodes in %v, want at most %d", calls, size, outage, most)
			}
			store.mu.Lock()
			clear(store.refused)
			store.mu.Unlock()
			store.put("a", "2")
			if took := awaitValue(t, members, "a", "2"); took > bound {
				t.Errorf("%d nodes: the change arrived %v after the store's return", size, took)
			}
			stopSite()
		})
	}
}

// TestStandbysReadWithoutReaders checks that readers that die, or that the store refuses, are replaced by the
// other watchers before the other nodes turn to the store.
func TestStandbysReadWithoutReaders(t *testing.T) {
	for name, harm := range map[string]func(*fakeStore, *network, string){
		"dead":    func(_ *fakeStore, n *network, reader string) { n.dead[reader] = true },
		"refused": func(s *fakeStore, _ *network, reader string) { s.refused[reader] = true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, others := harmWatchers(t, 26, Readers, harm)
				store.put("a", "2")
				if took := awaitValue(t, others, "a", "2"); took > bound {
					t.Errorf("the change arrived after %v without readers", took)
				}
				stopSite()
			})
		})
	}
}
