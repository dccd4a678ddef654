package lineage

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// SoleVersion is a software version that served a service alone during some time. Times are by the platform
// store's clock, in milliseconds.
type SoleVersion struct {
	Service  string
	Software string
	Since    int64 // zero: since the site started for the first time
	Until    int64 // when the servers were last seen
}

// MaxUnobserved is how long nobody may have seen the servers of a service without ending the time for which a
// version has served it alone. It covers a change of the holder of the lease. A server is listed for seconds,
// so that a version may come and go unseen only at such a change.
const MaxUnobserved = 10 * time.Second

// maxSoleVersions bounds the services that a VersionHistory keeps, as it is part of the lease's record.
const maxSoleVersions = 64

// VersionHistory follows which services are served by one software version alone. The zero value has not seen
// any.
type VersionHistory struct {
	sole       []SoleVersion // as last seen, by service
	firstStart bool          // the site started for the first time, and no server was seen yet
}

// Inherit sets what an earlier holder of the lease saw. firstStart tells that the site has just started for
// the first time, so that no stream began before.
func (h *VersionHistory) Inherit(earlier []SoleVersion, firstStart bool) {
	h.sole, h.firstStart = slices.Clone(earlier), firstStart
}

// Observe records which software versions the servers of each service have now.
func (h *VersionHistory) Observe(now int64, versions map[string][]string) {
	next := make([]SoleVersion, 0, len(versions))
	for service, list := range versions {
		if len(list) == 1 {
			next = append(next, SoleVersion{Service: service, Software: list[0], Since: h.since(now, service, list[0]), Until: now})
		}
	}
	for _, s := range h.sole { // without servers, a service is served by no other version
		if _, listed := versions[s.Service]; !listed && !s.expired(now) {
			s.Until = now
			next = append(next, s)
		}
	}
	slices.SortFunc(next, func(a, b SoleVersion) int { return cmp.Compare(a.Service, b.Service) })
	h.sole = next[:min(len(next), maxSoleVersions)]
	h.firstStart = h.firstStart && len(versions) == 0
}

// since returns since when a version, which does now, has served a service alone.
func (h *VersionHistory) since(now int64, service, software string) int64 {
	if h.firstStart {
		return 0
	}
	for _, s := range h.sole {
		if s.Service == service && s.Software == software && !s.expired(now) {
			return s.Since
		}
	}
	return now
}

// expired reports whether nobody saw the service's servers for too long.
func (s SoleVersion) expired(now int64) bool {
	return time.Duration(now-s.Until)*time.Millisecond > MaxUnobserved
}

// Sole returns the versions that serve a service alone.
func (h *VersionHistory) Sole() []SoleVersion { return slices.Clone(h.sole) }

// Served returns for how long, at least, the version served alone before it was last seen.
func (s SoleVersion) Served() time.Duration {
	if s.Since == 0 {
		return Always
	}
	return time.Duration(max(s.Until-s.Since, 0)) * time.Millisecond
}

// Always stands for the time since the first start of a site.
const Always time.Duration = math.MaxInt64
