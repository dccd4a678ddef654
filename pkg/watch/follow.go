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

// Follow subscribes a node to the changes of some tables for followLifetime. The node sends it again before
// that time is over.
type Follow struct {
	Follower string           // IP:port of the subscriber for other nodes
	Tables   map[string]Parts // parts by table that the subscriber holds or wants
	Bare     bool             // without records, which another node sends
}

// Times of subscriptions to other nodes.
const (
	followCheckInterval = 200 * time.Millisecond // between checks of which nodes to follow
	followInterval      = time.Second            // between Follow messages
	followLifetime      = 3 * followInterval     // of a Follow at the node that gets it
	// parentTimeout is how long a parent may be silent, three heartbeats, before another node is followed.
	parentTimeout = 3 * heartbeatInterval
	// silentParentPause is how long a silent node is not followed again.
	silentParentPause = 10 * time.Second
)

// parent is a node that this one follows or has followed.
type parent struct {
	followedSince time.Time // start of the current time of following; zero: not followed
	lastHeard     time.Time // when the last message came from it
	avoidUntil    time.Time // not followed until then, as it was silent
}

// followState is which nodes this node follows and what it sent them. It belongs to the goroutine of
// Hub.follow.
type followState struct {
	main, second string           // addresses; empty: none
	tables       map[string]Parts // parts by table in the last Follow
	sentAt       time.Time        // time of the last Follow
	checkedAt    time.Time        // time of the last step
	role         role             // at the last step
	wasStale     bool             // rows were stale at the last step
	overdue      map[string]overdueTable
}

// follow subscribes to other nodes until ctx ends.
func (h *Hub) follow(ctx context.Context) {
	ticker := time.NewTicker(followCheckInterval)
	defer ticker.Stop()
	var f followState
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

// followStep decides which nodes to follow and which parts to hold, and sends a Follow if that changed or the
// next one is due.
func (h *Hub) followStep(ctx context.Context, f *followState) {
	now := clock.Now()
	if now.Sub(f.checkedAt) > parentTimeout/2 {
		h.resetParentTimes(now)
	}
	f.checkedAt = now
	top := h.topology()
	h.checkRole(f, top)
	h.logOverdue(f, now)
	if !h.Known() || len(top.nodes) <= SmallSite || h.Watching() {
		h.followNobody(f)
		return
	}
	h.checkOutage(f, now)
	main, second := h.chooseParents(top, now)
	relay := top.isRelay(h.Self)
	tables := h.wantedParts(relay)
	if main != f.main {
		h.Logger.Info("following other nodes", "main", main, "second", second, "before", f.main, "relay", relay)
	}
	if main != f.main || second != f.second || !maps.Equal(tables, f.tables) || now.Sub(f.sentAt) >= followInterval {
		h.sendFollow(main, Follow{Follower: h.Self.Peers, Tables: tables})
		h.sendFollow(second, Follow{Follower: h.Self.Peers, Tables: tables, Bare: true})
		f.main, f.second, f.tables, f.sentAt = main, second, tables, now
	}
	h.setMainParent(main)
	h.requestMissing(ctx, main)
}

// checkRole logs the role of this node when it changes, and ends pauses that were due to the one before.
func (h *Hub) checkRole(f *followState, top *topology) {
	now := h.roleIn(top)
	if now == f.role {
		return
	}
	h.Logger.Info("role changed", "role", now, "before", f.role, "nodes", len(top.nodes))
	f.role = now
	h.breaker.wake()
}

// followNobody is the step of a node that watches the store, or knows no other nodes yet: it holds all rows.
func (h *Hub) followNobody(f *followState) {
	for _, t := range h.Tables {
		t.setWanted(AllParts)
	}
	f.main, f.second, f.tables, f.sentAt = "", "", nil, time.Time{}
	h.setMainParent("")
}

// sendFollow sends a Follow to a node, unless the address is empty.
func (h *Hub) sendFollow(address string, f Follow) {
	if address != "" {
		h.Transport.Send(address, f)
	}
}

// requestMissing asks a node for the missing parts of all tables, unless the address is empty.
func (h *Hub) requestMissing(ctx context.Context, address string) {
	if address == "" {
		return
	}
	for _, t := range h.Tables {
		if missing, _, _ := t.partStatus(); missing != 0 {
			go h.fetchParts(ctx, t, address, missing, 0)
		}
	}
}

// chooseParents returns the addresses of the nodes to follow: the first two preferred nodes that are not
// silent, or the first two of all if all are silent, as during an outage of the store. The heartbeats of the
// second node show that changes are missing while the first one is unreachable.
func (h *Hub) chooseParents(top *topology, now time.Time) (main, second string) {
	candidates := top.parents(h.Self)
	h.mu.Lock()
	defer h.mu.Unlock()
	var chosen []string
	for _, n := range candidates {
		p := h.parent(n.Peers)
		if len(chosen) == 2 || now.Before(p.avoidUntil) {
			continue
		}
		if p.followedSince.IsZero() {
			p.followedSince = now
		}
		if now.Sub(p.followedSince) > parentTimeout && now.Sub(p.lastHeard) > parentTimeout {
			p.avoidUntil = now.Add(silentParentPause)
			h.Logger.Info("followed node is silent", "address", n.Peers, "heard_ms", sinceKnown(now, p.lastHeard),
				"followed_ms", now.Sub(p.followedSince).Milliseconds(), "avoid_ms", silentParentPause.Milliseconds())
			continue
		}
		chosen = append(chosen, n.Peers)
	}
	for address, p := range h.parents {
		if slices.Contains(chosen, address) {
			continue
		}
		p.followedSince = time.Time{}
		if now.After(p.avoidUntil) {
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

// parent returns the state of a node that may be followed. The caller holds mu.
func (h *Hub) parent(address string) *parent {
	p := h.parents[address]
	if p == nil {
		p = &parent{}
		h.parents[address] = p
	}
	return p
}

// resetParentTimes restarts the timeouts of all parents after this node was paused, so that none counts as
// silent for the time of the pause.
func (h *Hub) resetParentTimes(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.parents {
		if !p.followedSince.IsZero() {
			p.followedSince = now
		}
	}
}

// checkOutage ends the avoidance of silent nodes when this node's rows are confirmed again after they were stale. Most
// likely the store was away, so that nobody had news to send.
func (h *Hub) checkOutage(f *followState, now time.Time) {
	isStale := slices.ContainsFunc(h.Tables, (*Table).stale)
	if f.wasStale && !isStale {
		h.stopAvoiding(now)
	}
	f.wasStale = isStale
}

// stopAvoiding lets this node follow silent nodes again.
func (h *Hub) stopAvoiding(now time.Time) {
	avoided := 0
	h.mu.Lock()
	for _, p := range h.parents {
		if now.Before(p.avoidUntil) {
			avoided++
			p.avoidUntil = time.Time{}
		}
	}
	h.mu.Unlock()
	if avoided > 0 {
		h.Logger.Info("rows are confirmed again, silent nodes may be followed", "nodes", avoided)
	}
	h.resetParentTimes(now)
}

// heardFrom records that a message came from a node that may be a parent.
func (h *Hub) heardFrom(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.parents[address]; p != nil {
		p.lastHeard = clock.Now()
	}
}

// wantedParts sets the parts that the node is to hold of each table. It returns the parts that are held or
// missing, by table.
func (h *Hub) wantedParts(relay bool) map[string]Parts {
	whole := relay || h.NeedsWhole != nil && h.NeedsWhole()
	parts := make(map[string]Parts, len(h.Tables))
	for _, t := range h.Tables {
		want := AllParts
		if t.Partitioned && !whole {
			want = h.ownShare(t) | h.currentExtraParts(t.Name)
		}
		t.setWanted(want)
		missing, held, _ := t.partStatus()
		parts[t.Name] = missing | held
	}
	return parts
}

// ownShare returns the parts that the node keeps of a table in any case.
func (h *Hub) ownShare(t *Table) Parts {
	t.mu.Lock()
	rows := t.totalRows
	t.mu.Unlock()
	if rows == 0 {
		return AllParts
	}
	n := shareSize(rows)
	h.mu.Lock()
	defer h.mu.Unlock()
	// Small changes of the table's size must not make nodes drop parts and ask for them again.
	if kept := h.keptParts[t.Name]; kept.count() == 0 || n < kept.count()*3/4 || n > kept.count()*5/4 {
		h.keptParts[t.Name] = preferredParts(h.Self.Name, n)
	}
	return h.keptParts[t.Name]
}

// extraPartLifetime is how long a part is kept after Cover.
const extraPartLifetime = time.Minute

// currentExtraParts returns the parts of a table that are kept due to Cover.
func (h *Hub) currentExtraParts(table string) Parts {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var parts Parts
	for key, until := range h.extraParts {
		if now.After(until) {
			delete(h.extraParts, key)
		} else if key.table == table {
			parts |= partAt(key.part)
		}
	}
	return parts
}

// extraPart identifies a part that is kept due to Cover.
type extraPart struct {
	table string
	part  int
}

// Cover makes the node hold the rows of keys for extraPartLifetime. It returns when the node holds them or
// when ctx ends.
func (h *Hub) Cover(ctx context.Context, table string, keys ...string) error {
	t := h.table(table)
	if t == nil {
		return errUnknown
	}
	var parts Parts
	until := clock.Now().Add(extraPartLifetime)
	h.mu.Lock()
	for _, key := range keys {
		h.extraParts[extraPart{table, partIndex(key)}] = until
		parts |= PartOf(key)
	}
	main := h.mainParent
	h.mu.Unlock()
	_, held, _ := t.partStatus()
	if held.covers(parts) {
		return nil
	}
	if main == "" {
		return errNoParent
	}
	t.addWanted(parts)
	select {
	case h.followNow <- struct{}{}: // tells the parent before it sends the next changes
	default:
	}
	for _, p := range h.pullParts(ctx, t, main, parts&^held) {
		select {
		case <-p.done:
			if p.err != nil {
				return p.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// partPull is a request for parts due to Cover.
type partPull struct {
	done chan struct{} // closed after the answer
	err  error         // valid once done is closed
}

// pullParts asks a node for those of the parts for which no such request is in progress, and returns all requests that
// concern the parts. They go on when ctx ends: who asks next must not have to ask for the same again.
func (h *Hub) pullParts(ctx context.Context, t *Table, address string, parts Parts) []*partPull {
	var pulls []*partPull
	var asked Parts
	next := &partPull{done: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range parts.each() {
		key := extraPart{t.Name, i}
		if p := h.partPulls[key]; p != nil {
			pulls = append(pulls, p)
			continue
		}
		h.partPulls[key] = next
		asked |= partAt(i)
	}
	if asked == 0 {
		return pulls
	}
	go func() {
		next.err = h.pullUntilCurrent(context.WithoutCancel(ctx), t, address, asked)
		h.mu.Lock()
		for i := range asked.each() {
			delete(h.partPulls, extraPart{t.Name, i})
		}
		h.mu.Unlock()
		close(next.done)
	}()
	return append(pulls, next)
}

// pullUntilCurrent asks a node for parts again while its rows are older than this node's.
func (h *Hub) pullUntilCurrent(ctx context.Context, t *Table, address string, parts Parts) error {
	ctx, cancel := context.WithTimeout(ctx, maxPullTime)
	defer cancel()
	for {
		err := h.pull(ctx, t, address, parts, 0)
		if !errors.Is(err, errOutdated) || !pauseFor(ctx, outdatedRetryPause) {
			return err
		}
	}
}

// outdatedRetryPause is the pause before a node is asked again whose rows were older than this node's.
const outdatedRetryPause = 30 * time.Millisecond

// pauseFor waits, and reports whether ctx has not ended.
func pauseFor(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}

// MainParent returns the address of the main node that this one follows, which holds whole tables. It is
// empty if this node follows none.
func (h *Hub) MainParent() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mainParent
}

func (h *Hub) setMainParent(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mainParent = address
}

// fetchParts asks a node for parts, or for the changes in them after a version, unless a request is in
// progress.
func (h *Hub) fetchParts(ctx context.Context, t *Table, address string, parts Parts, after revision.Revision) {
	if !t.pulling.CompareAndSwap(false, true) {
		return
	}
	defer t.pulling.Store(false)
	if err := h.pull(ctx, t, address, parts, after); err != nil {
		h.Logger.Info("rows not read", "table", t.Name, "parts", parts.count(), "after", after, "from", address, "error", err)
	}
}

// Errors of pull and Cover.
var (
	errNoParent = errors.New("watch: no node is followed")
	errNotHeld  = errors.New("watch: the node that was asked does not have the rows")
	errOutdated = errors.New("watch: the rows of the node that was asked are older")
)

// pull asks a node for parts of a table, or for the changes in them after a version. Each message has its own
// timeout: parts that have arrived are kept if the next ones do not.
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
			t.setTotalRows(answer.Rows)
		}
		if answer.Changes {
			if !t.Change(after, page, answer.Age) {
				return errOutdated
			}
			return nil
		}
		if !t.Merge(page, answer.Age) {
			return errOutdated
		}
		t.notifyConfirmed()
		parts &^= partsOrAll(answer.Parts)
	}
	return nil
}

func (h *Hub) pullOnce(ctx context.Context, address string, p Pull) (PullAnswer, error) {
	ctx, cancel := h.whileHeard(ctx, address)
	defer cancel()
	began := clock.Now()
	reply, err := h.Transport.Call(ctx, address, p)
	if err != nil {
		return PullAnswer{}, err
	}
	answer, ok := reply.(PullAnswer)
	answer.Age += clock.Since(began) // it may have been on its way for long
	switch {
	case !ok:
		return answer, errUnknown
	case !answer.Known:
		return answer, errNotHeld
	}
	return answer, nil
}

// whileHeard returns a context that ends after pullTimeout, or later if news of the asked node arrives meanwhile. After a
// loss of all nodes a relay sends rows to dozens of nodes over one link. If each of them asked again before its answer is
// there, the link would carry answers that nobody takes, and no node would ever get its rows.
func (h *Hub) whileHeard(ctx context.Context, address string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxPullTime)
	go func() {
		for pauseFor(ctx, pullTimeout) {
			if !h.heardWithin(parentTimeout, address) {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// heardWithin reports whether a node that is followed sent something within the given time.
func (h *Hub) heardWithin(d time.Duration, address string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.parents[address]
	return p != nil && clock.Since(p.lastHeard) < d
}

func init() { peer.RegisterRecent(Follow{}) }
