package cell

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/platform"
)

// Listed handles a machine list that was reduced to this cell's machines. A list
// older than the last one is ignored.
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

// machineListed handles a live or leaving machine.
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
		s.pollNoLaterThan(now) // the machine was replaced; the engine's instance shows what it holds
	}
	changed := s.Address != machine.Address || s.Zone != machine.Zone || s.MemoryBytes != machine.MemoryBytes
	if changed || s.listLeaving != (machine.State == platform.MachineLeaving) {
		o.noteChange()
	}
	if changed && s.admitted {
		o.dataChanged = true
	}
	s.Address, s.Zone, s.MemoryBytes = machine.Address, machine.Zone, machine.MemoryBytes
	s.machineInstance = machine.Instance
	s.listLeaving = machine.State == platform.MachineLeaving
}

// isProvablyGone reports whether a list as of the time asOf proves that
// everything the server may have held is gone. The machine may have come back
// after the list was made and have been loaded again:
//
//   - by this owner or a predecessor in the same epoch: then an instance was seen
//     later than asOf;
//   - by an owner of an earlier epoch, if the server is unknown: then an
//     instance was seen, and the record read, before this epoch was formed.
func (o *Owner) isProvablyGone(s *server, asOf time.Time) bool {
	if o.config.Unsafe.TrustOldList {
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

// machineGone drops a server and its replicas if the list proves that they are
// gone. Otherwise the server counts as leaving and is polled.
func (o *Owner) machineGone(now time.Time, id api.ServerID, asOf time.Time) {
	s, known := o.servers[id]
	if !known {
		return
	}
	if !o.isProvablyGone(s, asOf) {
		s.listLeaving = true
		s.pollNoLaterThan(now)
		return
	}
	for _, r := range o.replicasOn(id) {
		o.drop(now, r)
	}
	delete(o.servers, id)
	o.serverOrder = nil
	o.dataChanged = o.dataChanged || s.admitted
	o.noteChange()
}

// Servers returns all servers that the table service must record, sorted by ID:
// those in use, and those that may be used once they are recorded.
func (o *Owner) Servers() []quorum.Server {
	servers := make([]quorum.Server, 0, len(o.servers))
	for _, s := range o.sortedServers() {
		servers = append(servers, s.Server)
	}
	return servers
}

// Recorded notes that the record in the table service names these servers.
func (o *Owner) Recorded(now time.Time, servers []quorum.Server) {
	for _, recorded := range servers {
		s, known := o.servers[recorded.ID]
		if known && !s.admitted {
			o.admit(now, s)
		}
	}
}

// admit adds a recorded server to the data to commit. It is used once the group
// has committed it.
func (o *Owner) admit(now time.Time, s *server) {
	s.admitted = true
	s.pollAt = now
	o.dataChanged = true
	o.noteChange()
}
