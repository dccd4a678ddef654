package membership

import (
	"bytes"
	"container/heap"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

const tickInterval = 100 * time.Millisecond

// networkConfig describes a simulated network of machines in virtual time.
type networkConfig struct {
	seed       uint64
	nodes      int
	regions    int
	zones      int // in total; the zones belong to the regions in turn
	loss       float64
	duplicates float64
	jitter     time.Duration // maximum random delay of a packet, which reorders packets
	countBytes bool
}

// testNode is one incarnation of a simulated node.
type testNode struct {
	ref                     api.NodeRef
	machine                 *Machine
	frozenUntil             time.Time
	queued                  []delivery    // packets that arrived while the node was frozen
	ignoresUpdatesAboutSelf bool          // updates about the node are removed from messages to it
	maxStepDelay            time.Duration // maximum random delay of a step; such a node receives messages only in every third step
	steps                   int
	bytes                   int // sent, in gob encoding without type descriptors
	messages                int
	encoder                 *gob.Encoder
	encoded                 bytes.Buffer
}

// delivery is a packet in transit.
type delivery struct {
	at      time.Time
	order   int
	from    api.NodeRef
	address string
	message any
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// network is a set of machines and the packets in transit between them.
type network struct {
	t         *testing.T
	config    networkConfig
	random    *rand.Rand
	now       time.Time
	nodes     []*testNode
	byAddress map[string]*testNode
	inFlight  deliveries
	sent      int
	cut       func(from, to api.NodeRef) bool // whether to drop packets between two nodes; nil: none
	drop      func(message any) bool          // whether to drop a packet by its content; nil: none
	onStep    func(node *testNode)            // called after each step of a node
}

func newNetwork(t *testing.T, config networkConfig) *network {
	t.Helper()
	n := &network{
		t:         t,
		config:    config,
		random:    rand.New(rand.NewPCG(config.seed, 1)),
		now:       time.Unix(1_700_000_000, 0),
		byAddress: make(map[string]*testNode),
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("network seed %d", config.seed)
		}
	})
	for index := range config.nodes {
		n.start(index, 1)
	}
	return n
}

func address(index int) string {
	return fmt.Sprintf("10.0.%d.%d:7000", index/250, index%250)
}

// start starts an incarnation of the node with an index. It replaces an earlier one.
func (n *network) start(index int, incarnation uint64) *testNode {
	zone := index % n.config.zones
	ref := api.NodeRef{
		ID:          nodeName(index),
		Incarnation: incarnation,
		PeerAddress: address(index),
		Zone:        fmt.Sprintf("zone-%d", zone),
		Region:      fmt.Sprintf("region-%d", zone%n.config.regions),
	}
	seeds := []string{address(0), address(1), address(2)}
	node := &testNode{
		ref:     ref,
		machine: New(Config{Self: ref, Seeds: seeds, Seed: n.config.seed + uint64(index)}),
	}
	node.encoder = gob.NewEncoder(&node.encoded)
	n.nodes = slices.DeleteFunc(n.nodes, func(old *testNode) bool { return old.ref.ID == ref.ID })
	n.nodes = append(n.nodes, node)
	n.byAddress[ref.PeerAddress] = node
	return node
}

func (n *network) node(id api.NodeID) *testNode {
	for _, node := range n.nodes {
		if node.ref.ID == id {
			return node
		}
	}
	n.t.Fatalf("no node %s", id)
	return nil
}

// kill removes a node at once.
func (n *network) kill(id api.NodeID) {
	node := n.node(id)
	delete(n.byAddress, node.ref.PeerAddress)
	n.nodes = slices.DeleteFunc(n.nodes, func(other *testNode) bool { return other == node })
}

// freeze stops a node for some time; packets to it are queued.
func (n *network) freeze(id api.NodeID, duration time.Duration) {
	n.node(id).frozenUntil = n.now.Add(duration)
}

// run advances the virtual time.
func (n *network) run(duration time.Duration) {
	end := n.now.Add(duration)
	for n.now.Before(end) {
		next := n.now.Add(tickInterval)
		n.deliverUntil(next)
		n.now = next
		for _, node := range slices.Clone(n.nodes) {
			n.tick(node)
		}
	}
}

func (n *network) tick(node *testNode) {
	if n.now.Before(node.frozenUntil) {
		return
	}
	node.steps++
	if node.maxStepDelay == 0 || node.steps%3 == 0 {
		n.receiveQueued(node)
	}
	n.send(node, node.machine.Tick(n.now))
	n.observe(node)
	if node.maxStepDelay > 0 {
		node.frozenUntil = n.now.Add(time.Duration(n.random.Int64N(int64(node.maxStepDelay))))
	}
}

// receiveQueued makes a node receive the packets that arrived while it was frozen.
func (n *network) receiveQueued(node *testNode) {
	held := node.queued
	node.queued = nil
	for _, arrived := range held {
		n.receive(node, arrived)
	}
}

func (n *network) deliverUntil(end time.Time) {
	for len(n.inFlight) > 0 && !n.inFlight[0].at.After(end) {
		arrived := heap.Pop(&n.inFlight).(delivery)
		n.now = arrived.at
		node := n.byAddress[arrived.address]
		switch {
		case node == nil:
		case node.maxStepDelay > 0 || arrived.at.Before(node.frozenUntil):
			node.queued = append(node.queued, arrived)
		default:
			n.receive(node, arrived)
		}
	}
}

func (n *network) receive(node *testNode, arrived delivery) {
	message := arrived.message
	if node.ignoresUpdatesAboutSelf {
		message = withoutUpdatesAbout(node.ref.ID, message)
	}
	n.send(node, node.machine.Receive(n.now, arrived.from, message))
	n.observe(node)
}

// withoutUpdatesAbout returns a message without its updates about a node.
func withoutUpdatesAbout(id api.NodeID, message any) any {
	keep := func(updates []Update) []Update {
		return slices.DeleteFunc(slices.Clone(updates), func(u Update) bool { return u.Ref.ID == id })
	}
	switch m := message.(type) {
	case Probe:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case Ack:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case Gossip:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case ProbeRequest:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case RelayedAck:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case SyncRequest:
		m.Header.Updates = keep(m.Header.Updates)
		return m
	case SyncPage:
		m.Header.Updates, m.Members = keep(m.Header.Updates), keep(m.Members)
		return m
	default:
		return message
	}
}

func (n *network) observe(node *testNode) {
	if n.onStep != nil {
		n.onStep(node)
	}
}

func (n *network) send(node *testNode, packets []Packet) {
	for _, packet := range packets {
		n.count(node, packet)
		copies := 1
		if n.random.Float64() < n.config.duplicates {
			copies = 2
		}
		for range copies {
			n.launch(node.ref, packet)
		}
	}
}

func (n *network) count(node *testNode, packet Packet) {
	if _, valid := headerOf(packet.Message); !valid {
		n.t.Errorf("%s sends a %T that exceeds the limits", node.ref.ID, packet.Message)
	}
	node.messages++
	if !n.config.countBytes {
		return
	}
	node.encoded.Reset()
	if err := node.encoder.Encode(packet.Message); err != nil {
		n.t.Fatal(err)
	}
	node.bytes += node.encoded.Len()
}

func (n *network) launch(from api.NodeRef, packet Packet) {
	to := packet.To
	receiver := n.byAddress[to.PeerAddress]
	if receiver == nil || n.random.Float64() < n.config.loss {
		return
	}
	if n.cut != nil && n.cut(from, receiver.ref) || n.drop != nil && n.drop(packet.Message) {
		return
	}
	n.sent++
	heap.Push(&n.inFlight, delivery{
		at:      n.now.Add(n.delay(from, receiver.ref)),
		order:   n.sent,
		from:    from,
		address: to.PeerAddress,
		message: packet.Message,
	})
}

func (n *network) delay(from, to api.NodeRef) time.Duration {
	delay := 1500 * time.Microsecond
	if from.Region != to.Region {
		delay = 60 * time.Millisecond
	}
	if n.config.jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(n.config.jitter)))
	}
	return delay
}

// requireAgreement fails the test unless each node sees exactly the running nodes as alive.
func (n *network) requireAgreement(want int) {
	n.t.Helper()
	if problem := n.disagreement(want); problem != "" {
		n.t.Fatal(problem)
	}
}

// disagreement returns how the nodes' views differ from the running nodes, or an empty text.
func (n *network) disagreement(want int) string {
	if len(n.nodes) != want {
		return fmt.Sprintf("%d nodes are running, want %d", len(n.nodes), want)
	}
	for _, node := range n.nodes {
		alive := 0
		for _, seen := range node.machine.Members() {
			running := n.byAddress[seen.Ref.PeerAddress]
			isRunning := running != nil && running.ref == seen.Ref
			if seen.State == StateAlive && !isRunning {
				return fmt.Sprintf("%s sees %s of incarnation %d as alive", node.ref.ID, seen.Ref.ID, seen.Ref.Incarnation)
			}
			if seen.State == StateAlive {
				alive++
			}
		}
		if alive != want {
			return fmt.Sprintf("%s sees %d nodes alive, want %d", node.ref.ID, alive, want)
		}
	}
	return ""
}
