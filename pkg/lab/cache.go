package lab

import (
	"cmp"
	"slices"
)

// checkpointCache is one tier of a server's checkpoint cache, with least-recently-used eviction.
type checkpointCache struct {
	capacity uint64
	used     uint64
	entries  map[int]cacheEntry // by model index
	useCount uint64
}

// cacheEntry is a cached checkpoint.
type cacheEntry struct {
	bytes   uint64
	lastUse uint64 // value of the cache's use counter at the last use
}

// newCheckpointCache returns an empty cache of the given capacity.
func newCheckpointCache(gigabytes float64) *checkpointCache {
	return &checkpointCache{capacity: uint64(gigabytes * gigabyte), entries: make(map[int]cacheEntry)}
}

// has reports whether the model's checkpoint is cached.
func (c *checkpointCache) has(model int) bool {
	_, ok := c.entries[model]
	return ok
}

// put caches a checkpoint or records its use, and evicts others if needed. A checkpoint larger than
// the cache is ignored.
func (c *checkpointCache) put(m *model) {
	if m.weightBytes > c.capacity {
		return
	}
	if !c.has(m.index) {
		c.used += m.weightBytes
	}
	c.useCount++
	c.entries[m.index] = cacheEntry{m.weightBytes, c.useCount}
	for c.used > c.capacity {
		oldest := c.oldest()
		c.used -= c.entries[oldest].bytes
		delete(c.entries, oldest)
	}
}

// oldest returns the least recently used model.
func (c *checkpointCache) oldest() int {
	oldest, oldestUse := -1, uint64(0)
	for index, entry := range c.entries {
		if oldest < 0 || entry.lastUse < oldestUse {
			oldest, oldestUse = index, entry.lastUse
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
