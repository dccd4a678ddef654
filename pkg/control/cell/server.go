package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
)

// maxSequence is the last sequence number of fences within a term.
const maxSequence = 1<<24 - 1

// unreachableAfter is the number of failed inventories in a row after which a
// server counts as out of reach.
const unreachableAfter = 2

// server is what the owner knows of one server.
type server struct {
	quorum.Server
	admitted  bool      // in the owner's data
	committed bool      // in the group's committed data
	knownAt   time.Time // to this owner

	machineInstance string // of the platform's list
	listLeaving     bool
	engineLeaving   bool

	fenced      bool      // its inventory was read at this owner's fence
	instance    string    // of the engine, when fenced
	instanceAt  time.Time // when the instance was first seen
	capacity    uint64    // as the engine says
	reachable   bool
	failures    int       // inventories failed in a row
	lastContact time.Time // when the last answered request was sent
	cached      map[string]engine.CacheTier

	sequence  uint32
	operation *operation
	pollAt    time.Time
}

// operation is the one order or inventory under way to a server. There is
// never a second one: so all orders before an inventory are settled by it.
type operation struct {
	fence  api.Fence
	sentAt time.Time
	order  *engine.Order // nil for an inventory
}

func (s *server) leaving() bool {
	return s.listLeaving || s.engineLeaving
}

// capacityBytes is the memory that may be reserved: the smaller of what the
// platform and the engine say.
func (s *server) capacityBytes() uint64 {
	if s.capacity == 0 {
		return s.MemoryBytes
	}
	if s.MemoryBytes == 0 {
		return s.capacity
	}
	return min(s.capacity, s.MemoryBytes)
}

// takesLoads tells whether a load may be ordered from the server.
func (s *server) takesLoads() bool {
	usable := s.admitted && s.committed && s.fenced && s.Instance == s.instance
	return usable && s.failures == 0 && !s.leaving()
}

// settleWindow is the time that a server or an engine instance which is new to
// the owner usually needs to be recorded, committed, fenced and verified.
const settleWindow = 5 * time.Second

// settles tells whether the server is expected to take loads shortly.
func (s *server) settles(now time.Time) bool {
	since := s.knownAt
	if s.instanceAt.After(since) {
		since = s.instanceAt
	}
	waits := !s.fenced || s.unverified()
	return waits && !s.leaving() && s.failures < unreachableAfter && now.Sub(since) < settleWindow
}

// pollBy moves the next inventory forward to at, if it is later.
func (s *server) pollBy(at time.Time) {
	if s.pollAt.After(at) {
		s.pollAt = at
	}
}

// nextFence returns a fence above all that this owner has given to the server.
func (o *Owner) nextFence(s *server) api.Fence {
	s.sequence++
	if s.sequence >= maxSequence {
		o.exhausted = true
	}
	return api.MakeFence(o.start.Term, s.sequence)
}

// unverified tells whether the record must be read once more before the present
// instance of the engine is loaded on.
func (s *server) unverified() bool {
	return s.committed && s.fenced && s.Instance != s.instance
}

// Unverified tells whether there is an engine instance that the owner may not
// load on before it has read the cell's record once more.
func (o *Owner) Unverified() bool {
	for _, s := range o.servers {
		if s.unverified() {
			return true
		}
	}
	return false
}

// Verified tells that the record, read or written by a call that began at the
// time since, was still of this owner's epoch.
func (o *Owner) Verified(since time.Time) {
	for _, s := range o.servers {
		if s.unverified() && !s.instanceAt.After(since) {
			s.Instance = s.instance
			o.dirty = true
			o.news()
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

func (o *Owner) readInventory(now time.Time, s *server, sink Sink) {
	fence := o.nextFence(s)
	if o.config.Unsafe.NoFence {
		fence = 0
	}
	s.operation = &operation{fence: fence, sentAt: now}
	sink.ReadInventory(s.ID, s.Address, engine.InventoryRequest{Fence: fence})
}

// expireOperation gives up waiting for an answer. An order is then in doubt
// until the next inventory.
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
	o.orderInDoubt(now, s, *op.order)
}

// inventoryFailed notes that the engine did not answer.
func (o *Owner) inventoryFailed(now time.Time, s *server) {
	s.failures++
	pause := o.config.Timing.UnreachableRetry << min(s.failures-1, 8)
	pause = min(pause, o.config.Timing.UnreachableMax)
	s.pollAt = now.Add(pause + o.jitter(pause/4))
	if s.reachable && s.failures >= unreachableAfter {
		s.reachable = false
		o.news()
	}
}

// jitter returns a random duration up to limit.
func (o *Owner) jitter(limit time.Duration) time.Duration {
	return time.Duration(o.config.Random.Int64N(int64(limit) + 1))
}
