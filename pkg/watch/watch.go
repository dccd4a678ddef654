// Package watch keeps copies of the platform store's tables in memory on every node. A few nodes watch the
// store and pass changes on; the others read it only if no watcher is known to be up to date. So the number
// of calls of the store does not grow with the number of nodes while it answers.
//
// A goroutine keeps each Table up to date; the Hub has the tables of a node and exchanges messages with other
// nodes. The version of a table never goes back while a process runs.
//
// On large sites the nodes form a tree: a few readers ask the store, some relays in each zone follow the
// readers, and all other nodes follow a relay near them, so that a change crosses the boundary of a zone once
// for each relay. Most nodes need some rows of a large table only and hold parts of it.
//
// parts.go divides tables into parts; topology.go assigns the roles; follow.go is the side of the followers
// and serve.go that of the followed nodes; hub.go is what readers send to nodes that follow nobody;
// calls.go calls the store, and breaker.go spares it while it fails; restored.go handles a store that was restored
// from a backup; status.go logs why a table is out of date.
package watch

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/storeclock"
)

// Record is a row of a table.
type Record struct {
	Key     string
	Value   []byte
	Version revision.Revision // of the last change of the row
	Gone    bool              // the row was removed
}

// Page has rows of a table, or changes in it, up to a version.
type Page struct {
	Records []Record
	Version revision.Revision
	AsOf    time.Duration // time by the store's clock; all earlier changes are included
	Dated   bool          // AsOf is known
	Parts   Parts         // that the page is about; zero: the whole table
}

// update has changes for other nodes.
type update struct {
	previous lastChanges // versions of the last changes before these, by part
	page     Page
}

// lastChanges has the version of the last change in each part.
type lastChanges [PartCount]revision.Revision

// latest returns the version of the last change in some parts.
func (l *lastChanges) latest(parts Parts) revision.Revision {
	last := revision.Revision(0)
	for i := range parts.each() {
		last = max(last, l[i])
	}
	return last
}

// note records a change in some parts.
func (l *lastChanges) note(parts Parts, version revision.Revision) {
	for i := range parts.each() {
		l[i] = version
	}
}

// Errors of a Source.
var (
	// ErrHistoryGone means that the changes after a version are no longer known.
	ErrHistoryGone = errors.New("watch: the history is gone")
	// ErrIncomplete means that the store answered, and that the answer did not arrive in time.
	ErrIncomplete = errors.New("watch: the answer did not arrive in time")
)

// Source is the platform's store.
type Source interface {
	// Read reads a whole table. It limits the time of each of its calls, not the total time, which grows with
	// the table.
	Read(ctx context.Context, table string) (Page, error)
	// Feed waits for changes after a version. It returns a page without records if there are none within
	// wait. It fails if the answer does not begin within wait and AnswerTime, and with ErrIncomplete if only a part
	// of the answer has arrived when ctx ends.
	Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) (Page, error)
}

// Prober is a Source that can find out cheaply whether a table is large.
type Prober interface {
	// Probe reads the first rows of a table and reports whether there are more.
	Probe(ctx context.Context, table string) (first Page, more bool, err error)
}

// Times of calls of the store.
const (
	// AnswerTime is how long a sound store takes at most to begin its answer to a feed, beyond the wait.
	AnswerTime = 500 * time.Millisecond
	// transferTime is how long the rest of the answer may take: changes of several seconds over a slow link.
	transferTime  = time.Second
	retryPause    = 120 * time.Millisecond // after a failure, before it is doubled
	maxRetryPause = 600 * time.Millisecond // of a watcher
)

// Shares of Table.Bound, the time within which changes must be applied on all nodes. A feed ends well before, so
// that a store that fell silent is noticed; a node that gets no news asks the store while there is time left.
const (
	feedShare  = 0.4
	staleShare = 0.6
	// A watcher on standby asks the store earlier than other nodes, but not just because a reader's feed
	// takes long.
	standbyShare = 0.55
	// A node on which no other depends backs off for long from a store that fails, and for a shorter time while it
	// has no rows. The watchers mostly send it news before it asks again, but they may be lost, and the bound
	// counts again soon after the store's return: so the back-off must not grow with the site.
	idleBackoffShare  = 0.6
	emptyBackoffShare = 0.3
)

// maxHiddenTime is how long the store may hide changes from feeds before it forgets its history. The result
// of a feed counts as that much older.
const maxHiddenTime = time.Second

// Table keeps one table up to date. Set the exported fields before Run of its Hub.
type Table struct {
	Name   string
	Source Source
	Pause  time.Duration // after changes, so that the next feed returns more at once
	Bound  time.Duration // within which changes must be applied on all nodes
	// Refresh is how long a feed of a watcher waits for changes at most, and so about how old rows may be
	// that nodes know to be up to date; zero means feedShare of Bound.
	Refresh time.Duration
	Clock   *storeclock.Clock // estimate of the store's clock; nil: Lag is unknown
	Time    clock.Clock
	// Apply is called with all rows after a change, by one goroutine at a time. It must not keep the map.
	Apply  func(rows map[string]Record, version revision.Revision)
	Logger hclog.Logger
	// Partitioned reports whether the node may hold only some parts of the rows.
	Partitioned bool
	// InUse reports whether the node uses what a row is about; the part of the row is kept then. It may be
	// nil.
	InUse func(key string) bool
	// Dropped is called before Apply with the keys of rows that the node drops although they may still exist
	// in the store. It may be nil.
	Dropped func(keys []string)

	mu            sync.Mutex
	rows          map[string]Record            // nil: not read yet
	wanted        Parts                        // parts to hold; zero: all
	held          Parts                        // parts whose rows are here
	baseVersions  [PartCount]revision.Revision // versions at which the parts were taken in as a whole
	totalRows     int                          // of the whole table, as far as known
	version       revision.Revision
	confirmedAt   time.Time     // time at which the rows are known to have been up to date
	asOf          time.Duration // the same time by the store's clock
	dated         bool          // asOf is known
	reread        bool          // the whole table has to be read again
	failures      int           // failed calls of the store in a row
	failureLogged time.Time     // time of the last log line about a failed call
	lastFailure   callFailure   // last failed call of the store
	lateFeeds     int           // feeds in a row whose answers did not arrive in time
	lastChanged   lastChanges   // version of the last change in each part
	recent        recentChanges // recent changes; only on a node that holds all rows
	gapSince      time.Time     // time since which changes are known to be missing; zero: none are
	updates       chan update   // changes to send to other nodes
	confirmations chan struct{} // wakes sendUpdates when another node confirmed the rows
	breaker       *breaker      // shared by all tables of the node
	role          func() role   // of the node
	large         bool          // the store has more rows than its first page
	pulling       atomic.Bool   // a request for rows is in progress
	restored      restoreState

	packing       sync.Mutex
	packed        []byte // all rows, at packedVersion; nil: not packed yet
	packedVersion revision.Revision
	partPacks     [PartCount]partPack
}

// Version returns the version of the rows, zero if there are none yet.
func (t *Table) Version() revision.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Age returns the time since the rows were last confirmed to be up to date. If the store's clock is known, it
// includes the time that news was on its way: on a site of 301 nodes, news can wait for seconds behind tables
// of 3,000 servers, and a node that only goes by the age in the news would not turn to the store.
func (t *Table) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		return time.Hour
	}
	age := t.Time.Since(t.confirmedAt)
	if lag, known := t.lagOf(t.asOf, t.dated); known {
		age = max(age, lag-maxHiddenTime)
	}
	return age
}

// Lag returns the maximum age of changes that the rows may lack, and false if it is unknown. Unlike Age it
// includes all of the time that news was on its way. After a restore of the store it also covers the last
// writes, which the backup lacks, until their owners have written them again.
func (t *Table) Lag() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mayLackWrites() {
		return t.lagOf(t.restored.previousAsOf, t.restored.previousDated)
	}
	return t.lagOf(t.asOf, t.dated)
}

// lagOf returns the lag of rows that had all changes up to a time by the store's clock. The caller holds mu.
func (t *Table) lagOf(asOf time.Duration, dated bool) (time.Duration, bool) {
	if t.Clock == nil {
		return 0, false
	}
	latest, known := t.Clock.Latest()
	return latest - asOf, known && dated && latest >= asOf
}

// Overdue reports whether the rows have not been confirmed for longer than their bound.
func (t *Table) Overdue() bool { return t.Age() > t.Bound }

// feedTime returns how long a feed waits for changes.
func (t *Table) feedTime() time.Duration {
	if t.Refresh > 0 {
		return min(t.Refresh, t.boundShare(feedShare))
	}
	return t.boundShare(feedShare)
}

// boundShare returns a share of Bound.
func (t *Table) boundShare(share float64) time.Duration {
	return time.Duration(share * float64(t.Bound))
}

// stale reports whether the rows have not been confirmed for so long that the node turns to the store.
func (t *Table) stale() bool { return t.Age() > t.boundShare(staleShare) }

// unconfirmed reports whether the rows have not been confirmed for so long that a watcher on standby asks the
// store.
func (t *Table) unconfirmed() bool { return t.Age() > t.boundShare(standbyShare) }

// allRows returns all rows of the current epoch, and false if none were read yet.
func (t *Table) allRows() (Page, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Page{Version: t.version, AsOf: t.asOf, Dated: t.dated}
	for _, r := range t.rows {
		if t.inCurrentEpoch(r) {
			p.Records = append(p.Records, r)
		}
	}
	return p, t.rows != nil
}

// Replace takes in a whole table that was up to date the given time ago. It refuses a table that is older
// than the known one.
func (t *Table) Replace(all Page, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if all.Version < t.version {
		return false
	}
	t.totalRows = len(all.Records)
	t.held = t.wantedParts()
	maps.DeleteFunc(t.rows, func(key string, _ Record) bool { return !t.held.Holds(key) })
	t.applyWhole(t.held, all)
	t.enterEpoch(all.Version)
	t.version, t.reread, t.gapSince = all.Version, false, time.Time{}
	for i := range t.held.each() {
		t.baseVersions[i] = t.version
	}
	t.lastChanged.note(AllParts, t.version) // so that other nodes ask for what they lack
	t.recent.reset(t.version)
	t.confirm(age, all)
	t.Apply(t.rows, t.version)
	return true
}

// applyWhole takes in all rows of some parts. The caller holds mu.
func (t *Table) applyWhole(parts Parts, page Page) {
	rows := make(map[string]Record, len(page.Records))
	heldBack := t.restored.heldBack
	t.restored.heldBack = nil
	for _, r := range page.Records {
		if !parts.Holds(r.Key) || t.tryHoldBack(r, heldBack) {
			continue
		}
		if known, has := t.rows[r.Key]; has && known.Version > r.Version {
			r = known
		}
		rows[r.Key] = r
	}
	for key, r := range heldBack {
		if !parts.Holds(key) {
			t.holdBack(r)
		}
	}
	for key, r := range t.rows {
		if _, has := rows[key]; has || !parts.Holds(key) || r.Version.Epoch() < page.Version.Epoch() {
			continue // keeps rows that a restored table lacks
		}
		delete(t.rows, key)
		t.noteRemoved(key)
	}
	if t.rows == nil {
		t.rows = rows
		return
	}
	maps.Copy(t.rows, rows)
}

// Change takes in the changes after a version, as of the given time ago. It refuses them if changes before
// them are missing, or if they are of another epoch: changes after a version say nothing about what a
// restored store lost.
func (t *Table) Change(after revision.Revision, page Page, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil || after > t.version || !partsOrAll(page.Parts).covers(t.held) || page.Version.Epoch() > t.version.Epoch() {
		return false
	}
	if page.Version < t.version {
		return true // already known
	}
	var fresh []Record
	var touched Parts
	for _, r := range page.Records {
		if t.applyRecord(r) {
			fresh = append(fresh, r)
			touched |= PartOf(r.Key)
		}
	}
	t.version, t.gapSince = page.Version, time.Time{}
	t.confirm(age, page)
	if len(fresh) > 0 {
		before := t.lastChanged
		t.lastChanged.note(touched, t.version)
		if t.held == AllParts {
			t.totalRows = len(t.rows)
			t.recent.add(fresh)
		}
		t.Apply(t.rows, t.version)
		t.queueUpdate(update{previous: before, page: Page{Records: fresh, Version: t.version, AsOf: t.asOf, Dated: t.dated}})
	}
	return true
}

// applyRecord takes in a row of a part that is held, unless a newer one is known. It reports whether it did.
// The caller holds mu.
func (t *Table) applyRecord(r Record) bool {
	part := partIndex(r.Key)
	if t.held&partAt(part) == 0 || r.Version <= t.baseVersions[part] {
		return false
	}
	if back, held := t.restored.heldBack[r.Key]; held && r.Version > back.Version {
		delete(t.restored.heldBack, r.Key)
	}
	known, has := t.rows[r.Key]
	if has && known.Version >= r.Version || !has && r.Gone {
		return false
	}
	if r.Gone {
		delete(t.rows, r.Key)
		t.noteRemoved(r.Key)
	} else {
		t.rows[r.Key] = r
	}
	return true
}

// gapOverdue records that changes are missing. It reports whether they have been missing for so long that
// they have to be asked for.
func (t *Table) gapOverdue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gapSince.IsZero() {
		t.gapSince = t.Time.Now()
	}
	return t.Time.Since(t.gapSince) > t.boundShare(gapShare)
}

// gapShare is the share of Bound for which missing changes may arrive by themselves.
const gapShare = 0.15

// emptyUpdate returns an update without changes, which confirms the current version.
func (t *Table) emptyUpdate() update {
	t.mu.Lock()
	defer t.mu.Unlock()
	return update{previous: t.lastChanged, page: Page{Version: t.version, AsOf: t.asOf, Dated: t.dated}}
}

// confirm records that the rows were up to date the given time ago, and at the page's time by the store's
// clock. The caller holds mu.
func (t *Table) confirm(age time.Duration, p Page) {
	if p.Dated && (!t.dated || p.AsOf > t.asOf) {
		t.asOf, t.dated = p.AsOf, true
	}
	if at := t.Time.Now().Add(-age); at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// queueUpdate hands changes to sendUpdates. They are dropped if the queue is full: other nodes notice by the
// versions of the next update that changes are missing, and ask for them. The caller holds mu.
func (t *Table) queueUpdate(n update) {
	select {
	case t.updates <- n:
	default:
	}
}
