package watch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/revision"
)

// Follow asks a node to pass on what changes in some tables for followTime. It is told again before
// that is over.
type Follow struct {
	Follower string           // IP:port for other nodes
	Tables   map[string]Parts // that the follower holds or wants
	Bare     bool             // without records: another node sends them
}

// Times of following.
const (
	followLook     = 200 * time.Millisecond
	followInterval = time.Second
	followTime     = 3 * followInterval
	// parentSilence is after how long without a word another node is followed: three pulses.
	parentSilence = 3 * pulseInterval
	// silentRest is how long a silent node is not followed again.
	silentRest = 10 * time.Second
)

// parent is a node that this one follows, or did.
type parent struct {
	since  time.Time // when it was first followed, without a break
	heard  time.Time
	silent time.Time // until when it is not followed, as it was silent
}

// following is whom a node follows, and what it told them. It belongs to the goroutine of Hub.follow.
type following struct {
	main, second string // addresses; empty: none
	tables       map[string]Parts
	toldAt       time.Time
	lookedAt     time.Time
}

// follow follows other nodes until ctx ends.
func (h *Hub) follow(ctx context.Context) {
	ticker := time.NewTicker(followLook)
	defer ticker.Stop()
	var f following
	for {
		h.followStep(ctx, &f)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-h.followNow:
		}
	}
}

// followStep looks at whom to follow and what to hold, and tells it if that changed or is due.
func (h *Hub) followStep(ctx context.Context, f *following) {
	now := clock.Now()
	if now.Sub(f.lookedAt) > parentSilence/2 {
		h.forgive(now)
	}
	f.lookedAt = now
	top := h.topology()
	if !h.Known() || len(top.nodes) <= SmallSite || h.Watching() {
		h.followNobody(f)
		return
	}
	main, second := h.chooseParents(top, now)
	relay := top.relay(h.Self)
	tables := h.wanted(relay)
	if main != f.main {
		h.Logger.Info("follows", "main", main, "second", second, "before", f.main, "relay", relay)
	}
	if main != f.main || second != f.second || !maps.Equal(tables, f.tables) || now.Sub(f.toldAt) >= followInterval {
		h.sendFollow(main, Follow{Follower: h.Self.Peers, Tables: tables})
		h.sendFollow(second, Follow{Follower: h.Self.Peers, Tables: tables, Bare: true})
		f.main, f.second, f.tables, f.toldAt = main, second, tables, now
	}
	h.setMain(main)
	h.fillAll(ctx, main)
}

// followNobody is the step of a node that watches, or knows no others yet: it holds all.
func (h *Hub) followNobody(f *following) {
	for _, t := range h.Tables {
		t.want(AllParts)
	}
	*f = following{lookedAt: f.lookedAt}
	h.setMain("")
}

// sendFollow tells a node that this one follows it; an empty address: none.
func (h *Hub) sendFollow(address string, f Follow) {
	if address != "" {
		h.Transport.Send(address, f)
	}
}

// fillAll asks a node for what is missing of all tables; an empty address: none.
func (h *Hub) fillAll(ctx context.Context, address string) {
	if address == "" {
		return
	}
	for _, t := range h.Tables {
		if missing, _, _ := t.lacks(); missing != 0 {
			go h.fill(ctx, t, address, missing, 0)
		}
	}
}

// chooseParents returns the addresses of the nodes to follow: the first two of those preferred that
// are not silent, or of all if all are, as while the store is down. The second one's pulses tell that
// changes are missing while the first is lost.
func (h *Hub) chooseParents(top *topology, now time.Time) (main, second string) {
	candidates := top.parents(h.Self)
	h.mu.Lock()
	defer h.mu.Unlock()
	var chosen []string
	for _, n := range candidates {
		p := h.parent(n.Peers)
		if len(chosen) == 2 || now.Before(p.silent) {
			continue
		}
		if p.since.IsZero() {
			p.since = now
		}
		if now.Sub(p.since) > parentSilence && now.Sub(p.heard) > parentSilence {
			p.silent = now.Add(silentRest)
			continue
		}
		chosen = append(chosen, n.Peers)
	}
	for address, p := range h.parents {
		if slices.Contains(chosen, address) {
			continue
		}
		p.since = time.Time{}
		if now.After(p.silent) {
			delete(h.parents, address)
		}
	}
	if len(chosen) == 0 {
		for _, n := range candidates[:min(len(candidates), 2)] {
			chosen = append(chosen, n.Peers)
		}
	}
	chosen = append(chosen, "", "")
	return chosen[0], chosen[1]
}

// parent returns what is known of a node that may be followed. The caller holds mu.
func (h *Hub) parent(address string) *parent {
	p := h.parents[address]
	if p == nil {
		p = &parent{}
		h.parents[address] = p
	}
	return p
}

// forgive has no node count as silent for the time in which this one stood still.
func (h *Hub) forgive(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.parents {
		if !p.since.IsZero() {
			p.since = now
		}
	}
}

// heardFrom notes a word of a node that is followed.
func (h *Hub) heardFrom(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.parents[address]; p != nil {
		p.heard = clock.Now()
	}
}

// wanted sets what the node is to hold of each table and returns it.
func (h *Hub) wanted(relay bool) map[string]Parts {
	whole := relay || h.Whole != nil && h.Whole()
	parts := make(map[string]Parts, len(h.Tables))
	for _, t := range h.Tables {
		want := AllParts
		if t.Parted && !whole {
			want = h.share(t) | h.extras(t.Name)
		}
		t.want(want)
		missing, held, _ := t.lacks()
		parts[t.Name] = missing | held
	}
	return parts
}

// share returns the parts that the node keeps of a table in any case.
func (h *Hub) share(t *Table) Parts {
	t.mu.Lock()
	rows := t.total
	t.mu.Unlock()
	if rows == 0 {
		return AllParts
	}
	n := share(rows)
	h.mu.Lock()
	defer h.mu.Unlock()
	// A table whose size moves a little is not to have nodes drop parts and ask for them again.
	if kept := h.shares[t.Name]; kept.count() == 0 || n < kept.count()*3/4 || n > kept.count()*5/4 {
		h.shares[t.Name] = preferred(h.Self.Name, n)
	}
	return h.shares[t.Name]
}

// extraTime is how long a part is kept that was asked for.
const extraTime = time.Minute

// extras returns the parts of a table that were asked for lately.
func (h *Hub) extras(table string) Parts {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var parts Parts
	for key, until := range h.extra {
		if now.After(until) {
			delete(h.extra, key)
		} else if key.table == table {
			parts |= partAt(key.part)
		}
	}
	return parts
}

// extraPart names a part that was asked for.
type extraPart struct {
	table string
	part  int
}

// Cover has the node hold the rows of keys for a while, and returns once it does or ctx ends.
func (h *Hub) Cover(ctx context.Context, table string, keys ...string) error {
	t := h.table(table)
	if t == nil {
		return errUnknown
	}
	var parts Parts
	until := clock.Now().Add(extraTime)
	h.mu.Lock()
	for _, key := range keys {
		h.extra[extraPart{table, partIndex(key)}] = until
		parts |= PartOf(key)
	}
	main := h.main
	h.mu.Unlock()
	_, held, _ := t.lacks()
	if held.covers(parts) {
		return nil
	}
	if main == "" {
		return errNoParent
	}
	t.add(parts)
	select {
	case h.followNow <- struct{}{}: // the parent is to know before it passes on changes
	default:
	}
	for {
		err := h.pull(ctx, t, main, parts&^held, 0)
		if !errors.Is(err, errOlder) || !pauseFor(ctx, olderPause) {
			return err
		}
	}
}

// olderPause is the pause before a node is asked again that did not know yet what this one knows.
const olderPause = 30 * time.Millisecond

// pauseFor waits, and tells whether ctx goes on.
func pauseFor(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}

// Main returns the address of the node that this one follows, which holds whole tables; empty if it
// follows none.
func (h *Hub) Main() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.main
}

func (h *Hub) setMain(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.main = address
}

// fill asks for parts, or for what changed in them since a version, unless some are on their way.
func (h *Hub) fill(ctx context.Context, t *Table, address string, parts Parts, after revision.Revision) {
	if !t.pulling.CompareAndSwap(false, true) {
		return
	}
	defer t.pulling.Store(false)
	if err := h.pull(ctx, t, address, parts, after); err != nil {
		h.Logger.Info("rows not read", "table", t.Name, "parts", parts.count(), "after", after, "from", address, "error", err)
	}
}

// Errors of a pull.
var (
	errNoParent = errors.New("watch: no node is followed")
	errNotHere  = errors.New("watch: the node that was asked does not have the rows")
	errOlder    = errors.New("watch: the rows of the node that was asked are older")
)

// pull asks a node for parts of a table, or for what changed in them since a version. Each message
// has a time of its own: parts that came are kept if the next one does not.
func (h *Hub) pull(ctx context.Context, t *Table, address string, parts Parts, after revision.Revision) error {
	for parts != 0 {
		answer, err := h.pullOnce(ctx, address, Pull{Table: t.Name, Parts: parts, After: after})
		if err != nil {
			return err
		}
		page, err := answer.page()
		if err != nil {
			return err
		}
		if answer.Rows > 0 {
			t.setTotal(answer.Rows)
		}
		if answer.Changes {
			if !t.Change(after, page, answer.Age) {
				return errOlder
			}
			return nil
		}
		if !t.Merge(page, answer.Age) {
			return errOlder
		}
		parts &^= told(answer.Parts)
	}
	return nil
}

func (h *Hub) pullOnce(ctx context.Context, address string, p Pull) (PullAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := h.Transport.Call(ctx, address, p)
	if err != nil {
		return PullAnswer{}, err
	}
	answer, ok := reply.(PullAnswer)
	switch {
	case !ok:
		return answer, errUnknown
	case !answer.Known:
		return answer, errNotHere
	}
	return answer, nil
}

func init() { peer.RegisterRecent(Follow{}) }
