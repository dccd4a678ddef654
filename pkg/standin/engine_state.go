package standin

import (
	"sort"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// item is a model or adapter on the engine.
type item struct {
	engine.Item
	checkpoint string
	urgent     bool
	fetching   bool
	unloadedAt time.Time // while unloading: earliest time when the memory is free
}

// engineState is the state of an engine without its connections. It uses
// simulated time and is not safe for concurrent use.
type engineState struct {
	config   EngineConfig
	instance string
	now      time.Time

	fence      api.Fence
	lastOrder  engine.Order
	lastResult engine.OrderResult

	items   map[api.ModelName]*item
	role    string
	leaving bool

	unloadDelay time.Duration // added to the config's UnloadTime by a fault

	hostCache *checkpointCache
	diskCache *checkpointCache
	prefixes  *prefixCache
	batch     batch
	executed  map[string]int      // number of starts by idempotency key or request ID
	reports   []engine.LoadReport // oldest first; at most the first is older than the lag
	reportDue bool                // the state may have changed since the last report
}

func newEngineState(config EngineConfig, instance string, now time.Time) *engineState {
	return &engineState{
		config:    config,
		instance:  instance,
		now:       now,
		items:     map[api.ModelName]*item{},
		hostCache: newCheckpointCache(config.HostCacheBytes),
		diskCache: newCheckpointCache(config.DiskCacheBytes),
		prefixes:  newPrefixCache(config),
		executed:  map[string]int{},
		batch:     batch{generations: map[string]*generation{}},
	}
}

// itemBytes returns the memory used by weights and adapters.
func (s *engineState) itemBytes() uint64 {
	var total uint64
	for _, held := range s.items {
		if held.State != engine.ItemFailed {
			total += held.MemoryBytes
		}
	}
	return total
}

// kvBytes returns the size of the KV cache beyond its reserve if extra bytes
// were added.
func (s *engineState) kvBytes(extra uint64) uint64 {
	total := s.batch.kvBytes() + s.prefixes.bytes + extra
	if total <= s.config.KVReserveBytes {
		return 0
	}
	return total - s.config.KVReserveBytes
}

// fits reports whether the memory can hold that many more bytes.
func (s *engineState) fits(itemBytes, kvBytes uint64) bool {
	used := s.itemBytes() + s.kvBytes(kvBytes)
	return used <= s.config.MemoryBytes && itemBytes <= s.config.MemoryBytes-used
}

// makeRoomForItem shrinks the KV cache until an item of that many bytes fits. It
// evicts cached prefixes first, then preempts the least urgent running requests.
func (s *engineState) makeRoomForItem(bytes uint64) bool {
	if held := s.itemBytes(); held > s.config.MemoryBytes || bytes > s.config.MemoryBytes-held {
		return false
	}
	for !s.fits(bytes, 0) {
		if !s.prefixes.evictOldest() && !s.batch.preemptLeastUrgent() {
			return false
		}
	}
	return true
}

// makeRoomForKV evicts cached prefixes until that many bytes of KV cache fit.
func (s *engineState) makeRoomForKV(bytes uint64) bool {
	for !s.fits(0, bytes) {
		if !s.prefixes.evictOldest() {
			return false
		}
	}
	return true
}

// advance advances the state to now: it generates tokens, finishes unloads and
// expires requests.
func (s *engineState) advance(now time.Time) {
	for s.now.Before(now) {
		s.admit()
		step := min(s.stepLimit(), now.Sub(s.now))
		s.now = s.now.Add(step)
		s.batch.run(s.config, step, s.now)
		s.storePrefixes()
		s.finishUnloads()
		s.batch.expire(s.now, s.config.ResumeWindow)
	}
	s.admit()
	s.recordLoad()
}

// stepLimit returns for how long the rates stay constant.
func (s *engineState) stepLimit() time.Duration {
	limit := s.batch.nextChange(s.config)
	for _, held := range s.items {
		if wait := held.unloadedAt.Sub(s.now); held.State == engine.ItemUnloading && wait > 0 {
			limit = min(limit, wait)
		}
	}
	return limit
}

// nextEvent returns the time until the next visible change of the state, and
// false if nothing is in progress.
func (s *engineState) nextEvent() (time.Duration, bool) {
	limit, busy := s.batch.nextToken(s.config)
	if s.reportDue {
		limit, busy = min(limit, s.reportInterval()), true
	}
	for _, held := range s.items {
		if held.State == engine.ItemUnloading {
			limit, busy = min(limit, max(held.unloadedAt.Sub(s.now), time.Millisecond)), true
		}
	}
	return limit, busy
}

func (s *engineState) finishUnloads() {
	for name, held := range s.items {
		if held.State != engine.ItemUnloading || held.unloadedAt.After(s.now) || s.batch.runs(name) {
			continue
		}
		if held.Base == "" && s.hasAdapters(name) {
			continue
		}
		delete(s.items, name)
		s.prefixes.dropModel(name)
	}
}

func (s *engineState) hasAdapters(base api.ModelName) bool {
	for _, held := range s.items {
		if held.Base == base {
			return true
		}
	}
	return false
}

// serves reports whether the model is ready for requests.
func (s *engineState) serves(model api.ModelName) bool {
	held, ok := s.items[model]
	return ok && held.State == engine.ItemReady
}

// inventory raises the fence to the request's and returns the inventory.
func (s *engineState) inventory(request engine.InventoryRequest) engine.Inventory {
	s.fence = max(s.fence, request.Fence)
	kv := s.kvBytes(0)
	inventory := engine.Inventory{
		Instance:      s.instance,
		Fence:         s.fence,
		CapacityBytes: s.config.MemoryBytes,
		UsedBytes:     s.itemBytes() + kv,
		KVBytes:       kv,
		Leaving:       s.leaving,
		Role:          s.role,
	}
	for _, held := range s.items {
		inventory.Items = append(inventory.Items, held.Item)
	}
	sort.Slice(inventory.Items, func(i, j int) bool {
		return inventory.Items[i].Model < inventory.Items[j].Model
	})
	for _, name := range s.hostCache.names() {
		inventory.Cached = append(inventory.Cached, engine.CachedCheckpoint{Checkpoint: name, Tier: engine.TierMemory})
	}
	for _, name := range s.diskCache.names() {
		if !s.hostCache.has(name) {
			inventory.Cached = append(inventory.Cached, engine.CachedCheckpoint{Checkpoint: name, Tier: engine.TierDisk})
		}
	}
	return inventory
}

// recordLoad records the present load for later reports, unless the last record
// is younger than reportInterval.
func (s *engineState) recordLoad() {
	last := len(s.reports) - 1
	s.reportDue = last >= 0 && s.now.Sub(s.reports[last].AsOf) < s.reportInterval()
	if s.reportDue {
		return
	}
	report := engine.LoadReport{Instance: s.instance, AsOf: s.now, Leaving: s.leaving}
	for name, held := range s.items {
		if held.State == engine.ItemReady {
			report.Models = append(report.Models, s.batch.load(name, s.config))
		}
	}
	sort.Slice(report.Models, func(i, j int) bool { return report.Models[i].Model < report.Models[j].Model })
	s.reports = append(s.reports, report)
	for len(s.reports) > 1 && s.now.Sub(s.reports[1].AsOf) >= s.config.LoadReportLag {
		s.reports = s.reports[1:]
	}
}

// reportInterval is how often the load is recorded.
func (s *engineState) reportInterval() time.Duration {
	return s.config.LoadReportLag / 8
}

// load returns the load as it was LoadReportLag ago.
func (s *engineState) load() engine.LoadReport {
	seen := s.now.Add(-s.config.LoadReportLag)
	if len(s.reports) == 0 || s.reports[0].AsOf.After(seen) {
		return engine.LoadReport{Instance: s.instance, AsOf: seen}
	}
	report := s.reports[0]
	report.AsOf = seen
	return report
}
