package lineage

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Times and limits of telling keepers.
const (
	// tellInterval is how often streams that may be taken up are told again, to keepers that restarted, joined
	// or could not be reached.
	tellInterval = 2 * time.Second
	// maxStreamsPerMessage keeps messages below some 10 kB.
	maxStreamsPerMessage = 512
)

// pendingStream is a stream that this node told its keepers of.
type pendingStream struct {
	origin   Origin
	lifetime time.Duration
	until    time.Time
	told     time.Time
	stored   bool // a keeper was told to store it
}

// Began records where a stream began, or continues, and tells this node's keepers. Its caller may take it up
// within the given time. It does not wait.
func (r *Register) Began(key Key, o Origin, left time.Duration) {
	now := r.Time.Now()
	left = min(left, MaxLifetime)
	r.put(now, key, o, left)
	store := r.storing()(o.Service, left)
	r.mu.Lock()
	if r.pending == nil {
		r.pending = make(map[Key]pendingStream)
	}
	r.pending[key] = pendingStream{origin: o, lifetime: left, until: now.Add(left), told: now, stored: store}
	keepers := r.currentView(now).tell
	r.mu.Unlock()
	r.tell(keepers, []Group{{Origin: o, Streams: []Stream{{Key: key, Left: left}}, Store: store}})
}

// Complete records that a stream was sent to its end, so that nobody takes it up.
func (r *Register) Complete(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, key)
}

// Run tells the keepers again of the streams that may be taken up, and writes to the store what is to be stored,
// until ctx ends.
func (r *Register) Run(ctx context.Context) {
	storeTicks := make(<-chan time.Time) // never, without a store
	if a := r.openArchive(); a != nil {
		var writer sync.WaitGroup
		defer writer.Wait()
		writer.Go(func() { a.run(ctx, r.writeInterval) })
		ticker := time.NewTicker(archiveInterval)
		defer ticker.Stop()
		storeTicks = ticker.C
	}
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tellAgain(toldAWhileAgo)
		case <-storeTicks:
			r.tellAgain(notStored)
		}
	}
}

// selection selects some of the pending streams. store tells whether the stream is to be stored.
type selection func(p pendingStream, now time.Time, store bool) bool

// toldAWhileAgo selects the streams that keepers which restarted or joined meanwhile may not know.
func toldAWhileAgo(p pendingStream, now time.Time, _ bool) bool {
	return now.Sub(p.told) >= tellInterval/2
}

// notStored selects the streams that began before their service had several versions.
func notStored(p pendingStream, _ time.Time, store bool) bool { return store && !p.stored }

// tellAgain tells the keepers again of the selected streams.
func (r *Register) tellAgain(selected selection) {
	now := r.Time.Now()
	r.mu.Lock()
	groups := r.selectPending(now, selected)
	keepers := r.currentView(now).tell
	r.mu.Unlock()
	for _, g := range groups {
		for streams := range slices.Chunk(g.Streams, maxStreamsPerMessage) {
			r.tell(keepers, []Group{{Origin: g.Origin, Streams: streams, Store: g.Store}})
		}
	}
}

// tell sends keepers the streams of a message. The first of them stores what is to be stored.
func (r *Register) tell(keepers []Node, groups []Group) {
	if len(keepers) == 0 && r.single() {
		r.store(groups)
	}
	for i, n := range keepers {
		sent := groups
		if i > 0 {
			sent = slices.Clone(groups)
			for g := range sent {
				sent[g].Store = false
			}
		}
		r.Transport.Send(n.Address, Began{Groups: sent})
	}
}

// pendingGroup tells which streams are told of together.
type pendingGroup struct {
	origin Origin
	store  bool
}

// selectPending returns the selected pending streams, and removes those whose time is over. The caller holds mu.
func (r *Register) selectPending(now time.Time, selected selection) []Group {
	groups := make(map[pendingGroup][]Stream)
	storing := r.storing()
	for key, p := range r.pending {
		left := p.until.Sub(now)
		if left <= 0 {
			delete(r.pending, key)
			continue
		}
		store := storing(p.origin.Service, p.lifetime)
		if !selected(p, now, store) {
			continue
		}
		p.told, p.stored = now, store
		r.pending[key] = p
		g := pendingGroup{p.origin, store}
		groups[g] = append(groups[g], Stream{Key: key, Left: left})
	}
	var list []Group
	for g, streams := range groups {
		list = append(list, Group{Origin: g.origin, Streams: streams, Store: g.store})
	}
	return list
}
