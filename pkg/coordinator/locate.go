package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/relay"
)

// Locate asks a node that knows all servers for some that hold what a request needs. Nodes of a large
// site know a part of the servers only.
type Locate struct {
	Service string
	Need    string
	Zone    string // servers there are told before others
}

// Located answers Locate.
type Located struct {
	Servers []string // their lives; none: no server holds it
}

// Bounds of a question for servers.
const (
	// locateTimeout bounds the wait for the answer, and for what is known of the servers: the next
	// one asked is the holder.
	locateTimeout = 200 * time.Millisecond
	// mostLocated is how many servers are told: with more than one, callers of a node are spread and
	// the loss of one is borne.
	mostLocated = 3
)

// locate answers for this node.
func (m *Member) locate(l Locate) Located {
	now := m.Time.Now()
	need := backend.ParseNeed(l.Need)
	servers := m.Servers.Snapshot().Service(l.Service)
	var near, far []string
	for _, i := range rand.Perm(len(servers)) {
		s := servers[i]
		if !s.Serves(now, need) || s.Avoid(now) {
			continue
		}
		if s.Zone == l.Zone {
			near = append(near, s.ID)
		} else {
			far = append(far, s.ID)
		}
		if len(near) == mostLocated {
			break
		}
	}
	found := append(near, far...)
	return Located{Servers: found[:min(len(found), mostLocated)]}
}

// find looks for servers that hold what a request needs among those that this node does not know, and
// gets to know them. It returns one, "" if there is none or nobody can tell.
func (m *Member) find(ctx context.Context, w relay.LoadRequest) string {
	if m.Nearest == nil || w.Missing != "" {
		return ""
	}
	address := m.Nearest()
	if address == "" {
		return "" // this node knows all servers
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	reply, err := m.Transport.Call(ctx, address, Locate{Service: w.Service, Need: w.Need.String(), Zone: m.Self.Zone})
	if err != nil {
		m.Logger.Info("servers not located", "model", w.Need.String(), "asked", address, "error", err)
		return ""
	}
	answer, ok := reply.(Located)
	if !ok || len(answer.Servers) == 0 {
		return ""
	}
	m.Logger.Info("servers located", "request_id", w.RequestID, "model", w.Need.String(), "servers", answer.Servers, "asked", address)
	return m.meet(ctx, answer.Servers)
}

// meet gets to know servers. It returns the first one that is known then.
func (m *Member) meet(ctx context.Context, servers []string) string {
	if m.Cover == nil {
		return servers[0]
	}
	if err := m.Cover(ctx, servers); err != nil {
		m.Logger.Info("servers not known", "servers", servers, "error", err)
	}
	snapshot := m.Servers.Snapshot()
	for _, id := range servers {
		if snapshot.Member(id) != nil {
			return id
		}
	}
	return ""
}

// believe takes in that a server holds something, or not any more. One that this node does not know
// and whose model its requests wait for is got to know.
func (m *Member) believe(n Notice) {
	take := func() {
		m.Servers.Believe(n.Server, backend.ParseNeed(n.Need), n.Holds, m.Time.Now().Add(noticeTime))
	}
	if !n.Holds || m.Cover == nil || m.Servers.Snapshot().Member(n.Server) != nil {
		take()
		return
	}
	go func() { // messages that come meanwhile are not to wait
		ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
		defer cancel()
		m.meet(ctx, []string{n.Server})
		take()
	}()
}

func init() { peer.RegisterRecent(Locate{}, Located{}) }
