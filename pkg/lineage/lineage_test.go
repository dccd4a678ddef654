package lineage

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/peer"
)

var (
	first  = Origin{Service: "s", Software: "v1"}
	second = Origin{Service: "s", Software: "v2"}
)

// network connects registers and counts their messages.
type network struct {
	mu        sync.Mutex
	registers map[string]*Register       // by address
	down      map[string]bool            // addresses that refuse
	silent    map[string]bool            // addresses that never answer
	told      map[string]int             // messages received, by address
	links     map[string]map[string]bool // addresses that a node told, by its own
	calls     int
}

func newNetwork() *network {
	return &network{registers: map[string]*Register{}, down: map[string]bool{}, silent: map[string]bool{}, told: map[string]int{},
		links: map[string]map[string]bool{}}
}

// transport is one node's access to the network.
type transport struct {
	*network
	address string
}

func (t transport) Send(address string, message peer.Message) {
	t.mu.Lock()
	to := t.registers[address]
	reached := to != nil && !t.down[address] && !t.silent[address]
	if t.links[t.address] == nil {
		t.links[t.address] = map[string]bool{}
	}
	t.links[t.address][address] = true
	if reached {
		t.told[address]++
	}
	t.mu.Unlock()
	if reached {
		to.Handle(context.Background(), message)
	}
}

func (t transport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	t.mu.Lock()
	to, down, silent := t.registers[address], t.down[address], t.silent[address]
	t.calls++
	t.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if to == nil || down {
		return nil, errors.New("refused")
	}
	reply, _ := to.Handle(ctx, message)
	return reply, nil
}

func (t transport) Close() error { return nil }

// nodesOf returns n nodes in three zones.
func nodesOf(n int) []Node {
	nodes := make([]Node, n)
	for i := range nodes {
		nodes[i] = Node{Name: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Address: fmt.Sprintf("address-%d", i)}
	}
	return nodes
}

// join adds the registers of nodes that all list the same nodes.
func (n *network) join(nodes []Node) []*Register {
	list := make([]*Register, len(nodes))
	for i, node := range nodes {
		list[i] = n.add(node, func() []Node { return nodes })
	}
	return list
}

func (n *network) add(node Node, nodes func() []Node) *Register {
	r := &Register{Self: node.Name, Nodes: nodes, Holder: func() string { return "" }, Transport: transport{n, node.Address}, Logger: hclog.NewNullLogger()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.registers[node.Address] = r
	return r
}

// takeDown makes an address refuse.
func (n *network) takeDown(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = true
}

func TestOriginIsLostWithItsNode(t *testing.T) {
	for _, size := range []int{2, 3, 9, 80, 330} {
		n := newNetwork()
		registers := n.join(nodesOf(size))
		registers[0].Began(1, first, time.Minute)
		n.down["address-0"] = true
		for i, r := range registers[1:] {
			if f := r.Find(t.Context(), 1); !f.Known || f.Origin != first {
				t.Fatalf("of %d nodes, number %d found %+v", size, i+1, f)
			}
		}
	}
}

func TestOriginIsLostWithTwoOfItsKeepers(t *testing.T) {
	n := newNetwork()
	registers := n.join(nodesOf(9))
	registers[0].Began(1, first, time.Minute)
	n.down["address-0"] = true
	lost := 0
	for address := range n.told {
		if lost++; lost < copies {
			n.down[address] = true
		}
	}
	for i, r := range registers {
		if !n.down[nodesOf(9)[i].Address] && !r.Find(t.Context(), 1).Known {
			t.Errorf("node %d does not find it", i)
		}
	}
}

func TestSilentKeepersDelayAKnownOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := nodesOf(9)
		registers := n.join(nodes)
		registers[0].Began(1, first, time.Minute)
		knows := 0
		for i := range nodes {
			if knows == 0 && n.told[nodes[i].Address] > 0 {
				knows = i
			} else if i != 8 {
				n.silent[nodes[i].Address] = true
			}
		}
		began := time.Now()
		if f := registers[8].Find(t.Context(), 1); !f.Known || time.Since(began) > 0 {
			t.Errorf("found %+v after %v", f, time.Since(began))
		}
		if f := registers[8].Find(t.Context(), 2); f.Known || time.Since(began) != askTime {
			t.Errorf("found %+v after %v, want nothing after %v", f, time.Since(began), askTime)
		}
	})
}

func TestOriginIsUnknownAfterListsOfNodesDiffer(t *testing.T) {
	for name, change := range map[string]func([]Node) []Node{
		"ten nodes join":         func(nodes []Node) []Node { return nodesOf(len(nodes) + 10) },
		"half leave":             func(nodes []Node) []Node { return slices.Clone(nodes[len(nodes)/2:]) },
		"a new holder lists few": func(nodes []Node) []Node { return slices.Clone(nodes[len(nodes)-2:]) },
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork()
			nodes := nodesOf(40)
			registers := n.join(nodes)
			asking := registers[39]
			asking.Find(t.Context(), 2) // has seen the list as it was
			registers[0].Began(1, first, time.Minute)
			later := change(nodes)
			asking.Nodes = func() []Node { return later }
			if f := asking.Find(t.Context(), 1); !f.Known {
				t.Errorf("found %+v", f)
			}
		})
	}
}

func TestRestartedKeepersForgetRunningStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		nodes := nodesOf(9)
		registers := n.join(nodes)
		ctx, cancel := context.WithCancel(t.Context())
		go registers[0].Run(ctx)
		registers[0].Began(1, first, time.Minute)
		registers[0].Began(2, second, time.Minute)
		registers[0].Complete(2)
		var asking *Register
		for _, node := range nodes[1:] {
			asking = n.add(node, func() []Node { return nodes })
		}
		time.Sleep(2*tellInterval + time.Millisecond)
		n.takeDown("address-0")
		if f := asking.Find(t.Context(), 1); !f.Known || f.Origin != first {
			t.Errorf("found %+v", f)
		}
		if f := asking.Find(t.Context(), 2); f.Known {
			t.Errorf("a stream that was complete is told again: %+v", f)
		}
		cancel()
		synctest.Wait()
	})
}

func TestNodeWithoutAListOfNodesFindsNothing(t *testing.T) {
	n := newNetwork()
	nodes := nodesOf(9)
	registers := n.join(nodes)
	registers[0].Began(1, first, time.Minute)
	young := n.add(Node{Name: "young", Address: "young"}, func() []Node { return []Node{{Name: "young", Address: "young"}} })
	young.Holder = func() string { return "address-5" }
	if f := young.Find(t.Context(), 1); !f.Known || f.Origin != first {
		t.Errorf("found %+v", f)
	}
}

func TestConflictingOriginsAreGuessed(t *testing.T) {
	n := newNetwork()
	registers := n.join(nodesOf(2))
	registers[0].Began(1, first, time.Minute)
	registers[1].Began(1, second, time.Minute)
	for _, r := range registers {
		if f := r.Find(t.Context(), 1); f.Known || !f.Conflicting {
			t.Errorf("found %+v", f)
		}
	}
}

func TestOriginOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registers := newNetwork().join(nodesOf(3))
		registers[0].Began(1, first, time.Second)
		registers[0].Began(2, first, 20*time.Hour)
		time.Sleep(time.Second)
		if f := registers[1].Find(t.Context(), 1); f.Known {
			t.Errorf("found %+v", f)
		}
		time.Sleep(MaxLifetime)
		if f := registers[1].Find(t.Context(), 2); f.Known {
			t.Errorf("found %+v", f)
		}
	})
}

func TestTableGrowsWithoutBound(t *testing.T) {
	s := &table{max: 100}
	now := time.Unix(1000, 0)
	for i := range 1000 {
		s.put(now, Key(i), first, time.Minute)
	}
	if size, evicted := s.size(); size != 100 || evicted != 900 || s.find(now, 999).Origin != first || s.find(now, 0).Known {
		t.Errorf("%d streams, %d removed early", size, evicted)
	}
	for i := range 1000 { // all before have expired
		s.put(now.Add(time.Duration(2*i+1)*time.Minute), Key(5000+i), first, time.Minute)
	}
	if size, evicted := s.size(); size > 10 || evicted != 900 || len(s.queue) != size {
		t.Errorf("%d streams, %d removed early, %d in the queue", size, evicted, len(s.queue))
	}
}

func TestAnAttemptOfAnotherTenantCounts(t *testing.T) {
	if KeyOf("a", "id") == KeyOf("b", "id") || KeyOf("", "id") == KeyOf("a", "id") {
		t.Error("the same key for two tenants")
	}
}

// load is what telling and asking costs the nodes of a site of some size.
type load struct{ links, told, keepers, asked int }

// measure has each node begin as many streams, and one node look for a stream.
func measure(t *testing.T, size int) load {
	const streams = 20
	n := newNetwork()
	registers := n.join(nodesOf(size))
	for i, r := range registers {
		for s := range streams {
			r.Began(Key(i*streams+s), first, time.Minute)
		}
	}
	var l load
	for _, links := range n.links {
		l.links = max(l.links, len(links))
	}
	for _, told := range n.told {
		l.told = max(l.told, told/streams)
	}
	l.keepers = len(n.told)
	registers[0].Find(t.Context(), 1<<40)
	l.asked = n.calls
	return l
}

func TestLoadOfNodesAndKeepersGrowsWithTheSite(t *testing.T) {
	for _, size := range []int{110, 330, 990} {
		l := measure(t, size)
		t.Logf("%d nodes: %+v", size, l)
		keepers := max(minKeepers, size/nodesPerKeeper+1)
		if l.links > copies || l.told > 2*copies*nodesPerKeeper || l.asked > keepers || l.keepers > keepers {
			t.Errorf("%d nodes: %+v", size, l)
		}
	}
}
