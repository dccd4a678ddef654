package watch

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/revision"
)

// backup returns a copy of the store's state.
func (m *fakeStore) backup() *fakeStore {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &fakeStore{rows: maps.Clone(m.rows), version: m.version}
}

// restore replaces the store's state by that of a backup, in the next epoch and without the history of
// changes.
func (m *fakeStore) restore(c *fakeStore) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := m.version.Epoch() + 1
	again := func(r revision.Revision) revision.Revision {
		r, _ = revision.New(epoch, r.Number())
		return r
	}
	m.rows, m.log = make(map[string]Record), nil
	for key, r := range c.rows {
		r.Version = again(r.Version)
		m.rows[key] = r
	}
	m.version = again(c.version)
	m.oldest = m.version
}

// refuse makes the store refuse the calls of the given nodes and of no others.
func (m *fakeStore) refuse(refused map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = refused
}

// TestAFleetFollowsARestoredStore checks that after a restore all nodes have new writes within the bound:
// nodes that read the store, nodes that follow others and a node that was cut off meanwhile. The store must
// not be read by all nodes.
func TestAFleetFollowsARestoredStore(t *testing.T) {
	for name, size := range map[string]int{"6 nodes": 6, "302 nodes": 302} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := 10 * size
				f := startFleet(size, rows)
				f.waitSettled(t)
				before := f.store.backup()
				for i := range 50 {
					f.store.put(rowKey(i), "lost")
				}
				f.awaitValue(t, f.members, rowKey(49), "lost")
				time.Sleep(2 * time.Second)
				cut := f.members[len(f.members)-1].hub.Self.Name
				all := make(map[string]bool)
				for _, m := range f.members {
					all[m.hub.Self.Name] = true
				}
				f.net.mu.Lock()
				f.net.deaf[cut] = true
				f.net.mu.Unlock()
				f.store.refuse(all)
				time.Sleep(2 * time.Second)
				f.store.mu.Lock()
				f.store.calls = 0
				f.store.mu.Unlock()
				f.store.restore(before)
				f.store.refuse(map[string]bool{cut: true})
				time.Sleep(bound / 2) // by then nodes that back off have asked the store again
				f.store.put(rowKey(0), "after")
				others := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.hub.Self.Name == cut })
				took := f.awaitValue(t, others, rowKey(0), "after")
				if took > bound {
					t.Errorf("the change arrived after %v, bound %v", took, bound)
				}
				f.store.mu.Lock()
				calls := f.store.calls
				f.store.mu.Unlock()
				t.Logf("%d nodes: the change arrived after %v, %d calls of the store", size, took, calls)
				if size > SmallSite && calls > size { // all nodes of a small site watch the store
					t.Errorf("%d nodes made %d calls of the store", size, calls)
				}
				f.net.mu.Lock()
				f.net.deaf[cut] = false
				f.net.mu.Unlock()
				f.store.refuse(nil)
				f.awaitValue(t, f.members, rowKey(0), "after")
				time.Sleep(holdBackTime + keepLostTime)
				f.store.put(rowKey(1), "later")
				f.awaitValue(t, f.members, rowKey(1), "later")
				for _, m := range f.members {
					f.checkAgainstStore(t, m)
				}
				f.end()
			})
		})
	}
}

// TestANewEpochIsPulledAtOnce guards against nodes that wait for changes that only a whole table can bring.
func TestANewEpochIsPulledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(195, 195)
		f.waitSettled(t)
		f.store.put(rowKey(0), "lost")
		f.awaitValue(t, f.members, rowKey(0), "lost")
		f.store.restore(f.store.backup())
		began := time.Now()
		for name, table := range f.tables {
			for table.Version().Epoch() == 0 && time.Since(began) < bound {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(began); took > bound/10 {
				t.Errorf("%s has the new epoch %v after the restore", name, took)
				break
			}
		}
		f.end()
	})
}
