package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/relay"
)

// Locate asks a node that knows all servers for some that hold what a request needs. Nodes of a large site know only
// part of the servers.
type Locate struct {
	Service string
	Need    string
	Zone    string // servers in this zone are preferred
	// Bound restricts the answer to servers of one software version. Earlier builds ignore it.
	Bound    bool
	Software string // the version, if Bound
}

// Located answers Locate.
type Located struct {
	Servers []string // IDs of incarnations; none: no server holds it
}

// Limits of a search for servers.
const (
	// locateTimeout bounds the wait for the answer, and for the details of the servers; after it the holder is
	// asked.
	locateTimeout = 200 * time.Millisecond
	// maxLocated is how many servers an answer lists: several, so that the requests of a node are spread and the
	// loss of one server is tolerated.
	maxLocated = 3
)

// answerLocate answers Locate from the servers that this node knows.
func (m *Member) answerLocate(l Locate) Located {
	now := m.Time.Now()
	need := backend.ParseNeed(l.Need)
	servers := m.Servers.Snapshot().Service(l.Service)
	var near, far []string
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i]
		if !s.Serves(now, need) || s.Avoid(now) || l.Bound && s.Software != l.Software {
			continue
		}
		if s.Zone == l.Zone {
			near = append(near, s.ID)
		} else {
			far = append(far, s.ID)
		}
		if len(near) == maxLocated {
			break
		}
	}
	found := append(near, far...)
	return Located{Servers: found[:min(len(found), maxLocated)]}
}

// locateServer searches for servers that hold what a request needs among those that this node does not know, and loads
// their details. It returns one of them, "" if there is none or no answer.
func (m *Member) locateServer(ctx context.Context, w relay.LoadRequest) string {
	if m.NearestFullNode == nil || w.Missing != "" {
		return ""
	}
	address := m.NearestFullNode()
	if address == "" {
		return "" // this node knows all servers
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	reply, err := m.Transport.Call(ctx, address, Locate{Service: w.Service, Need: w.Need.String(), Zone: m.Self.Zone, Bound: w.Bound, Software: w.Software})
	if err != nil {
		m.Logger.Info("servers not located", "model", w.Need.String(), "asked", address, "error", err)
		return ""
	}
	answer, ok := reply.(Located)
	if !ok || len(answer.Servers) == 0 {
		return ""
	}
	m.Logger.Info("servers located", "request_id", w.RequestID, "model", w.Need.String(), "servers", answer.Servers, "asked", address)
	return m.learnServers(ctx, answer.Servers)
}

// learnServers loads the details of servers. It returns the first one that is then known.
func (m *Member) learnServers(ctx context.Context, servers []string) string {
	if m.EnsureServers == nil {
		return servers[0]
	}
	if err := m.EnsureServers(ctx, servers); err != nil {
		m.Logger.Info("server details not available", "servers", servers, "error", err)
	}
	snapshot := m.Servers.Snapshot()
	for _, id := range servers {
		if snapshot.Member(id) != nil {
			return id
		}
	}
	return ""
}

// applyNotice applies a notice that a server holds something, or no longer does. If this node does not know the server,
// and requests here wait for its model, the server's details are loaded first.
func (m *Member) applyNotice(n Notice) {
	apply := func() {
		m.Servers.OverrideHolding(n.Server, backend.ParseNeed(n.Need), n.Holds, m.Time.Now().Add(noticeTime))
	}
	if !n.Holds || m.EnsureServers == nil || m.Servers.Snapshot().Member(n.Server) != nil {
		apply()
		return
	}
	go func() { // other messages must not wait meanwhile
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		defer cancel()
		m.learnServers(ctx, []string{n.Server})
		apply()
	}()
}

func init() { peer.RegisterRecent(Locate{}, Located{}) }
