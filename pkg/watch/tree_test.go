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

// Of 985 nodes before 10,000 servers each held all servers and was told of all changes, by nodes of
// other zones: what a node held and heard, and what its memory and its link had to bear, grew with
// the fleet, and what the fleet sent with its square. These plays count messages, bytes and rows at
// one size and at three times it.

// metered is a network that counts what each node gets and sends, and can harm nodes.
type metered struct {
	network
	zones    map[string]string
	got      map[string]int  // bytes
	messages map[string]int  // got
	sent     map[string]int  // bytes
	crossing int             // bytes between zones
	deaf     map[string]bool // nodes that get nothing
	mute     map[string]bool // nodes whose messages get lost
	frozen   map[string]bool
	missing  map[string]bool // nodes of an earlier build, which don't know Follow
}

// headBytes is about what a message has besides records.
const headBytes = 60

func sizeOf(message peer.Message) int {
	switch m := message.(type) {
	case News:
		return headBytes + len(m.Records)
	case PullAnswer:
		size := headBytes + len(m.Records)
		for _, packed := range m.Packs {
			size += len(packed)
		}
		return size
	}
	return headBytes
}

// passes counts a message and tells whether it arrives.
func (m *metered) passes(from, to string, message peer.Message) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	size := sizeOf(message)
	m.sent[from] += size
	m.got[to] += size
	m.messages[to]++
	if m.zones[from] != m.zones[to] {
		m.crossing += size
	}
	_, follow := message.(Follow)
	return !m.mute[from] && !m.deaf[to] && !m.frozen[from] && !m.frozen[to] && !(follow && m.missing[to])
}

// count starts to count anew.
func (m *metered) count() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.got)
	clear(m.messages)
	clear(m.sent)
	m.crossing = 0
}

// from is the network as one node uses it.
type from struct {
	*metered
	name string
}

func (f from) Send(address string, message peer.Message) {
	if f.passes(f.name, address, message) {
		f.network.Send(address, message)
	}
}

func (f from) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	if !f.passes(f.name, address, message) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply, err := f.network.Call(ctx, address, message)
	if err == nil && !f.passes(address, f.name, reply) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

// fleet is a site whose nodes follow each other.
type fleet struct {
	store   *memory
	net     *metered
	members []*member
	tables  map[string]*Table
	nodes   []Node
	known   atomic.Pointer[[]Node] // the nodes, as they are told
	cancel  context.CancelFunc
}

const fleetZones = 5

// startFleet runs n nodes of five zones before rows rows, of which each node may hold a part.
func startFleet(n, rows int, options ...func(*Hub)) *fleet {
	f := &fleet{store: newMemory(), tables: make(map[string]*Table)}
	f.net = &metered{network: network{hubs: make(map[string]*Hub), dead: make(map[string]bool)},
		zones: make(map[string]string), got: make(map[string]int), sent: make(map[string]int), messages: make(map[string]int),
		deaf: make(map[string]bool), mute: make(map[string]bool), frozen: make(map[string]bool), missing: make(map[string]bool)}
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
	table := &Table{Name: "t", Source: prober{caller{node.Name, f.store}}, Bound: bound, Parted: true, Logger: hclog.NewNullLogger(),
		Apply: func(_ map[string]Record, version revision.Revision) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.back = m.back || version < m.last
			m.last = version
		}}
	m.hub = &Hub{Self: node, Nodes: func() []Node { return *f.known.Load() }, Known: func() bool { return true }, FirstStart: true,
		Transport: from{f.net, node.Name}, Tables: []*Table{table}, Logger: hclog.NewNullLogger()}
	for _, set := range options {
		set(m.hub)
	}
	f.tables[node.Name] = table
	f.net.hubs[node.Name] = m.hub
	f.members = append(f.members, m)
}

// end ends the site.
func (f *fleet) end() {
	f.cancel()
	time.Sleep(5 * time.Second) // virtual; for what is under way to end
}

// prober is a node's way to a store that tells a large table in pages.
type prober struct{ caller }

// probeRows is how many rows the first page of the test's store has.
const probeRows = 500

func (p prober) Probe(ctx context.Context, table string) (Page, bool, error) {
	page, err := p.Read(ctx, table)
	more := len(page.Records) > probeRows
	page.Records = page.Records[:min(len(page.Records), probeRows)]
	return page, more, err
}

// leaves returns the nodes that neither watch nor relay.
func (f *fleet) leaves() []*member {
	top := newTopology(f.nodes)
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool {
		return slices.Contains(top.watchers, m.hub.Self.Name) || top.relay(m.hub.Self)
	})
}

// rows returns how many rows a node has.
func (f *fleet) rows(m *member) int {
	table := f.tables[m.hub.Self.Name]
	table.mu.Lock()
	defer table.mu.Unlock()
	return len(table.rows)
}

// value returns what a node has of a row.
func (f *fleet) value(m *member, key string) string {
	table := f.tables[m.hub.Self.Name]
	table.mu.Lock()
	defer table.mu.Unlock()
	return string(table.rows[key].Value)
}

// inForce waits until all of some nodes that hold a row have its value, and returns the time it took.
func (f *fleet) inForce(t *testing.T, members []*member, key, want string) time.Duration {
	t.Helper()
	began := time.Now()
	for _, m := range members {
		if _, held, _ := f.tables[m.hub.Self.Name].lacks(); !held.Holds(key) {
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

// settle waits until all nodes hold what they want.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	began := time.Now()
	for name, table := range f.tables {
		for {
			if missing, held, _ := table.lacks(); missing == 0 && held != 0 {
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

// changeAll makes changes of so many rows a second for a while.
func (f *fleet) change(perSecond int, span time.Duration, rows int) {
	for i := range perSecond * int(span/time.Second) {
		f.store.put(rowKey((i*7)%rows), fmt.Sprint("changed-", i))
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// agrees tells that what a node holds is as the store has it.
func (f *fleet) agrees(t *testing.T, m *member) {
	t.Helper()
	table := f.tables[m.hub.Self.Name]
	page, _ := table.whole()
	_, held, _ := table.lacks()
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
	if m.back {
		t.Errorf("%s went back", m.hub.Self.Name)
	}
}

// load is what the nodes of a fleet bear.
type load struct {
	rows, messages, bytes int // most of a node that neither watches nor relays
	busiest               int // bytes that the busiest node sends
	crossing              int // bytes between zones, of all
}

// play runs a fleet with ten rows for each node, of which half a row for each node changes a second.
func play(t *testing.T, n int, options ...func(*Hub)) load {
	var l load
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(n, 10*n, options...)
		f.settle(t)
		f.net.count()
		f.change(n/2, 10*time.Second, 10*n)
		f.net.mu.Lock()
		for _, m := range f.leaves() {
			name := m.hub.Self.Name
			l.rows, l.messages, l.bytes = max(l.rows, f.rows(m)), max(l.messages, f.net.messages[name]), max(l.bytes, f.net.got[name])
		}
		for _, sent := range f.net.sent {
			l.busiest = max(l.busiest, sent)
		}
		l.crossing = f.net.crossing
		f.net.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, m := range f.members {
			f.agrees(t, m)
		}
		f.end()
	})
	return l
}

// TestWhatANodeHoldsAndHearsDoesNotGrowWithTheFleet: from one size to three times it with three times
// as many rows and changes, a node's rows, messages and bytes stay as they are, and the busiest node
// sends, as all together send between zones, as much more as the fleet has nodes more.
func TestWhatANodeHoldsAndHearsDoesNotGrowWithTheFleet(t *testing.T) {
	const small = 120
	a, b := play(t, small), play(t, 3*small)
	t.Logf("%d nodes: %+v; %d: %+v", small, a, 3*small, b)
	const flat = 1.25 // leaves' shares of the rows differ a little
	for _, c := range []struct {
		name   string
		before int
		after  int
		most   float64
	}{
		{"rows", a.rows, b.rows, flat}, {"messages", a.messages, b.messages, flat}, {"bytes", a.bytes, b.bytes, flat},
		// Each relay gets all changes, and there are as many more of both.
		{"the busiest node's bytes by relay", a.busiest, b.busiest, 3 * 3}, {"bytes between zones", a.crossing, b.crossing, 3 * 3},
	} {
		if growth := float64(c.after) / float64(max(c.before, 1)); growth > c.most {
			t.Errorf("%s grew from %d to %d, %.2f times; at most %.2f", c.name, c.before, c.after, growth, c.most)
		}
	}
}

// TestNodesOfAnEarlierBuildAreTold: nodes that don't follow others are told without asking, and nodes
// that follow get along with readers that know nothing of it.
func TestNodesOfAnEarlierBuildAreTold(t *testing.T) {
	for name, old := range map[string]func(top *topology, n Node) bool{
		"readers": func(top *topology, n Node) bool { return slices.Contains(top.watchers, n.Name) },
		"others":  func(top *topology, n Node) bool { return weight(n.Name)%2 == 0 },
		"relays":  func(top *topology, n Node) bool { return top.relay(n) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(60, 100)
				f.settle(t)
				top := newTopology(f.nodes)
				nodes := slices.Clone(f.nodes)
				f.net.mu.Lock()
				for i := range nodes {
					if old(top, nodes[i]) {
						nodes[i].Follows = false
						f.net.missing[nodes[i].Name] = true
					}
				}
				f.net.mu.Unlock()
				f.known.Store(&nodes)
				for round := range 5 {
					time.Sleep(time.Second)
					value := fmt.Sprint("round ", round)
					f.store.put(rowKey(round), value)
					if took := f.inForce(t, f.members, rowKey(round), value); took > bound {
						t.Errorf("in force after %v", took)
					}
				}
				f.end()
			})
		})
	}
}

// TestLossesInTheTree: a reader or a relay that is killed, frozen or cut one way, alone or with the
// next one, holds nobody back beyond the bound, and nobody asks the store for a whole table for it.
func TestLossesInTheTree(t *testing.T) {
	harms := map[string]func(*metered, string){
		"dead":   func(m *metered, n string) { m.dead[n] = true },
		"frozen": func(m *metered, n string) { m.frozen[n] = true },
		"deaf":   func(m *metered, n string) { m.deaf[n] = true },
		"mute":   func(m *metered, n string) { m.mute[n] = true },
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
				synctest.Test(t, func(t *testing.T) { playLoss(t, do, of) })
			})
		}
	}
}

func playLoss(t *testing.T, harm func(*metered, string), of func(*topology) []string) {
	const size, rows = 200, 2000
	f := startFleet(size, rows)
	f.settle(t)
	lost := of(newTopology(f.nodes))
	f.net.mu.Lock()
	for _, name := range lost {
		harm(f.net, name)
	}
	f.net.mu.Unlock()
	rest := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return slices.Contains(lost, m.hub.Self.Name) })
	before := f.store.callsOf()
	for round := range 12 {
		value := fmt.Sprint("round ", round)
		key := rowKey(round * 31)
		f.store.put(key, value)
		if took := f.inForce(t, rest, key, value); took > bound {
			t.Errorf("round %d: in force after %v", round, took)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if calls := f.store.callsOf() - before; calls > 12*12 {
		t.Errorf("%d calls of the store by %d nodes", calls, size)
	}
	f.end()
}

// TestRestartedNodesLeaveALargeTableToOthers: nodes that start look once at the table, which is large,
// and have their share of it from others soon after they are told who these are.
func TestRestartedNodesLeaveALargeTableToOthers(t *testing.T) {
	const size, rows, told = 200, 2000, time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		f := startFleet(size, rows, func(h *Hub) {
			h.FirstStart = false
			h.Known = func() bool { return time.Since(began) > told }
		})
		for time.Since(began) < told+2*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		for _, m := range f.members {
			if missing, held, _ := f.tables[m.hub.Self.Name].lacks(); missing != 0 || held == 0 {
				t.Errorf("%s lacks rows %v after it was told of the others", m.hub.Self.Name, time.Since(began)-told)
			}
		}
		if calls := f.store.callsOf(); calls > size+20*Watchers {
			t.Errorf("%d calls of the store by %d nodes", calls, size)
		}
		f.end()
	})
}

// TestALossOfAllNodesKeepsNobodyWaiting: nodes that nobody tells of the others read the table
// themselves, however large it is.
func TestALossOfAllNodesKeepsNobodyWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(100, 2000, func(h *Hub) {
			h.FirstStart, h.Known = false, func() bool { return false }
		})
		time.Sleep(aloneWait + time.Second)
		for _, m := range f.members {
			if f.rows(m) != 2000 {
				t.Fatalf("%s has %d rows", m.hub.Self.Name, f.rows(m))
			}
		}
		f.end()
	})
}

// TestAPartIsCoveredWhenItIsAskedFor: a node that needs a row beyond its share has it within two
// messages, is told of its changes, and lets go of it when nobody uses it any more.
func TestAPartIsCoveredWhenItIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		used := ""
		var dropped []string
		f := startFleet(200, 4000, func(h *Hub) {
			h.Tables[0].InUse = func(key string) bool { mu.Lock(); defer mu.Unlock(); return key == used }
			h.Tables[0].Dropped = func(keys []string) { mu.Lock(); defer mu.Unlock(); dropped = append(dropped, keys...) }
		})
		f.settle(t)
		leaf := f.leaves()[0]
		i := 0
		for f.value(leaf, rowKey(i)) != "" {
			i++
		}
		key := rowKey(i)
		began := time.Now()
		if err := leaf.hub.Cover(context.Background(), "t", key); err != nil || f.value(leaf, key) != "1" {
			t.Fatalf("the row is %q, %v", f.value(leaf, key), err)
		}
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("the part came after %v", took)
		}
		f.store.put(key, "2")
		if took := f.inForce(t, []*member{leaf}, key, "2"); took > bound/2 {
			t.Errorf("a change came after %v", took)
		}
		mu.Lock()
		used = key
		dropped = nil // at the start, while the size of the table was not known
		mu.Unlock()
		time.Sleep(2 * extraTime)
		if f.value(leaf, key) != "2" {
			t.Error("the node let go of a row in use")
		}
		mu.Lock()
		used = ""
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		if f.value(leaf, key) != "" || !slices.Contains(dropped, key) {
			t.Errorf("the node keeps the row; told of %d dropped ones", len(dropped))
		}
		mu.Unlock()
		f.end()
	})
}
