package relay

import (
	"slices"

	"martenwheel.dev/pkg/backend"
)

// A stream may continue only at servers of the software version that brought its first event: what two
// versions write does not fit together, and servers do not check it.

// pin binds the stream to the software version of the server that its first event comes from. It is
// called before that event is sent to the caller.
func (c *call) pin(m *backend.Member) {
	if !c.pinned {
		c.pinned, c.software = true, m.Software
	}
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

// versionGone reports whether no server of the version that the stream is bound to accepts requests.
func (c *call) versionGone() bool {
	return c.pinned && !slices.ContainsFunc(c.servers(), func(m *backend.Member) bool { return !m.Withdrawn() })
}
