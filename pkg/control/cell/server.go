package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/platform"
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

// Listed takes over a list of machines; those of other cells have been left
// out. An older list than the last one is ignored.
func (o *Owner) Listed(now time.Time, list platform.MachineList) {
	if list.Version < o.listVersion {
		return
	}
	o.listVersion = list.Version
	listed := make(map[api.ServerID]bool, len(list.Machines))
	for _, machine := range list.Machines {
		id := api.ServerID(machine.ID)
		listed[id] = true
		if machine.State == platform.MachineGone {
			o.machineGone(now, id, list.AsOf)
			continue
		}
		o.machineListed(now, machine, list.Version)
	}
	for id, s := range o.servers {
		if !listed[id] && list.Version >= s.ListVersion {
			o.machineGone(now, id, list.AsOf)
		}
	}
}

// machineListed takes over a live or leaving machine.
func (o *Owner) machineListed(now time.Time, machine platform.Machine, version uint64) {
	id := api.ServerID(machine.ID)
	s, known := o.servers[id]
	if !known {
		if machine.State == platform.MachineLeaving {
			return
		}
		s = &server{Server: quorum.Server{ID: id, ListVersion: version}, knownAt: now}
		o.servers[id] = s
		o.serverOrder = nil
	}
	if known && s.machineInstance != "" && s.machineInstance != machine.Instance {
		s.pollBy(now) // replaced: the engine's instance tells what it holds
	}
	changed := s.Address != machine.Address || s.Zone != machine.Zone || s.MemoryBytes != machine.MemoryBytes
	if changed || s.listLeaving != (machine.State == platform.MachineLeaving) {
		o.news()
	}
	if changed && s.admitted {
		o.dirty = true
	}
	s.Address, s.Zone, s.MemoryBytes = machine.Address, machine.Zone, machine.MemoryBytes
	s.machineInstance = machine.Instance
	s.listLeaving = machine.State == platform.MachineLeaving
}

// goneFor tells whether a list of the time asOf proves that whatever the server
// may hold is gone. A machine may have come back since the list was made, and
// been loaded on again:
//
//   - by this owner or one before it in the epoch: then an instance was seen
//     later than asOf;
//   - by an owner of an earlier epoch, if the server is unknown: then an
//     instance was seen, and the record read, before this epoch was formed.
func (o *Owner) goneFor(s *server, asOf time.Time) bool {
	if o.config.Unsafe.BelieveList {
		return true
	}
	latest := s.lastContact
	if s.Unknown && o.start.Data.FormedAt.After(latest) {
		latest = o.start.Data.FormedAt
	}
	for _, r := range o.replicasOn(s.ID) {
		if r.intent.SeenAt.After(latest) {
			latest = r.intent.SeenAt
		}
	}
	return asOf.After(latest.Add(o.config.Timing.ClockSkew))
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

// machineGone drops a server with all that it held, if the list proves it.
func (o *Owner) machineGone(now time.Time, id api.ServerID, asOf time.Time) {
	s, known := o.servers[id]
	if !known {
		return
	}
	if !o.goneFor(s, asOf) {
		s.listLeaving = true
		s.pollBy(now)
		return
	}
	for _, r := range o.replicasOn(id) {
		o.drop(now, r)
	}
	delete(o.servers, id)
	o.serverOrder = nil
	o.dirty = o.dirty || s.admitted
	o.news()
}

// Unrecorded returns the servers that the table service must record before
// they can be used, in order of ID.
func (o *Owner) Unrecorded() []quorum.Server {
	var unrecorded []quorum.Server
	for _, s := range o.sortedServers() {
		if !s.admitted {
			unrecorded = append(unrecorded, s.Server)
		}
	}
	return unrecorded
}

// Recorded tells that the record of the table service names these servers.
func (o *Owner) Recorded(now time.Time, servers []quorum.Server) {
	for _, recorded := range servers {
		s, known := o.servers[recorded.ID]
		if known && !s.admitted {
			o.admit(now, s)
		}
	}
}

func (o *Owner) admit(now time.Time, s *server) {
	s.admitted = true
	s.pollAt = now
	o.dirty = true
	o.news()
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
