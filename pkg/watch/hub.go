package watch

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
)

// Node is a node of the site as the hub needs it.
type Node struct {
	Name  string
	Zone  string
	Peers string // IP:port for other nodes
	Power float64
	// Follows tells that the node follows others; nodes of earlier builds are told without asking.
	Follows bool
	Leaving bool // it stops soon
}

// News tells that there are no changes of a table between two versions but
// those that come with it.
type News struct {
	Table   string
	After   revision.Revision
	Version revision.Revision
	Records []byte // packed; empty: none
	Age     time.Duration
	AsOf    time.Duration // by the store's clock, see Page
	Dated   bool
	Watcher string // address to ask when something is missing
	Parts   Parts  // that it is about; zero: the whole table
	Rows    int    // of the whole table; zero: not told
}

// Pull asks a node for parts of a table.
type Pull struct {
	Table string
	Parts Parts             // zero: the whole table in one answer, as earlier builds ask
	After revision.Revision // what changed after this version will do; zero: it won't
}

// PullAnswer is some of the parts that were asked for. Known is false if the node has none.
type PullAnswer struct {
	Known   bool
	Version revision.Revision
	Records []byte // packed; the whole table, for earlier builds and of them
	Age     time.Duration
	AsOf    time.Duration // by the store's clock, see Page
	Dated   bool
	Parts   Parts    // zero: the whole table
	Packs   [][]byte // packed records
	Changes bool     // it is what changed in all parts since the version that was asked
	Rows    int      // of the whole table; zero: not told
}

// page returns what an answer carries.
func (a *PullAnswer) page() (Page, error) {
	p := Page{Version: a.Version, AsOf: a.AsOf, Dated: a.Dated, Parts: a.Parts}
	for _, packed := range append([][]byte{a.Records}, a.Packs...) {
		records, err := unpack(packed)
		if err != nil {
			return Page{}, err
		}
		p.Records = append(p.Records, records...)
	}
	return p, nil
}

func init() { peer.Register(News{}, Pull{}, PullAnswer{}) }

// Sizes and times of a hub.
const (
	// SmallSite is the number of nodes up to which all watch the store.
	SmallSite = 12
	// Watchers is the number of watching nodes of a larger site.
	Watchers = 4
	// Readers is how many of them ask the store; the others do if these don't confirm the
	// rows, and pass on what they are told.
	Readers = 2

	pulseInterval = 400 * time.Millisecond
	pullTimeout   = 700 * time.Millisecond
	// firstWait is how long the nodes of a site that starts wait for its watchers, and a node that
	// starts beside others, once it knows them, for these: until there is a holder, all have beaten to
	// it, and a few watchers have sent the tables to some two hundred nodes. Callers come ten seconds
	// after the start.
	firstWait = 5 * time.Second
	// aloneWait is how long a node that starts alone leaves a large table to others before it knows
	// them: beside a holder it does within half a second. After a loss of all there is none for some
	// three seconds, and callers wait.
	aloneWait   = 1500 * time.Millisecond
	changesKept = 64
)

// Hub has the tables of a node. Set the fields before Run.
type Hub struct {
	Self      Node
	Nodes     func() []Node // of the site; only Self while none are known
	Known     func() bool   // whether Nodes is what the site's holder told
	Transport peer.Transport
	Tables    []*Table
	// FirstStart tells that the whole site starts for the first time: nodes leave the
	// store to the watchers until those have had time to tell what they read.
	FirstStart bool
	Whole      func() bool // whether this node needs all rows of all tables; nil: it does not
	Logger     hclog.Logger

	started   time.Time
	followNow chan struct{}

	mu        sync.Mutex
	top       *topology
	main      string             // address of the node that is followed
	parents   map[string]*parent // by address
	shares    map[string]Parts   // that this node keeps, by table
	extra     map[extraPart]time.Time
	followers map[string]follower // by address
}

// errUnknown means that a message names a table that is not followed.
var errUnknown = errors.New("watch: unknown table or message")

// Run follows all tables until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	h.started = clock.Now()
	h.init()
	done := make(chan struct{})
	var shared breaker
	for _, t := range h.Tables {
		t.breaker = &shared
		t.fleet = func() int { return len(h.Nodes()) }
		t.alone = func() bool { return !h.Known() }
		t.changed, t.confirms = make(chan news, changesKept), make(chan struct{}, 1)
		go func() {
			t.run(ctx, func() bool { return h.direct(t) }, func() bool { return h.Known() && h.Watching() })
			done <- struct{}{}
		}()
		go h.passOn(ctx, t)
	}
	go h.follow(ctx)
	for range h.Tables {
		<-done
	}
}

func (h *Hub) init() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.followNow == nil {
		h.followNow = make(chan struct{}, 1)
		h.parents, h.followers = make(map[string]*parent), make(map[string]follower)
		h.shares, h.extra = make(map[string]Parts), make(map[extraPart]time.Time)
	}
}

// Watching tells whether this node is one of the site's watchers.
func (h *Hub) Watching() bool {
	top := h.topology()
	if !h.Known() || len(top.nodes) <= SmallSite {
		return true
	}
	return slices.Contains(top.watchers, h.Self.Name)
}

// standby tells whether this node watches and leaves the store to other watchers.
func (h *Hub) standby() bool {
	top := h.topology()
	return len(top.nodes) > SmallSite && slices.Index(top.watchers, h.Self.Name) >= Readers
}

// direct tells whether the table is to be read from the store by this node. One that has
// just read it and does not know the other nodes yet leaves it to them to tell what
// changes.
func (h *Hub) direct(t *Table) bool {
	if h.Known() && h.Watching() {
		return !h.standby() || t.unconfirmed()
	}
	switch age := clock.Since(h.started); {
	case age < firstWait && (h.FirstStart || t.Parted && h.Known()):
		return false
	case age < aloneWait && t.isLarge():
		return false
	}
	return t.stale()
}

// Rank orders nodes so that all see the same ones as first: the strongest, in
// different zones as far as there are.
func Rank(nodes []Node) []string {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(weight(a.Name), weight(b.Name)))
	})
	var first, rest []string
	zones := make(map[string]bool)
	for _, n := range ordered {
		if zones[n.Zone] {
			rest = append(rest, n.Name)
			continue
		}
		zones[n.Zone] = true
		first = append(first, n.Name)
	}
	return append(first, rest...)
}

func weight(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // never fails
	return sum.Sum32()
}

// watchers returns the names of the watching nodes.
func watchers(nodes []Node) []string {
	ranked := Rank(nodes)
	return ranked[:min(Watchers, len(ranked))]
}

// passOn tells the other nodes of what changes, and now and then that nothing
// does: a node that follows others as soon as they tell it.
func (h *Hub) passOn(ctx context.Context, t *Table) {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	var pulsed time.Time
	for {
		var n news
		select {
		case <-ctx.Done():
			return
		case n = <-t.changed:
		case <-t.confirms:
			if clock.Since(pulsed) < pulseInterval/2 {
				continue // two nodes are followed
			}
			pulsed = clock.Now()
			h.tellFollowers(t, t.state())
			continue
		case <-ticker.C:
			if clock.Since(pulsed) < pulseInterval || h.standby() && !t.unconfirmed() {
				continue // or the readers tell it
			}
			n = t.state()
		}
		h.tellFollowers(t, n)
		if n.page.Version == 0 || t.stale() {
			continue
		}
		if top := h.topology(); len(top.nodes) > SmallSite && h.Watching() {
			h.tell(top, t, n)
		}
	}
}

// tell sends news to the nodes that neither ask the store nor follow others. Each gets the records
// from one watcher only: the links of small machines would not carry them from all. The watchers
// on standby get them from a reader.
func (h *Hub) tell(top *topology, t *Table, n news) {
	watching := top.watchers
	bare := h.newsFor(t, n, AllParts)
	full := bare
	if len(n.page.Records) > 0 {
		packed, err := pack(n.page.Records)
		if err != nil {
			h.Logger.Error("changes not packed", "table", t.Name, "error", err)
			return
		}
		full.Records = packed
		bare.After = n.page.Version // what comes from another watcher is missing until then
	}
	for _, other := range top.nodes {
		place := slices.Index(watching, other.Name)
		switch {
		case place < 0 && other.Follows:
		case place >= 0 && (place < Readers || h.standby()):
		case place >= 0 && watching[place%Readers] != h.Self.Name:
			h.Transport.Send(other.Peers, bare)
		case place >= 0:
			h.Transport.Send(other.Peers, full)
		case watching[int(weight(other.Name))%len(watching)] == h.Self.Name:
			h.Transport.Send(other.Peers, full)
		default:
			h.Transport.Send(other.Peers, bare)
		}
	}
}

// pullAnswer returns the whole table, packed once for each version: at a start of the site some 75
// nodes ask each watcher for the same one. For 3,000 servers that took 10 ms each time, and takes
// 0.3 microseconds again (BenchmarkPullOfALargeTable).
func (t *Table) pullAnswer() (PullAnswer, error) {
	t.packing.Lock()
	defer t.packing.Unlock()
	answer := t.summary()
	if !answer.Known {
		return answer, nil
	}
	if t.packed == nil || t.packedVersion != answer.Version {
		page, _ := t.whole()
		packed, err := pack(page.Records)
		if err != nil {
			return PullAnswer{}, err
		}
		t.packed, t.packedVersion = packed, page.Version
		answer.Version, answer.AsOf, answer.Dated = page.Version, page.AsOf, page.Dated
	}
	answer.Records, answer.Age = t.packed, t.Age()
	return answer, nil
}

// summary returns the answer to a pull but for its records.
func (t *Table) summary() PullAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PullAnswer{Known: t.rows != nil && t.held == AllParts, Version: t.version, AsOf: t.asOf, Dated: t.dated}
}

func (h *Hub) table(name string) *Table {
	for _, t := range h.Tables {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Handle answers a message of another node. It tells whether it was one of the
// hub's.
func (h *Hub) Handle(ctx context.Context, message peer.Message) (peer.Message, bool, error) {
	switch m := message.(type) {
	case News:
		return nil, true, h.news(ctx, m)
	case Pull:
		t := h.table(m.Table)
		if t == nil {
			return nil, true, errUnknown
		}
		if m.Parts != 0 {
			answer, err := t.answer(m)
			return answer, true, err
		}
		answer, err := t.pullAnswer()
		return answer, true, err
	case Follow:
		h.init()
		h.followedBy(m)
		return nil, true, nil
	}
	return nil, false, nil
}

// news takes in what another node tells, and asks it for what is missing.
func (h *Hub) news(ctx context.Context, n News) error {
	t := h.table(n.Table)
	if t == nil {
		return errUnknown
	}
	h.heardFrom(n.Watcher)
	records, err := unpack(n.Records)
	if err != nil {
		return err
	}
	if n.Rows > 0 {
		t.setTotal(n.Rows)
	}
	if t.Change(n.After, Page{Records: records, Version: n.Version, AsOf: n.AsOf, Dated: n.Dated, Parts: n.Parts}, n.Age) {
		t.confirmed()
		return nil
	}
	missing, held, version := t.lacks()
	if !told(n.Parts).covers(held) || !t.gap() {
		return nil
	}
	if held == 0 {
		held, version = missing, 0
	}
	go h.fill(context.WithoutCancel(ctx), t, n.Watcher, held, version) // messages that come meanwhile are not to wait
	return nil
}

// confirmed has the followers told that the rows are confirmed.
func (t *Table) confirmed() {
	select {
	case t.confirms <- struct{}{}:
	default: // also before Run
	}
}
