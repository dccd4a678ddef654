package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// maxSequence is the last sequence number of the fences of a term.
const maxSequence = 1<<24 - 1

// unreachableAfter is the number of failed inventories in a row after which a
// server counts as unreachable.
const unreachableAfter = 2

// server is the owner's state for one server.
type server struct {
	quorum.Server
	admitted  bool      // part of the owner's data
	committed bool      // part of the group's committed data
	knownAt   time.Time // when this owner first knew of the server

	machineInstance string // machine instance in the platform's list
	// listLeaving and engineLeaving mean that the platform or the engine
	// announced that the server leaves.
	listLeaving   bool
	engineLeaving bool

	fenced           bool      // its inventory was read with this owner's fence
	instance         string    // engine instance in the last inventory
	instanceAt       time.Time // when the instance was first seen
	reportedCapacity uint64    // memory in bytes as reported by the engine
	reachable        bool
	failures         int       // failed inventories in a row
	lastContact      time.Time // when the last answered inventory request was sent
	// cached holds the cache tiers of the checkpoints that the server has cached.
	cached map[string]engine.CacheTier

	sequence  uint32     // sequence number of the last fence
	operation *operation // pending order or inventory, if any
	pollAt    time.Time  // when the next inventory is due
}

// operation is the pending order or inventory request to a server. There is at
// most one per server, so that an inventory settles all earlier orders.
type operation struct {
	fence  api.Fence
	sentAt time.Time
	order  *engine.Order // nil for an inventory request
}

// leaving reports whether the platform or the engine announced that the server
// leaves.
func (s *server) leaving() bool {
	return s.listLeaving || s.engineLeaving
}

// capacityBytes returns the memory that may be reserved: the smaller of the
// values that platform and engine report.
func (s *server) capacityBytes() uint64 {
	if s.reportedCapacity == 0 {
		return s.MemoryBytes
	}
	if s.MemoryBytes == 0 {
		return s.reportedCapacity
	}
	return min(s.reportedCapacity, s.MemoryBytes)
}

// acceptsLoads reports whether a load may be ordered on the server.
func (s *server) acceptsLoads() bool {
	usable := s.admitted && s.committed && s.fenced && s.Instance == s.instance
	return usable && s.failures == 0 && !s.leaving()
}

// settleWindow is the time that a new server or engine instance usually needs to
// be recorded, committed, fenced and verified.
const settleWindow = 5 * time.Second

// isSettling reports whether the server is expected to accept loads shortly.
func (s *server) isSettling(now time.Time) bool {
	since := s.knownAt
	if s.instanceAt.After(since) {
		since = s.instanceAt
	}
	waits := !s.fenced || s.unverified()
	return waits && !s.leaving() && s.failures < unreachableAfter && now.Sub(since) < settleWindow
}

// pollNoLaterThan moves the next inventory forward to at if it is due later.
func (s *server) pollNoLaterThan(at time.Time) {
	if s.pollAt.After(at) {
		s.pollAt = at
	}
}

// nextFence returns a fence above all that this owner has sent to the server.
func (o *Owner) nextFence(s *server) api.Fence {
	s.sequence++
	if s.sequence >= maxSequence {
		o.exhausted = true
	}
	return api.MakeFence(o.start.Term, s.sequence)
}

// unverified reports whether the record must be read again before the current
// engine instance may be loaded on.
func (s *server) unverified() bool {
	return s.committed && s.fenced && s.Instance != s.instance
}

// Unverified reports whether there is an engine instance that may not be loaded
// on before the owner has read the cell's record again.
func (o *Owner) Unverified() bool {
	for _, s := range o.servers {
		if s.unverified() {
			return true
		}
	}
	return false
}

// Verified notes that the record still had this owner's epoch in a read or write
// that began at the time since.
func (o *Owner) Verified(since time.Time) {
	for _, s := range o.servers {
		if s.unverified() && !s.instanceAt.After(since) {
			s.Instance = s.instance
			o.dataChanged = true
			o.noteChange()
		}
	}
}

// pollServers reads the inventories that are due.
func (o *Owner) pollServers(now time.Time, sink Sink) {
	for _, s := range o.sortedServers() {
		if !s.admitted || s.Address == "" {
			continue
		}
		o.expireOperation(now, s)
		if s.operation == nil && !now.Before(s.pollAt) {
			o.readInventory(now, s, sink)
		}
	}
}

// readInventory requests an inventory with the next fence.
func (o *Owner) readInventory(now time.Time, s *server, sink Sink) {
	fence := o.nextFence(s)
	if o.config.Unsafe.NoFence {
		fence = 0
	}
	s.operation = &operation{fence: fence, sentAt: now}
	sink.ReadInventory(s.ID, s.Address, engine.InventoryRequest{Fence: fence})
}

// expireOperation stops waiting for an overdue answer. The outcome of an order is
// then unknown until the next inventory.
func (o *Owner) expireOperation(now time.Time, s *server) {
	op := s.operation
	if op == nil || now.Sub(op.sentAt) < o.config.Timing.OperationTimeout {
		return
	}
	s.operation = nil
	s.pollAt = now
	if op.order == nil {
		o.inventoryFailed(now, s)
		return
	}
	o.orderOutcomeUnknown(now, s, *op.order)
}

// inventoryFailed handles an inventory request that failed or timed out, with
// exponential back-off.
func (o *Owner) inventoryFailed(now time.Time, s *server) {
	s.failures++
	pause := o.config.Timing.UnreachableRetry << min(s.failures-1, 8)
	pause = min(pause, o.config.Timing.UnreachableMax)
	s.pollAt = now.Add(pause + o.jitter(pause/4))
	if s.reachable && s.failures >= unreachableAfter {
		s.reachable = false
		o.noteChange()
	}
}

// jitter returns a random duration up to limit.
func (o *Owner) jitter(limit time.Duration) time.Duration {
	return time.Duration(o.config.Random.Int64N(int64(limit) + 1))
}
