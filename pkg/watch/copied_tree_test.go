package watch

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/revision"
)

// copyOf returns what a store holds.
func (m *memory) copyOf() *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &memory{rows: maps.Clone(m.rows), version: m.version}
}

// comeBack has a store hold what a copy does, in the next epoch, and tell of no change before.
func (m *memory) comeBack(c *memory) {
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

// refuse has the store turn some nodes away, or nobody.
func (m *memory) refuse(refused map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused = refused
}

// TestAFleetFollowsAStoreThatCameBackFromACopy: within the bound all nodes have what is written then, those that read
// the store, those that follow others and those that were cut off meanwhile, and the store is not read by all.
func TestAFleetFollowsAStoreThatCameBackFromACopy(t *testing.T) {
	for name, size := range map[string]int{"6 nodes": 6, "302 nodes": 302} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := 10 * size
				f := startFleet(size, rows)
				f.settle(t)
				before := f.store.copyOf()
				for i := range 50 {
					f.store.put(rowKey(i), "lost")
				}
				f.inForce(t, f.members, rowKey(49), "lost")
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
				f.store.comeBack(before)
				f.store.refuse(map[string]bool{cut: true})
				time.Sleep(bound / 2) // who waits before a store that fails asks again by then
				f.store.put(rowKey(0), "after")
				others := slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.hub.Self.Name == cut })
				took := f.inForce(t, others, rowKey(0), "after")
				if took > bound {
					t.Errorf("in force after %v, bound %v", took, bound)
				}
				f.store.mu.Lock()
				calls := f.store.calls
				f.store.mu.Unlock()
				t.Logf("%d nodes: in force after %v, %d calls of the store", size, took, calls)
				if size > SmallSite && calls > size { // all nodes of a small site watch the store
					t.Errorf("%d nodes made %d calls of the store", size, calls)
				}
				f.net.mu.Lock()
				f.net.deaf[cut] = false
				f.net.mu.Unlock()
				f.store.refuse(nil)
				f.inForce(t, f.members, rowKey(0), "after")
				time.Sleep(risenTime + lostTime)
				f.store.put(rowKey(1), "later")
				f.inForce(t, f.members, rowKey(1), "later")
				for _, m := range f.members {
					f.agrees(t, m)
				}
				f.end()
			})
		})
	}
}
