package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/platform"
)

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

// Servers returns all servers that the table service must record, in order of
// ID: those in use, and those that may be used once they are recorded.
func (o *Owner) Servers() []quorum.Server {
	servers := make([]quorum.Server, 0, len(o.servers))
	for _, s := range o.sortedServers() {
		servers = append(servers, s.Server)
	}
	return servers
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

// admit lets a recorded server be used once the group has committed it.
func (o *Owner) admit(now time.Time, s *server) {
	s.admitted = true
	s.pollAt = now
	o.dirty = true
	o.news()
}
