package lab

import (
	"cmp"
	"slices"
)

// checkpointCache is one tier of a server's checkpoint caches. The least
// recently used checkpoint goes first.
type checkpointCache struct {
	capacity uint64
	used     uint64
	entries  map[int]cacheEntry // by model
	uses     uint64
}

// cacheEntry is a cached checkpoint.
type cacheEntry struct {
	bytes uint64
	use   uint64 // larger is later
}

// newCheckpointCache returns an empty cache.
func newCheckpointCache(gigabytes float64) *checkpointCache {
	return &checkpointCache{capacity: uint64(gigabytes * gigabyte), entries: make(map[int]cacheEntry)}
}

// has tells whether the model's checkpoint is cached.
func (c *checkpointCache) has(model int) bool {
	_, ok := c.entries[model]
	return ok
}

// put caches a checkpoint, or notes its use, and lets others go to make room.
func (c *checkpointCache) put(m *model) {
	if m.weightBytes > c.capacity {
		return
	}
	if !c.has(m.index) {
		c.used += m.weightBytes
	}
	c.uses++
	c.entries[m.index] = cacheEntry{m.weightBytes, c.uses}
	for c.used > c.capacity {
		oldest := c.oldest()
		c.used -= c.entries[oldest].bytes
		delete(c.entries, oldest)
	}
}

// oldest returns the least recently used model.
func (c *checkpointCache) oldest() int {
	oldest, first := -1, uint64(0)
	for index, entry := range c.entries {
		if oldest < 0 || entry.use < first {
			oldest, first = index, entry.use
		}
	}
	return oldest
}

// models returns the cached models in order of their index.
func (c *checkpointCache) models() []int {
	indexes := make([]int, 0, len(c.entries))
	for index := range c.entries {
		indexes = append(indexes, index)
	}
	slices.SortFunc(indexes, cmp.Compare)
	return indexes
}
