package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/route"
)

// A stream may continue only at servers of the software version that brought its first event: what two
// versions write does not fit together, and servers do not check it. This holds within an answer and for
// the further attempts of its caller, at any node.

// Lineage knows at which software version streams began. A lineage.Register implements it.
type Lineage interface {
	// Began records where a stream began, or continues. Its caller may take it up within the given time.
	Began(key lineage.Key, o lineage.Origin, left time.Duration)
	// Complete records that a stream was sent to its end.
	Complete(key lineage.Key)
	// Find looks for the origin of a stream, if necessary at other nodes.
	Find(ctx context.Context, key lineage.Key) lineage.Found
	// FindStored looks for the origin of a stream that no node knows.
	FindStored(ctx context.Context, key lineage.Key) lineage.Found
}

// maxRequestIDBytes limits the ID by which a caller names the attempt that its stream began with.
const maxRequestIDBytes = 200

// resumeMargin is how much longer than its caller waits a stream is known: its next attempt may be under way.
const resumeMargin = time.Second

// takesUp reports whether the request continues a stream of an earlier attempt of its caller.
func (c *call) takesUp() bool {
	return c.route.Kind == route.Stream && (c.lastEvent != "" || c.record.resumes != "")
}

// bindToOrigin binds a request that takes a stream up to the service and software version that the stream
// began at. If it returns false, the request was answered.
func (c *call) bindToOrigin(ctx context.Context) bool {
	if c.relay.Lineage == nil || !c.takesUp() {
		return true
	}
	if named := c.http.Header[c.relay.Headers.Resumes]; len(named) > 1 || len(c.record.resumes) > maxRequestIDBytes {
		c.refuse(badResumes)
		return false
	}
	found := c.findOrigin(ctx)
	c.record.origin = found
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx, context.Cause(ctx))
		return false
	case !found.Known:
		c.refuse(c.notServed(reasonVersionUnknown, defaultRetryAfter))
		return false
	case !c.route.LeadsTo(found.Service):
		c.refuse(c.notServed(reasonOtherService, 0))
		return false
	}
	if found.Service != c.service {
		c.useService(found.Service)
	}
	c.pinned, c.software = true, found.Software
	return true
}

// findOrigin returns where the stream that the request takes up began.
func (c *call) findOrigin(ctx context.Context) lineage.Found {
	var found lineage.Found
	if c.record.resumes != "" {
		found = c.relay.Lineage.Find(ctx, c.streamKey(c.record.resumes))
	}
	if found.Known || found.Conflicting {
		return found
	}
	if software, sole := c.confirmedSole(ctx); sole {
		found.Known, found.Origin, found.From = true, lineage.Origin{Service: c.service, Software: software}, soleVersionOnly
		return found
	}
	if c.record.resumes != "" {
		if stored := c.relay.Lineage.FindStored(ctx, c.streamKey(c.record.resumes)); stored.Known || stored.Conflicting {
			return stored
		}
	}
	return found
}

// soleVersionOnly stands in Found.From for the knowledge that the service had one version only.
const soleVersionOnly = "one version alone"

// confirmedSole is soleVersion, confirmed after the caller has come back. Until then its stream may have begun at a version that this node
// and the holder have not heard of.
func (c *call) confirmedSole(ctx context.Context) (string, bool) {
	software, alone := c.soleVersion()
	if !alone || c.relay.ConfirmSole == nil {
		return software, alone
	}
	confirmed, err := c.relay.ConfirmSole(ctx, c.service)
	if err != nil {
		c.record.soleErr = err
		return "", false
	}
	return c.aloneForLong(confirmed)
}

// soleVersion returns the only software version that has served the service for as long as the stream may be
// old, false if there may have been others. It is as old as what this node was told.
func (c *call) soleVersion() (string, bool) {
	if c.relay.SoleVersion == nil {
		return "", false
	}
	return c.aloneForLong(c.relay.SoleVersion(c.service))
}

// aloneForLong returns the version of sole if that has served for as long as the stream may be old, and this node knows of no other.
func (c *call) aloneForLong(sole lineage.SoleVersion) (string, bool) {
	if sole.Service == "" || sole.Served() < maxStreamAges*max(c.route.Timeout, c.record.callerTimeout) {
		return "", false
	}
	snapshot := c.relay.Servers.Snapshot()
	for _, listed := range [][]*backend.Member{snapshot.Service(c.service), snapshot.Vanished(c.service)} {
		for _, m := range listed {
			if m.Software != sole.Software { // newer than what the holder told, or gone since
				return "", false
			}
		}
	}
	return sole.Software, true
}

// maxStreamAges is how old a stream that its caller takes up may be, as a multiple of what a caller waits: a
// route's limit holds for each attempt.
const maxStreamAges = 2

// streamKey returns the key of a stream that began with an attempt of the request's caller.
func (c *call) streamKey(attempt string) lineage.Key {
	tenant := ""
	if c.tenant != nil {
		tenant = c.tenant.Name
	}
	return lineage.KeyOf(tenant, attempt)
}

// pin binds the stream to the software version of the server that its first event comes from, and lets
// other nodes know. It is called before events are sent to the caller.
func (c *call) pin(m *backend.Member) {
	if !c.pinned {
		c.pinned, c.software = true, m.Software
	}
	if c.streamKeys == nil && c.relay.Lineage != nil && c.route.Resumable && c.id != "" {
		c.tellOrigin()
	}
}

// tellOrigin lets other nodes know the origin of the stream, by this attempt and by the one that the caller
// says it began with.
func (c *call) tellOrigin() {
	c.streamKeys = []lineage.Key{c.streamKey(c.id)}
	if c.record.resumes != "" {
		c.streamKeys = append(c.streamKeys, c.streamKey(c.record.resumes))
	}
	left := c.record.callerTimeout
	if left <= 0 {
		left = max(c.route.Timeout, defaultTimeout)
	}
	for _, key := range c.streamKeys {
		c.relay.Lineage.Began(key, lineage.Origin{Service: c.service, Software: c.software}, left+resumeMargin)
	}
}

// noteComplete records that the whole stream was sent to the caller.
func (c *call) noteComplete() {
	for _, key := range c.streamKeys {
		c.relay.Lineage.Complete(key)
	}
}

// probe returns the probe that goes before a stream: another version may have replaced the server under its name and
// address before its record tells so, and before a copy of the stream was made there. A stream that continues must not go on
// there, and one that begins would be taken for one of the version in the record.
func (c *call) probe(m *backend.Member) *backend.Probe {
	begins := !c.pinned && c.route.Kind == route.Stream && c.engine != nil // other servers need not know how to report
	if !c.pinned && !begins || c.relay.Identify == nil {
		return nil
	}
	p := c.relay.Identify(m)
	if p != nil && begins {
		_, p.IfInDoubt = c.soleVersion()
	}
	return p
}

// servers returns the servers of the service that may continue or, if it has not begun, run the
// request, whatever their condition.
func (c *call) servers() []*backend.Member {
	all := c.relay.Servers.Snapshot().Service(c.service)
	if !c.pinned {
		return all
	}
	var fitting []*backend.Member
	for _, m := range all {
		if c.fits(m) {
			fitting = append(fitting, m)
		}
	}
	return fitting
}

// fits reports whether a server has the software version that the request is bound to, if any.
func (c *call) fits(m *backend.Member) bool { return !c.pinned || m.Software == c.software }

// mayUse is fits for a server by its ID. An unknown one may.
func (c *call) mayUse(server string) bool {
	m := c.relay.Servers.Snapshot().Member(server)
	return m == nil || c.fits(m)
}

// versionGone reports whether no server of the version that the stream is bound to takes it.
func (c *call) versionGone() bool {
	return c.versionLeaves() && c.chooseLeaving(c.relay.Time.Now()) == nil
}

// versionLeaves reports whether no server of the version that the stream is bound to accepts new requests. Once
// the stream has events, it may be called by other goroutines as well.
func (c *call) versionLeaves() bool {
	return c.pinned && !slices.ContainsFunc(c.servers(), func(m *backend.Member) bool { return !m.Withdrawn() })
}

// listsAll reports whether no other node can know a server that could serve the request.
func (c *call) listsAll() bool {
	return c.relay.ListsAll == nil || c.relay.ListsAll()
}

// chooseLeaving picks a server that leaves for a stream that can continue at no other server, or returns nil
// if none takes it. New requests, and streams that other servers can continue, do not go there.
func (c *call) chooseLeaving(now time.Time) *backend.Member {
	if !c.pinned {
		return nil
	}
	var best *backend.Member
	leaving := append(c.servers(), c.relay.Servers.Snapshot().Vanished(c.service)...)
	for _, i := range rand.Perm(len(leaving)) {
		m := leaving[i]
		if m.ServesLeaving(now, c.need) && c.mayUseLeaving(m) && !slices.Contains(c.tried, m.ID) && (best == nil || m.InFlight() < best.InFlight()) {
			best = m
		}
	}
	return best
}

// mayUseLeaving reports whether the request may be sent to a server that leaves: it continues a stream of its
// version, and the server is known to serve yet.
func (c *call) mayUseLeaving(m *backend.Member) bool {
	return c.pinned && c.fits(m) && m.Leaving() && !m.Evacuated() && m.LeaveSeen() && !m.Limited() && c.relay.servesYet(m)
}
