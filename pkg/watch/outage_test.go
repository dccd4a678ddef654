package watch

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// names returns the names of nodes.
func names(nodes []Node) []string {
	var list []string
	for _, n := range nodes {
		list = append(list, n.Name)
	}
	return list
}

// everybody returns the names of all nodes.
func (f *fleet) everybody() map[string]bool {
	all := make(map[string]bool)
	for _, n := range f.nodes {
		all[n.Name] = true
	}
	return all
}

// callersWithin returns which nodes call the store within a time.
func (f *fleet) callersWithin(span time.Duration) map[string]bool {
	f.store.mu.Lock()
	clear(f.store.callsBy)
	f.store.mu.Unlock()
	time.Sleep(span)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	callers := make(map[string]bool)
	for name, calls := range f.store.callsBy {
		callers[name] = calls > 0
	}
	return callers
}

// startOutage runs n nodes with a bound of 4 s and a store that has refused calls, or been silent, for six seconds.
func startOutage(t *testing.T, n int, refuses bool) *fleet {
	f := startFleet(n, n, func(h *Hub) { h.Tables[0].Bound = 4 * time.Second })
	f.waitSettled(t)
	f.store.setOutage(f.everybody(), refuses)
	time.Sleep(6 * time.Second)
	return f
}

// soonAgain is how soon a node on which others depend asks a failing store again: the longest pause and the time in
// which it notices its role.
const soonAgain = maxRetryPause*3/2 + followCheckInterval + 50*time.Millisecond

// TestANewReaderDoesNotSitOutItsPauseAsALeaf guards against a site whose new readers leave the store alone for seconds.
func TestANewReaderDoesNotSitOutItsPauseAsALeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startOutage(t, 302, true)
		lost := newTopology(f.nodes).watchers
		f.lose(lost)
		left := slices.DeleteFunc(slices.Clone(f.nodes), func(n Node) bool { return slices.Contains(lost, n.Name) })
		f.known.Store(&left)
		callers := f.callersWithin(soonAgain)
		for _, name := range newTopology(left).watchers[:Readers] {
			if !callers[name] {
				t.Errorf("the new reader %s does not ask the store within %v", name, soonAgain)
			}
		}
		f.end()
	})
}

// TestARelayAsksAFailingStoreAgainSoon guards against a zone that waits for a relay that waits for lost readers.
func TestARelayAsksAFailingStoreAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startOutage(t, 302, true)
		top := newTopology(f.nodes)
		callers := f.callersWithin(soonAgain)
		for zone, relays := range top.relays {
			for _, name := range names(relays) {
				if !callers[name] {
					t.Errorf("the relay %s of %s does not ask the store within %v", name, zone, soonAgain)
				}
			}
		}
		f.end()
	})
}

// TestANodeNoticesSoonThatTheStoreIsSilent guards against a stale node whose first call takes half of the bound.
func TestANodeNoticesSoonThatTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(195, 195, func(h *Hub) { h.Tables[0].Bound = 4 * time.Second })
		f.waitSettled(t)
		time.Sleep(firstStartWait)
		leaf := f.tables[f.leaves()[0].hub.Self.Name]
		f.store.setOutage(f.everybody(), false)
		for !leaf.stale() {
			time.Sleep(10 * time.Millisecond)
		}
		const notice = retryPause + AnswerTime + 50*time.Millisecond // the next check, the time of a call, and some more
		time.Sleep(notice)
		if _, failures := f.leaves()[0].hub.breaker.pauseLeft(time.Now(), pauseLimits{}); failures == 0 {
			t.Errorf("the node has not noticed that the store is silent %v after its rows became stale", notice)
		}
		f.end()
	})
}

// TestParentsAreOfferedInAFixedOrder guards against nodes that follow another node at each check.
func TestParentsAreOfferedInAFixedOrder(t *testing.T) {
	var nodes []Node
	for i := range 195 {
		name := rowKey(i)
		nodes = append(nodes, Node{Name: name, Zone: rowKey(i % 7), Peers: name, Follows: true})
	}
	top := newTopology(nodes)
	for _, n := range nodes {
		first := names(top.parents(n))
		for range 100 {
			if again := names(top.parents(n)); !slices.Equal(again, first) {
				t.Fatalf("%s may follow %v, and then %v", n.Name, first, again)
			}
		}
	}
}

// TestNodesFollowTheirZoneAgainAfterAnOutage guards against a site that gets its changes across zones for 10 s.
func TestNodesFollowTheirZoneAgainAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startOutage(t, 195, false)
		f.store.setOutage(nil, false)
		f.awaitConfirmed()
		time.Sleep(parentTimeout)
		top := newTopology(f.nodes)
		away := 0
		for _, m := range f.leaves() {
			relays := names(top.relays[m.hub.Self.Zone])
			if !slices.Contains(relays, m.hub.MainParent()) {
				away++
			}
		}
		if away > 0 {
			t.Errorf("%d of %d nodes follow no relay of their zone", away, len(f.leaves()))
		}
		f.end()
	})
}

// awaitConfirmed waits until no node's rows are stale.
func (f *fleet) awaitConfirmed() {
	for _, table := range f.tables {
		for table.stale() {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestNobodyReadsAWholeTableBecauseTheStoreWasSilent guards against a site that reads the table hundreds of times at once.
func TestNobodyReadsAWholeTableBecauseTheStoreWasSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(195, 2000, func(h *Hub) { h.Tables[0].Bound = 4 * time.Second })
		f.waitSettled(t)
		f.store.setOutage(f.everybody(), false)
		time.Sleep(20 * time.Second)
		f.store.mu.Lock()
		f.store.reads = 0
		f.store.mu.Unlock()
		f.store.setOutage(nil, false)
		time.Sleep(8 * time.Second)
		f.store.mu.Lock()
		reads := f.store.reads
		f.store.mu.Unlock()
		if reads > 0 {
			t.Errorf("the whole table was read %d times", reads)
		}
		f.end()
	})
}
