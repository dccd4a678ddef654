package watch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
)

// If each node held all rows and got all changes, also from nodes of other zones, the memory and the traffic
// of a node would grow with the fleet, and the traffic of the fleet with its square; this matters for 985
// nodes and 10,000 servers. These tests count messages, bytes and rows at one size and at three times it.

// meteredNetwork is a network that counts what each node receives and sends, and that can make nodes fail.
type meteredNetwork struct {
	network
	zones         map[string]string
	received      map[string]int  // bytes by node
	messages      map[string]int  // received messages by node
	sent          map[string]int  // bytes by node
	crossZone     int             // bytes between zones
	deaf          map[string]bool // nodes that receive nothing
	mute          map[string]bool // nodes whose messages get lost
	frozen        map[string]bool // nodes that neither send nor receive
	withoutFollow map[string]bool // nodes of an earlier build, which don't know Follow
}

// messageOverhead is about the size of a message without records.
const messageOverhead = 60

func sizeOf(message peer.Message) int {
	switch m := message.(type) {
	case News:
		return messageOverhead + len(m.Records)
	case PullAnswer:
		size := messageOverhead + len(m.Records)
		for _, packed := range m.Packs {
			size += len(packed)
		}
		return size
	}
	return messageOverhead
}

// deliver counts a message and reports whether it arrives.
func (m *meteredNetwork) deliver(from, to string, message peer.Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := sizeOf(message)
	m.sent[from] += size
	m.received[to] += size
	m.messages[to]++
	if m.zones[from] != m.zones[to] {
		m.crossZone += size
	}
	_, follow := message.(Follow)
	return !m.mute[from] && !m.deaf[to] && !m.frozen[from] && !m.frozen[to] && !(follow && m.withoutFollow[to])
}

// resetCounts sets all counters to zero.
func (m *meteredNetwork) resetCounts() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.received)
	clear(m.messages)
	clear(m.sent)
	m.crossZone = 0
}

// nodeTransport is the network as one node uses it.
type nodeTransport struct {
	*meteredNetwork
	name string
}

func (f nodeTransport) Send(address string, message peer.Message) {
	if f.deliver(f.name, address, message) {
		f.network.Send(address, message)
	}
}

func (f nodeTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	if !f.deliver(f.name, address, message) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := f.network.Call(ctx, address, message)
	if err == nil && !f.deliver(address, f.name, reply) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

// fleet is a simulated site whose nodes follow each other.
type fleet struct {
	store   *fakeStore
	net     *meteredNetwork
	members []*member
	tables  map[string]*Table
	nodes   []Node
	known   atomic.Pointer[[]Node] // nodes as they are reported to the nodes
	cancel  context.CancelFunc
}

const fleetZones = 5

// startFleet runs n nodes in fleetZones zones with a store of the given number of rows, of which each node
// may hold some parts.
func startFleet(n, rows int, options ...func(*Hub)) *fleet {
	f := &fleet{store: newFakeStore(), tables: make(map[string]*Table)}
	f.net = &meteredNetwork{network: network{hubs: make(map[string]*Hub), dead: make(map[string]bool)},
		zones: make(map[string]string), received: make(map[string]int), sent: make(map[string]int), messages: make(map[string]int),
		deaf: make(map[string]bool), mute: make(map[string]bool), frozen: make(map[string]bool), withoutFollow: make(map[string]bool)}
	for i := range rows {
		f.store.put(rowKey(i), "1")
	}
	for i := range n {
		name := fmt.Sprintf("node-%03d", i)
		node := Node{Name: name, Zone: fmt.Sprint("zone-", i%fleetZones), Peers: name, Follows: true}
		f.nodes = append(f.nodes, node)
		f.net.zones[name] = node.Zone
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.known.Store(&f.nodes)
	for _, node := range f.nodes {
		f.addNode(node, options)
	}
	for _, m := range f.members {
		go m.hub.Run(ctx)
	}
	return f
}

func rowKey(i int) string { return fmt.Sprintf("i-%04x", i) }

func (f *fleet) addNode(node Node, options []func(*Hub)) {
	m := &member{}
	table := &Table{Name: "t", Source: prober{storeClient{node.Name, f.store}}, Bound: bound, Partitioned: true, Logger: hclog.NewNullLogger(),
		Apply: func(_ map[string]Record, version revision.Revision) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.wentBack = m.wentBack || version < m.last
			m.last = version
		}}
	m.hub = &Hub{Self: node, Nodes: func() []Node { return *f.known.Load() }, Known: func() bool { return true }, FirstStart: true,
		Transport: nodeTransport{f.net, node.Name}, Tables: []*Table{table}, Logger: hclog.NewNullLogger()}
	for _, set := range options {
		set(m.hub)
	}
	f.tables[node.Name] = table
	f.net.hubs[node.Name] = m.hub
	f.members = append(f.members, m)
}

// end stops the site.
func (f *fleet) end() {
	f.cancel()
	time.Sleep(5 * time.Second) // virtual; lets calls in progress end
}

// prober is a node's connection to a store that returns a large table in pages.
type prober struct{ storeClient }

// probeRows is the number of rows in the first page of the test's store.
const probeRows = 500

func (p prober) Probe(ctx context.Context, table string) (Page, bool, error) {
	page, err := p.Read(ctx, table)
	more := len(page.Records) > probeRows
	page.Records = page.Records[:min(len(page.Records), probeRows)]
	return page, more, err
}

// leaves returns the nodes that are neither watchers nor relays.
func (f *fleet) leaves() []*member {
	top := newTopology(f.nodes)
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool {
		return slices.Contains(top.watchers, m.hub.Self.Name) || top.isRelay(m.hub.Self)
	})
}

// rowCount returns the number of rows that a node holds.
func (f *fleet) rowCount(m *member) int {
	table := f.tables[m.hub.Self.Name]
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.rows)
}

// value returns a node's value of a row.
func (f *fleet) value(m *member, key string) string {
	table := f.tables[m.hub.Self.Name]
	table.mu.Lock()
	defer table.mu.Unlock()
	return string(table.rows[key].Value)
}

// awaitValue waits until all given nodes that hold a row have its value, and returns the time it took.
func (f *fleet) awaitValue(t *testing.T, members []*member, key, want string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, m := range members {
		if _, held, _ := f.tables[m.hub.Self.Name].partStatus(); !held.Holds(key) {
			continue
		}
		for f.value(m, key) != want {
			if time.Since(began) > 10*bound {
				t.Fatalf("%s has %q, not %q, after %v", m.hub.Self.Name, f.value(m, key), want, time.Since(began))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// waitSettled waits until all nodes hold the parts that they want.
func (f *fleet) waitSettled(t *testing.T) {
	t.Helper()
	began := time.Now()
	for name, table := range f.tables {
		for {
			if missing, held, _ := table.partStatus(); missing == 0 && held != 0 {
				break
			}
			if time.Since(began) > 10*time.Second {
				t.Fatalf("%s does not have its rows after %v", name, time.Since(began))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
}

// changeRows makes perSecond changes a second for the given time.
func (f *fleet) changeRows(perSecond int, span time.Duration, rows int) {
	for i := range perSecond * int(span/time.Second) {
		f.store.put(rowKey((i*7)%rows), fmt.Sprint("changed-", i))
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// checkAgainstStore checks that a node's rows are as the store has them and that its version never went back.
func (f *fleet) checkAgainstStore(t *testing.T, m *member) {
	t.Helper()
	table := f.tables[m.hub.Self.Name]
	page, _ := table.allRows()
	_, held, _ := table.partStatus()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	rows := 0
	for key := range f.store.rows {
		if held.Holds(key) {
			rows++
		}
	}
	if rows != len(page.Records) {
		t.Errorf("%s has %d rows, the store %d", m.hub.Self.Name, len(page.Records), rows)
	}
	for _, r := range page.Records {
		if stored := f.store.rows[r.Key]; string(stored.Value) != string(r.Value) {
			t.Errorf("%s has %q of %s, the store %q", m.hub.Self.Name, r.Value, r.Key, stored.Value)
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wentBack {
		t.Errorf("the version of %s went back", m.hub.Self.Name)
	}
}

// nodeLoad is the load of the nodes of a fleet.
type nodeLoad struct {
	rows, messages, bytes int // maximum of the nodes that neither watch nor relay
	busiest               int // bytes that the busiest node sends
	crossZone             int // bytes between zones, of all nodes
}

// measureLoad runs a fleet with ten rows for each node, and changes half a row for each node a second.
func measureLoad(t *testing.T, n int, options ...func(*Hub)) nodeLoad {
	var l nodeLoad
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(n, 10*n, options...)
		f.waitSettled(t)
		f.net.resetCounts()
		f.changeRows(n/2, 10*time.Second, 10*n)
		f.net.mu.Lock()
		for _, m := range f.leaves() {
			name := m.hub.Self.Name
			l.rows, l.messages, l.bytes = max(l.rows, f.rowCount(m)), max(l.messages, f.net.messages[name]), max(l.bytes, f.net.received[name])
		}
		for _, sent := range f.net.sent {
			l.busiest = max(l.busiest, sent)
		}
		l.crossZone = f.net.crossZone
		f.net.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, m := range f.members {
			f.checkAgainstStore(t, m)
		}
		f.end()
	})
	return l
}

// TestLoadOfANodeDoesNotGrowWithTheFleet compares a fleet with one that has three times as many nodes, rows
// and changes. The rows, messages and bytes of a node must stay the same. The bytes sent by the busiest node,
// and those sent between zones by all nodes, may grow nine times at most, as there are three times as many
// relays and changes.
func TestLoadOfANodeDoesNotGrowWithTheFleet(t *testing.T) {
	const small = 120
	a, b := measureLoad(t, small), measureLoad(t, 3*small)
	t.Logf("%d nodes: %+v; %d: %+v", small, a, 3*small, b)
	const noGrowth = 1.25 // the nodes' shares of the rows differ a little
	for _, c := range []struct {
		name   string
		before int
		after  int
		most   float64
	}{
		{"rows", a.rows, b.rows, noGrowth}, {"messages", a.messages, b.messages, noGrowth}, {"bytes", a.bytes, b.bytes, noGrowth},
		// Each relay gets all changes, and there are three times as many of both.
		{"the busiest node's bytes by relay", a.busiest, b.busiest, 3 * 3}, {"bytes between zones", a.crossZone, b.crossZone, 3 * 3},
	} {
		if growth := float64(c.after) / float64(max(c.before, 1)); growth > c.most {
			t.Errorf("%s grew from %d to %d, %.2f times; at most %.2f", c.name, c.before, c.after, growth, c.most)
		}
	}
}

// TestNodesOfAnEarlierBuildGetNews checks that nodes that don't follow others get news unasked, and that
// nodes that follow others work with readers or relays of an earlier build.
func TestNodesOfAnEarlierBuildGetNews(t *testing.T) {
	for name, old := range map[string]func(top *topology, n Node) bool{
		"readers": func(top *topology, n Node) bool { return slices.Contains(top.watchers, n.Name) },
		"others":  func(top *topology, n Node) bool { return nameHash(n.Name)%2 == 0 },
		"relays":  func(top *topology, n Node) bool { return top.isRelay(n) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(60, 100)
				f.waitSettled(t)
				top := newTopology(f.nodes)
				nodes := slices.Clone(f.nodes)
				f.net.mu.Lock()
				for i := range nodes {
					if old(top, nodes[i]) {
						nodes[i].Follows = false
						f.net.withoutFollow[nodes[i].Name] = true
					}
				}
				f.net.mu.Unlock()
				f.known.Store(&nodes)
				for round := range 5 {
					time.Sleep(time.Second)
					value := fmt.Sprint("round ", round)
					f.store.put(rowKey(round), value)
					if took := f.awaitValue(t, f.members, rowKey(round), value); took > bound {
						t.Errorf("the change arrived after %v", took)
					}
				}
				f.end()
			})
		})
	}
}

// TestLossesInTheTree checks that changes arrive within the bound at all other nodes when readers or relays
// are killed, frozen or cut off in one direction, and that no node asks the store for a whole table because
// of it.
func TestLossesInTheTree(t *testing.T) {
	harms := map[string]func(*meteredNetwork, string){
		"dead":   func(m *meteredNetwork, n string) { m.dead[n] = true },
		"frozen": func(m *meteredNetwork, n string) { m.frozen[n] = true },
		"deaf":   func(m *meteredNetwork, n string) { m.deaf[n] = true },
		"mute":   func(m *meteredNetwork, n string) { m.mute[n] = true },
	}
	victims := map[string]func(*topology) []string{
		"a reader": func(top *topology) []string { return top.watchers[:1] },
		"a relay":  func(top *topology) []string { return []string{top.relays["zone-0"][0].Name} },
		"all relays of a zone": func(top *topology) []string {
			var names []string
			for _, n := range top.relays["zone-1"] {
				names = append(names, n.Name)
			}
			return names
		},
		"a reader and a relay": func(top *topology) []string { return []string{top.watchers[1], top.relays["zone-2"][0].Name} },
	}
	for harm, do := range harms {
		for victim, of := range victims {
			t.Run(victim+" "+harm, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runLoss(t, do, of) })
			})
		}
	}
}

func runLoss(t *testing.T, harm func(*meteredNetwork, string), of func(*topology) []string) {
	const size, rows = 200, 2000
	f := startFleet(size, rows)
	f.waitSettled(t)
	lost := of(newTopology(f.nodes))
	f.net.mu.Lock()
	for _, name := range lost {
		harm(f.net, name)
	}
	f.net.mu.Unlock()
	others := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return slices.Contains(lost, m.hub.Self.Name) })
	before := f.store.callCount()
	for round := range 12 {
		value := fmt.Sprint("round ", round)
		key := rowKey(round * 31)
		f.store.put(key, value)
		if took := f.awaitValue(t, others, key, value); took > bound {
			t.Errorf("round %d: the change arrived after %v", round, took)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if calls := f.store.callCount() - before; calls > 12*12 {
		t.Errorf("%d calls of the store by %d nodes", calls, size)
	}
	f.end()
}

// TestRestartedNodesLeaveALargeTableToOthers checks that starting nodes read only the first page of a large
// table, and get their parts from other nodes soon after they learn of them.
func TestRestartedNodesLeaveALargeTableToOthers(t *testing.T) {
	const size, rows, knownAfter = 200, 2000, time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		f := startFleet(size, rows, func(h *Hub) {
			h.FirstStart = false
			h.Known = func() bool { return time.Since(began) > knownAfter }
		})
		for time.Since(began) < knownAfter+2*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		for _, m := range f.members {
			if missing, held, _ := f.tables[m.hub.Self.Name].partStatus(); missing != 0 || held == 0 {
				t.Errorf("%s lacks rows %v after it learned of the other nodes", m.hub.Self.Name, time.Since(began)-knownAfter)
			}
		}
		if calls := f.store.callCount(); calls > size+20*Watchers {
			t.Errorf("%d calls of the store by %d nodes", calls, size)
		}
		f.end()
	})
}

// TestNodesThatKnowNoOthersReadTheStore checks that nodes that start after a loss of all nodes, and so learn
// of no others, read the table themselves, however large it is.
func TestNodesThatKnowNoOthersReadTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(100, 2000, func(h *Hub) {
			h.FirstStart, h.Known = false, func() bool { return false }
		})
		time.Sleep(aloneWait + time.Second)
		for _, m := range f.members {
			if f.rowCount(m) != 2000 {
				t.Fatalf("%s has %d rows", m.hub.Self.Name, f.rowCount(m))
			}
		}
		f.end()
	})
}

// TestAPartIsCoveredWhenItIsAskedFor checks that a node that needs a row beyond its own parts gets it within
// two messages, receives its changes, and drops it when it is no longer in use.
func TestAPartIsCoveredWhenItIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		used := ""
		var dropped []string
		f := startFleet(200, 4000, func(h *Hub) {
			h.Tables[0].InUse = func(key string) bool { mu.Lock(); defer mu.Unlock(); return key == used }
			h.Tables[0].Dropped = func(keys []string) { mu.Lock(); defer mu.Unlock(); dropped = append(dropped, keys...) }
		})
		f.waitSettled(t)
		leaf := f.leaves()[0]
		i := 0
		for f.value(leaf, rowKey(i)) != "" {
			i++
		}
		key := rowKey(i)
		began := time.Now()
		if err := leaf.hub.Cover(context.Background(), "t", key); err != nil || f.value(leaf, key) != "1" {
			t.Fatalf("the row has the value %q, error %v", f.value(leaf, key), err)
		}
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("the part came after %v", took)
		}
		f.store.put(key, "2")
		if took := f.awaitValue(t, []*member{leaf}, key, "2"); took > bound/2 {
			t.Errorf("a change came after %v", took)
		}
		mu.Lock()
		used = key
		dropped = nil // forgets parts dropped at the start, when the size of the table became known
		mu.Unlock()
		time.Sleep(2 * extraPartLifetime)
		if f.value(leaf, key) != "2" {
			t.Error("the node dropped a row in use")
		}
		mu.Lock()
		used = ""
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		if f.value(leaf, key) != "" || !slices.Contains(dropped, key) {
			t.Errorf("the node keeps the row; Dropped got %d keys", len(dropped))
		}
		mu.Unlock()
		f.end()
	})
}
