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

// Node describes a node of the site.
type Node struct {
	Name  string
	Zone  string
	Peers string  // IP:port for other nodes
	Power float64 // relative strength of the machine
	// Follows reports whether the node subscribes to other nodes. Nodes of earlier builds don't, and get all
	// changes unasked.
	Follows bool
	Leaving bool // it stops soon
}

// News has all changes of a table between two versions. Without records it reports that nothing changed
// between them.
type News struct {
	Table   string
	After   revision.Revision // version before the changes
	Version revision.Revision // version after the changes
	Records []byte            // packed; empty: none
	Age     time.Duration     // time since the sender's rows were confirmed
	AsOf    time.Duration     // by the store's clock, see Page
	Dated   bool              // AsOf is known
	Watcher string            // address of the sender, which is asked for what is missing
	Parts   Parts             // that the message is about; zero: the whole table
	Rows    int               // of the whole table; zero: unknown
}

// Pull asks a node for parts of a table.
type Pull struct {
	Table string
	Parts Parts             // zero: the whole table in one answer, as earlier builds ask for it
	After revision.Revision // if not zero, the changes after this version suffice
}

// PullAnswer has some of the requested parts, or the changes in them. Known is false if the node does not
// hold the whole table.
type PullAnswer struct {
	Known   bool
	Version revision.Revision
	Records []byte // packed rows of the whole table, to and from earlier builds
	Age     time.Duration
	AsOf    time.Duration // by the store's clock, see Page
	Dated   bool
	Parts   Parts    // zero: the whole table
	Packs   [][]byte // packed records, one element per part that has any
	Changes bool     // the packs are the changes in all requested parts after Pull.After
	Rows    int      // of the whole table; zero: unknown
}

// page returns the records of an answer.
func (a *PullAnswer) page() (Page, error) {
	records, err := unpack(append([][]byte{a.Records}, a.Packs...)...)
	if err != nil {
		return Page{}, err
	}
	return Page{Records: records, Version: a.Version, AsOf: a.AsOf, Dated: a.Dated, Parts: a.Parts}, nil
}

func init() { peer.Register(News{}, Pull{}, PullAnswer{}) }

// Sizes and times of a hub.
const (
	// SmallSite is the number of nodes up to which all nodes watch the store.
	SmallSite = 12
	// Watchers is the number of watching nodes of a larger site.
	Watchers = 4
	// Readers is how many of the watchers ask the store. The others are on standby: they pass on what the
	// readers send them, and ask the store only if the readers don't confirm the rows.
	Readers = 2

	heartbeatInterval = 400 * time.Millisecond // between messages that confirm an unchanged table
	pullTimeout       = 700 * time.Millisecond // of one Pull to a node that is not heard from meanwhile
	maxPullTime       = 10 * time.Second       // of one Pull: so long answers for 240 nodes take on one of the slowest links
	// firstStartWait is how long the nodes of a site that starts wait for its watchers. A node that starts
	// beside others and knows them waits as long for them. In this time a holder appears, all nodes send it a
	// heartbeat, and a few watchers send the tables to some two hundred nodes. Callers come ten seconds after
	// the start.
	firstStartWait = 5 * time.Second
	// aloneWait is how long a starting node that knows no other nodes waits for them to send it a large
	// table. If there is a holder, it makes the nodes known within half a second. After a loss of all nodes
	// there is no holder for some three seconds, and callers wait.
	aloneWait         = 1500 * time.Millisecond
	updateQueueLength = 64 // of Table.updates
)

// Hub keeps the tables of a node up to date together with the other nodes. Set the exported fields before
// Run.
type Hub struct {
	Self      Node
	Nodes     func() []Node // of the site; only Self while no others are known
	Known     func() bool   // whether Nodes returns the list that the site's holder reported
	Transport peer.Transport
	Tables    []*Table
	// FirstStart reports whether the whole site starts for the first time. The other nodes then leave the
	// store to the watchers until those have had the time to send what they read.
	FirstStart bool
	NeedsWhole func() bool // whether this node needs all rows of all tables; nil: it does not
	Logger     hclog.Logger

	started   time.Time
	followNow chan struct{} // wakes the goroutine of follow
	breaker   breaker       // shared by all tables

	mu         sync.Mutex
	top        *topology               // topology of the last list of nodes
	mainParent string                  // address of the main node that is followed; empty: none
	parents    map[string]*parent      // by address
	keptParts  map[string]Parts        // parts that this node keeps in any case, by table
	extraParts map[extraPart]time.Time // time until which parts are kept due to Cover
	partPulls  map[extraPart]*partPull // requests in progress due to Cover
	followers  map[string]follower     // by address
}

// errUnknown means that a message has an unknown type or names an unknown table.
var errUnknown = errors.New("watch: unknown table or message")

// Run keeps all tables up to date until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	h.started = clock.Now()
	h.init()
	done := make(chan struct{})
	for _, t := range h.Tables {
		t.breaker = &h.breaker
		t.role = func() role { return h.roleIn(h.topology()) }
		t.updates, t.confirmations = make(chan update, updateQueueLength), make(chan struct{}, 1)
		go func() {
			t.run(ctx, func() bool { return h.readsStore(t) })
			done <- struct{}{}
		}()
		go h.sendUpdates(ctx, t)
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
		h.keptParts, h.extraParts = make(map[string]Parts), make(map[extraPart]time.Time)
		h.partPulls = make(map[extraPart]*partPull)
	}
}

// Watching reports whether this node is one of the site's watchers.
func (h *Hub) Watching() bool {
	top := h.topology()
	if !h.Known() || len(top.nodes) <= SmallSite {
		return true
	}
	return slices.Contains(top.watchers, h.Self.Name)
}

// onStandby reports whether this node is a watcher that leaves the store to the readers.
func (h *Hub) onStandby() bool {
	top := h.topology()
	return len(top.nodes) > SmallSite && slices.Index(top.watchers, h.Self.Name) >= Readers
}

// readsStore reports whether this node is to read the table from the store now. A node that has just read it
// and does not know the other nodes yet waits for them to send changes.
func (h *Hub) readsStore(t *Table) bool {
	if h.Known() && h.Watching() {
		return !h.onStandby() || t.unconfirmed()
	}
	switch age := clock.Since(h.started); {
	case age < firstStartWait && (h.FirstStart || t.Partitioned && h.Known()):
		return false
	case age < aloneWait && t.isLarge():
		return false
	}
	return t.stale()
}

// Rank orders nodes so that all nodes agree on the first ones: the strongest, in different zones as far as
// possible.
func Rank(nodes []Node) []string {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(nameHash(a.Name), nameHash(b.Name)))
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

// nameHash returns a hash of a name.
func nameHash(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // never fails
	return sum.Sum32()
}

// watchers returns the names of the watching nodes, the readers first.
func watchers(nodes []Node) []string {
	ranked := Rank(nodes)
	return ranked[:min(Watchers, len(ranked))]
}

// sendUpdates sends changes of a table to other nodes, and a heartbeat if nothing changes. A node that
// follows others sends its heartbeats when it gets theirs.
func (h *Hub) sendUpdates(ctx context.Context, t *Table) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var lastSent time.Time
	var lastVersion revision.Revision // of the last heartbeat after a confirmation
	for {
		var n update
		select {
		case <-ctx.Done():
			return
		case n = <-t.updates:
		case <-t.confirmations:
			n = t.emptyUpdate()
			if clock.Since(lastSent) < heartbeatInterval/2 && n.page.Version.Epoch() == lastVersion.Epoch() {
				continue // the heartbeats of both parents arrive here
			}
			lastSent, lastVersion = clock.Now(), n.page.Version
			if h.onStandby() {
				h.sendToFollowers(t, n) // the readers send it to the others
				continue
			}
		case <-ticker.C:
			if clock.Since(lastSent) < heartbeatInterval || h.onStandby() && !t.unconfirmed() {
				continue // a watcher on standby leaves it to the readers
			}
			n = t.emptyUpdate()
		}
		h.sendToFollowers(t, n)
		if n.page.Version == 0 || t.stale() {
			continue
		}
		if top := h.topology(); len(top.nodes) > SmallSite && h.Watching() {
			h.sendToNodes(top, t, n)
		}
	}
}

// sendToNodes sends an update to the nodes that neither ask the store nor follow others. Each gets the
// records from one watcher only, as the links of small machines could not carry them from all watchers. The
// watchers on standby get them from a reader.
func (h *Hub) sendToNodes(top *topology, t *Table, n update) {
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
		bare.After = n.page.Version // the records come from another watcher, and are missing until it sends them
	}
	for _, other := range top.nodes {
		place := slices.Index(watching, other.Name)
		switch {
		case place < 0 && other.Follows:
		case place >= 0 && (place < Readers || h.onStandby()):
		case place >= 0 && watching[place%Readers] != h.Self.Name:
			h.Transport.Send(other.Peers, bare)
		case place >= 0:
			h.Transport.Send(other.Peers, full)
		case watching[int(nameHash(other.Name))%len(watching)] == h.Self.Name:
			h.Transport.Send(other.Peers, full)
		default:
			h.Transport.Send(other.Peers, bare)
		}
	}
}

// wholeAnswer returns the whole table. It is packed once for each version: when the site starts, some 75
// nodes ask each watcher for the same one. For 3,000 servers packing takes 10 ms, and returning the packed
// rows again 0.3 microseconds.
func (t *Table) wholeAnswer() (PullAnswer, error) {
	t.packing.Lock()
	defer t.packing.Unlock()
	answer := t.answerHeader()
	if !answer.Known {
		return answer, nil
	}
	if t.packed == nil || t.packedVersion != answer.Version {
		page, _ := t.allRows()
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

// answerHeader returns the answer to a Pull without its records.
func (t *Table) answerHeader() PullAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PullAnswer{Known: t.rows != nil && t.held == AllParts, Version: t.version, AsOf: t.asOf, Dated: t.dated}
}

// table returns the table of a name, or nil.
func (h *Hub) table(name string) *Table {
	for _, t := range h.Tables {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Handle answers a message of another node. It returns false if the message is not one of the hub's.
func (h *Hub) Handle(ctx context.Context, message peer.Message) (peer.Message, bool, error) {
	switch m := message.(type) {
	case News:
		return nil, true, h.handleNews(ctx, m)
	case Pull:
		t := h.table(m.Table)
		if t == nil {
			return nil, true, errUnknown
		}
		if m.Parts != 0 {
			answer, err := t.partsAnswer(m)
			return answer, true, err
		}
		answer, err := t.wholeAnswer()
		return answer, true, err
	case Follow:
		h.init()
		h.addFollower(m)
		return nil, true, nil
	}
	return nil, false, nil
}

// handleNews takes in news of another node, and asks that node for missing changes.
func (h *Hub) handleNews(ctx context.Context, n News) error {
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
		t.setTotalRows(n.Rows)
	}
	if t.Change(n.After, Page{Records: records, Version: n.Version, AsOf: n.AsOf, Dated: n.Dated, Parts: n.Parts}, n.Age) {
		t.notifyConfirmed()
		return nil
	}
	missing, held, version := t.partStatus()
	isNewEpoch := n.Version.Epoch() > version.Epoch() // then the missing changes are not sent by themselves
	if !partsOrAll(n.Parts).covers(held) || !t.gapOverdue() && !isNewEpoch {
		return nil
	}
	if held == 0 {
		held, version = missing, 0
	}
	go h.fetchParts(context.WithoutCancel(ctx), t, n.Watcher, held, version) // must not delay the next messages
	return nil
}

// notifyConfirmed makes sendUpdates tell the followers that the rows were confirmed.
func (t *Table) notifyConfirmed() {
	select {
	case t.confirmations <- struct{}{}:
	default: // also before Run, when the channel is nil
	}
}
