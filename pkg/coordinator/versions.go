package coordinator

import (
	"slices"
	"sync"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/revision"
)

// The holder follows which services are served by one software version alone, and tells all nodes with their
// heartbeats: a stream of which nobody knows where it began can only continue at such a service.

// versionWatch is what the holder knows of the versions of servers. It is safe for concurrent use.
type versionWatch struct {
	mu      sync.Mutex
	term    uint64
	history lineage.VersionHistory
	asOf    revision.Revision   // of the store at the last observation, or before
	seen    revision.Revision   // list of servers that current was made from
	current map[string][]string // versions of the listed servers, by service; nil: none were seen in this term
	mixed   map[string]bool     // services that several versions served when last logged
}

// beginVersions takes over what the lease's record tells, at the start of a term.
func (h *Holder) beginVersions(term uint64, recorded []lineage.SoleVersion) {
	w := &h.versions
	w.mu.Lock()
	defer w.mu.Unlock()
	w.term, w.current = term, nil
	w.history.Inherit(recorded, h.Lease.FirstStart && term == firstTerm)
}

// firstTerm is the first term of a lease.
const firstTerm = 1

// observeVersions records which versions the listed servers have, if the list is complete and up to date.
func (h *Holder) observeVersions() {
	if h.Complete != nil && !h.Complete() || h.ListAge != nil && h.ListAge() > maxListAge {
		return
	}
	asOf := h.listRevision() // before the snapshot, which may be newer
	snapshot := h.Servers.Snapshot()
	w := &h.versions
	now := h.Lease.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil || w.seen != snapshot.Version() {
		w.seen, w.current = snapshot.Version(), make(map[string][]string)
		for _, m := range snapshot.Members() {
			if list := w.current[m.Service]; !slices.Contains(list, m.Software) {
				w.current[m.Service] = append(list, m.Software)
			}
		}
		h.logMixed(w)
	}
	w.history.Observe(now, w.current)
	w.asOf = asOf
}

// listRevision returns the revision of the store at which the list of servers was last confirmed; zero: unknown.
func (h *Holder) listRevision() revision.Revision {
	if h.ListRevision == nil {
		return 0
	}
	return h.ListRevision()
}

// maxListAge is the age beyond which a list of servers may lack a version that came and went since: a server
// is listed for as long as it drains, and after a crash for some heartbeats.
const maxListAge = 2 * time.Second

// logMixed logs the services that began or ceased to be served by several versions. The caller holds the
// watch's mu.
func (h *Holder) logMixed(w *versionWatch) {
	if w.mixed == nil {
		w.mixed = make(map[string]bool)
	}
	for service, list := range w.current {
		if mixed := len(list) > 1; mixed != w.mixed[service] {
			w.mixed[service] = mixed
			h.Logger.Info("software versions of a service changed", "service", service, "versions", list, "ver", w.seen)
		}
	}
}

// SoleVersions returns the versions that serve a service alone, for the record of a term.
func (h *Holder) SoleVersions(term uint64) ([]lineage.SoleVersion, bool) {
	h.versions.mu.Lock()
	defer h.versions.mu.Unlock()
	if h.versions.term != term || h.versions.current == nil {
		return nil, false
	}
	return h.versions.history.Sole(), true
}

// soleAsOf returns the revision of the store at which the versions that SoleVersions returns served alone, or an earlier one.
func (h *Holder) soleAsOf() revision.Revision {
	h.versions.mu.Lock()
	defer h.versions.mu.Unlock()
	return h.versions.asOf
}

// knownSole is what the last heartbeat's answer told of versions that serve a service alone.
type knownSole struct {
	at       time.Time         // when the heartbeat was sent
	asOf     revision.Revision // of the store when they were seen, or before; zero: unknown
	versions []lineage.SoleVersion
}

// soleLifetime is how long a node relies on what a holder told, if no holder answers.
const soleLifetime = 5 * time.Second

// SoleVersion returns the software version that serves a service alone, and for how long at least it has; an
// empty service if that is not known.
func (m *Member) SoleVersion(service string) lineage.SoleVersion {
	return m.sole.Load().of(service, m.Time.Now())
}

// of returns what is known of a service; an empty service if nothing is, or if it was told too long ago.
func (k *knownSole) of(service string, now time.Time) lineage.SoleVersion {
	if k == nil || now.Sub(k.at) > soleLifetime {
		return lineage.SoleVersion{}
	}
	for _, v := range k.versions {
		if v.Service == service {
			return v
		}
	}
	return lineage.SoleVersion{}
}

// ServedAlone returns for how long at least one software version has served a service alone; zero if several
// serve it, lineage.Always if neither the holder nor this node's list tells so.
func (m *Member) ServedAlone(service string) time.Duration {
	listed := m.Servers.Snapshot().Service(service)
	for _, s := range listed {
		if s.Software != listed[0].Software {
			return 0
		}
	}
	if known := m.sole.Load(); known == nil || m.Time.Since(known.at) > soleLifetime {
		return lineage.Always
	}
	if sole := m.SoleVersion(service); sole.Service != "" {
		return sole.Served()
	}
	return 0
}

// software returns the version of the server's software; empty if the server isn't listed.
func (s *serverState) software() string {
	if s.member == nil {
		return ""
	}
	return s.member.Software
}

// markSole marks the replicas that are the only ones ready at their software version, if servers of several
// versions hold the model: streams that began there can continue at no other. versions are those of the replicas'
// servers.
func markSole(replicas []policy.Replica, versions []string) {
	ready := make(map[string]int, 2)
	for i, r := range replicas {
		if r.State == api.ReplicaReady {
			ready[versions[i]]++
		}
	}
	if len(ready) < 2 {
		return
	}
	for i := range replicas {
		replicas[i].Sole = replicas[i].State == api.ReplicaReady && ready[versions[i]] == 1
	}
}
