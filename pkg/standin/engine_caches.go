package standin

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// maxCacheEvents is the number of cache events that an engine keeps for readers.
const maxCacheEvents = 4096

// bytesPerToken is the assumed length of a prompt token.
const bytesPerToken = 4

// checkpointCache is an LRU cache of checkpoints.
type checkpointCache struct {
	capacity uint64
	used     uint64
	sizes    map[string]uint64
	recency  []string // least recently used first
}

func newCheckpointCache(capacity uint64) *checkpointCache {
	return &checkpointCache{capacity: capacity, sizes: map[string]uint64{}}
}

func (c *checkpointCache) has(name string) bool {
	_, ok := c.sizes[name]
	return ok
}

func (c *checkpointCache) add(name string, size uint64) {
	if name == "" || size > c.capacity {
		return
	}
	c.remove(name)
	for c.used+size > c.capacity {
		c.remove(c.recency[0])
	}
	c.sizes[name] = size
	c.used += size
	c.recency = append(c.recency, name)
}

func (c *checkpointCache) remove(name string) {
	size, ok := c.sizes[name]
	if !ok {
		return
	}
	delete(c.sizes, name)
	c.used -= size
	for i, other := range c.recency {
		if other == name {
			c.recency = append(c.recency[:i:i], c.recency[i+1:]...)
			return
		}
	}
}

func (c *checkpointCache) names() []string {
	names := append([]string(nil), c.recency...)
	sort.Strings(names)
	return names
}

// prefixKey identifies a cached block of a prompt.
type prefixKey struct {
	model  api.ModelName
	prefix uint64
}

// timedCacheEvent is a cache event with the time from which readers see it.
type timedCacheEvent struct {
	engine.CacheEvent
	visible time.Time
}

// prefixCache is an LRU cache of prompt prefixes in blocks. Its events are
// delayed and some are lost.
type prefixCache struct {
	capacity   uint64
	blockBytes uint64
	bytes      uint64
	blocks     map[prefixKey]*list.Element
	recency    *list.List // of prefixKey, least recently used first

	lag      time.Duration
	gap      float64
	random   *rand.Rand
	sequence uint64
	events   []timedCacheEvent
	now      time.Time
}

func newPrefixCache(config EngineConfig) *prefixCache {
	return &prefixCache{
		capacity:   config.PrefixCacheBytes,
		blockBytes: engine.PrefixBlockBytes / bytesPerToken * config.KVBytesPerToken,
		blocks:     map[prefixKey]*list.Element{},
		recency:    list.New(),
		lag:        config.CacheEventLag,
		gap:        config.CacheEventGap,
		random:     rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

// match returns how many leading prefixes are cached and marks them as recently
// used.
func (c *prefixCache) match(model api.ModelName, prefixes []uint64) int {
	for i, prefix := range prefixes {
		element, ok := c.blocks[prefixKey{model, prefix}]
		if !ok {
			return i
		}
		c.recency.MoveToBack(element)
	}
	return len(prefixes)
}

// store adds the last block of the prefix. fits reports whether the memory can
// hold that many more bytes.
func (c *prefixCache) store(model api.ModelName, prefix uint64, fits func(bytes uint64) bool) {
	key := prefixKey{model, prefix}
	if _, ok := c.blocks[key]; ok || c.blockBytes > c.capacity {
		return
	}
	for c.bytes+c.blockBytes > c.capacity || !fits(c.blockBytes) {
		if !c.evictOldest() {
			return
		}
	}
	c.blocks[key] = c.recency.PushBack(key)
	c.bytes += c.blockBytes
	c.publish(key, true)
}

// evictOldest drops the least recently used block. It returns false if the cache
// is empty.
func (c *prefixCache) evictOldest() bool {
	element := c.recency.Front()
	if element == nil {
		return false
	}
	c.evict(element)
	return true
}

func (c *prefixCache) evict(element *list.Element) {
	key := c.recency.Remove(element).(prefixKey)
	delete(c.blocks, key)
	c.bytes -= c.blockBytes
	c.publish(key, false)
}

func (c *prefixCache) dropModel(model api.ModelName) {
	for element := c.recency.Front(); element != nil; {
		next := element.Next()
		if element.Value.(prefixKey).model == model {
			c.evict(element)
		}
		element = next
	}
}

func (c *prefixCache) publish(key prefixKey, stored bool) {
	c.sequence++
	if c.random.Float64() < c.gap {
		return
	}
	c.events = append(c.events, timedCacheEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.sequence, Model: key.model, Prefix: key.prefix, Stored: stored},
		visible:    c.now.Add(c.lag),
	})
	if excess := len(c.events) - maxCacheEvents; excess > 0 {
		c.events = c.events[excess:]
	}
}

// eventsAfter returns the events with a sequence number greater than after that
// are visible at now.
func (c *prefixCache) eventsAfter(after uint64, now time.Time) engine.CacheEvents {
	page := engine.CacheEvents{Events: []engine.CacheEvent{}}
	if len(c.events) > 0 {
		page.Oldest = c.events[0].Sequence
	}
	for _, event := range c.events {
		if event.Sequence > after && !event.visible.After(now) {
			page.Events = append(page.Events, event.CacheEvent)
		}
	}
	return page
}
