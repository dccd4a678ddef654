package lineage

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/peer"
)

// Times of asking other nodes.
const (
	// askTime is how long the answers of keepers are awaited. A caller waits for them, but only if none knows
	// the stream.
	askTime = 300 * time.Millisecond
	// formerTime is how long nodes that left the list are still asked: lists of nodes differ for a while when
	// nodes join and leave, and a new holder of the lease may list few at first.
	formerTime = 5 * time.Second
)

// Register is a node's part in keeping the origins of streams. Set the exported fields before the first call.
// It is safe for concurrent use.
type Register struct {
	Self      string        // name of this node
	Nodes     func() []Node // nodes of the site, this one among them; the same slice while unchanged
	Holder    func() string // address of a node that knows all nodes; empty: none, or this one
	Transport peer.Transport
	Time      clock.Clock
	Logger    hclog.Logger
	// Store keeps origins beyond the life of all nodes; nil: nothing does.
	Store Store
	// Alone returns for how long one software version has served a service alone; zero if several serve it. It
	// may be nil: nothing is stored.
	Alone func(service string) time.Duration

	streams table
	opening sync.Once
	archive *archive // opened by openArchive

	mu      sync.Mutex
	pending map[Key]pendingStream // streams that this node told of and that may still be taken up
	view    view
	full    time.Time // when the last stream was evicted; zero: none was
}

// view is the list of nodes, and what follows from it.
type view struct {
	nodes   []Node       // as listed
	former  []formerNode // nodes that left the list recently
	tell    []Node       // keepers of this node's streams
	keeper  bool         // this node is a keeper
	ask     []Node       // keepers of all nodes' streams
	expires time.Time    // when the first of former is to be forgotten; zero: none
}

// formerNode is a node that left the list.
type formerNode struct {
	Node
	until time.Time
}

// put stores a stream and logs, at intervals, that older ones had to make room.
func (r *Register) put(now time.Time, key Key, o Origin, left time.Duration) {
	if !r.streams.put(now, key, o, left) {
		return
	}
	r.mu.Lock()
	first := now.Sub(r.full) > fullLogInterval
	if first {
		r.full = now
	}
	r.mu.Unlock()
	if first {
		streams, evicted := r.streams.size()
		r.Logger.Warn("too many streams to know where all began", "streams", streams, "evicted", evicted)
	}
}

// fullLogInterval is the time between two log lines about a full table.
const fullLogInterval = 10 * time.Second

// Find looks for the origin of a stream, here first and then at the keepers of all nodes.
func (r *Register) Find(ctx context.Context, key Key) Found {
	if f := r.findHere(key); f.Known || f.Conflicting {
		return f
	}
	now := r.Time.Now()
	r.mu.Lock()
	nodes := r.currentView(now).ask
	r.mu.Unlock()
	message := Find{Key: key}
	if len(nodes) == 0 && r.Holder() != "" {
		nodes, message.Ask = []Node{{Name: holderName, Address: r.Holder()}}, true
	}
	return r.ask(ctx, nodes, message, askTime)
}

// holderName stands for the holder of the lease in Found.From, while this node does not know any names.
const holderName = "holder of the lease"

// findHere returns what this node knows of a stream.
func (r *Register) findHere(key Key) Found {
	f := r.streams.find(r.Time.Now(), key)
	f.From = r.Self
	return f
}

// ask asks nodes for a stream and returns the first answer of one that knows it.
func (r *Register) ask(ctx context.Context, nodes []Node, message Find, limit time.Duration) Found {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answers := make(chan Found, len(nodes))
	for _, n := range nodes {
		go func() { answers <- r.askOne(ctx, n, message) }()
	}
	result := Found{Asked: len(nodes)}
	for range nodes {
		f := <-answers
		if f.Answered > 0 {
			result.Answered++
		}
		if f.Known || f.Conflicting {
			f.Asked, f.Answered = result.Asked, result.Answered
			return f
		}
	}
	return result
}

// askOne asks one node. Answered is zero if it did not answer.
func (r *Register) askOne(ctx context.Context, n Node, message Find) Found {
	reply, err := r.Transport.Call(ctx, n.Address, message)
	answer, ok := reply.(FindAnswer)
	if err != nil || !ok {
		return Found{}
	}
	return Found{Origin: answer.Origin, Known: answer.Known, Conflicting: answer.Conflicting, Age: answer.Age, From: n.Name, Answered: 1}
}

// Collect returns gauges of the streams that this node knows, and of those that it forgot before their time.
func (r *Register) Collect() []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "martenwheel", Name: "lineage_streams", Help: "Streams of which this node knows where they began.",
		}, func() float64 {
			streams, _ := r.streams.size()
			return float64(streams)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "lineage_evicted_total", Help: "Streams forgotten before their time, for lack of space.",
		}, func() float64 {
			_, evicted := r.streams.size()
			return float64(evicted)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "lineage_stored_total", Help: "Streams whose origins this node wrote to the store.",
		}, func() float64 {
			stored, _ := r.openArchive().counts()
			return float64(stored)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "lineage_not_stored_total", Help: "Streams whose origins were not written to the store, for lack of space.",
		}, func() float64 {
			_, dropped := r.openArchive().counts()
			return float64(dropped)
		}),
	}
}

// Handle processes a message of another node. It returns false for messages of other packages.
func (r *Register) Handle(ctx context.Context, message peer.Message) (peer.Message, bool) {
	switch m := message.(type) {
	case Began:
		now := r.Time.Now()
		for _, g := range m.Groups {
			for _, s := range g.Streams {
				r.put(now, s.Key, g.Origin, s.Left)
			}
		}
		r.store(m.Groups)
		return nil, true
	case Find:
		f := r.answerFind(ctx, m)
		return FindAnswer{Origin: f.Origin, Known: f.Known, Conflicting: f.Conflicting, Age: f.Age}, true
	}
	return nil, false
}

// currentView returns the view for the nodes listed now. The caller holds mu.
func (r *Register) currentView(now time.Time) *view {
	nodes := r.Nodes()
	v := &r.view
	if !sameSlice(nodes, v.nodes) {
		r.noteFormer(now, nodes)
		v.nodes = nodes
		r.updateKeepers(now)
	} else if !v.expires.IsZero() && !now.Before(v.expires) {
		r.updateKeepers(now)
	}
	return v
}

func sameSlice(a, b []Node) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// noteFormer records the nodes that left the list, and forgets those that are listed again. The caller holds mu.
func (r *Register) noteFormer(now time.Time, nodes []Node) {
	listed := make(map[string]bool, len(nodes))
	for i := range nodes {
		listed[nodes[i].Name] = true
	}
	var former []formerNode
	for _, f := range r.view.former {
		if !listed[f.Name] {
			former = append(former, f)
		}
	}
	for _, n := range r.view.nodes {
		if !listed[n.Name] {
			former = append(former, formerNode{n, now.Add(formerTime)})
		}
	}
	r.view.former = former
}

// updateKeepers determines the keepers of the nodes listed now. Those of the nodes listed before are asked,
// too. The caller holds mu.
func (r *Register) updateKeepers(now time.Time) {
	v := &r.view
	var staying, all []Node
	for _, n := range v.nodes {
		all = append(all, n)
		if !n.Stopping {
			staying = append(staying, n)
		}
	}
	v.expires = time.Time{}
	kept := v.former[:0]
	for _, f := range v.former {
		if !now.Before(f.until) {
			continue
		}
		kept = append(kept, f)
		all = append(all, f.Node)
		if v.expires.IsZero() || f.until.Before(v.expires) {
			v.expires = f.until
		}
	}
	v.former = kept
	present := keepersAmong(staying)
	v.tell, v.ask = keepersOf(r.Self, present), nil
	v.keeper = slices.ContainsFunc(present, func(n Node) bool { return n.Name == r.Self })
	asked := map[string]bool{r.Self: true}
	for _, n := range append(present, keepersAmong(all)...) {
		if !asked[n.Name] {
			asked[n.Name] = true
			v.ask = append(v.ask, n)
		}
	}
}
