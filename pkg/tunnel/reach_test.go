package tunnel

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// reachAt returns a Reach of a node that knows some servers, and the time that it goes by.
func reachAt(servers int) (*Reach, *time.Time) {
	now := time.Now()
	return &Reach{Time: func() time.Time { return now }, Servers: func() int { return servers }, Logger: hclog.NewNullLogger()}, &now
}

// breakWays makes other nodes, and not this one, connect to n servers.
func breakWays(r *Reach, n int) {
	for i := range n {
		r.Failed(fmt.Sprintf("server-%d", i), true)
		r.ReachedByOther(fmt.Sprintf("server-%d", i))
	}
}

// TestDeadServersCutNoNode guards against nodes that take the end of servers for the loss of their own links.
func TestDeadServersCutNoNode(t *testing.T) {
	r, _ := reachAt(5)
	for i := range 5 {
		r.Failed(fmt.Sprintf("server-%d", i), true)
	}
	if r.Cut() {
		t.Error("cut though no other node connects either")
	}
}

// TestNodeIsCutOnlyFromAllServers guards against a node that a few broken ways take out of use.
func TestNodeIsCutOnlyFromAllServers(t *testing.T) {
	for name, c := range map[string]struct {
		servers, broken int
		heard           time.Duration // before the ways broke
		cut             bool
	}{
		"most ways":              {8, 3, time.Second, true},
		"all of few":             {2, 2, time.Second, true},
		"too few":                {8, 2, time.Second, false},
		"a server was heard":     {8, 8, cutSilence - time.Millisecond, false},
		"all servers are silent": {8, 0, time.Minute, false},
	} {
		r, now := reachAt(c.servers)
		r.Connected("server-0")
		*now = now.Add(c.heard)
		breakWays(r, c.broken)
		if r.Cut() != c.cut {
			t.Errorf("%s: cut %v", name, r.Cut())
		}
	}
}

// TestNodeStaysCut guards against cuts that outlast the links.
func TestNodeStaysCut(t *testing.T) {
	for name, contact := range map[string]func(*Reach){"connection": func(r *Reach) { r.Connected("server-1") }, "answer": (*Reach).Heard} {
		r, _ := reachAt(4)
		breakWays(r, 4)
		contact(r)
		if r.Cut() {
			t.Errorf("still cut after a direct %s", name)
		}
	}
	r, now := reachAt(4)
	breakWays(r, 1)
	if got := r.routeTo("server-0"); got != (route{around: true}) {
		t.Errorf("the way to a server that others reach is %+v", got)
	}
	*now = now.Add(retryDirectTime + 1)
	if got := r.routeTo("server-0"); !got.direct {
		t.Error("a broken way is never tried again")
	}
	*now = now.Add(aroundTime)
	if got := r.routeTo("server-0"); got != (route{direct: true}) {
		t.Errorf("an old failure still counts: %+v", got)
	}
}

// TestRefusalsOfACutNodeCountAsEnds guards against servers that a cut node takes for ended.
func TestRefusalsOfACutNodeCountAsEnds(t *testing.T) {
	r, now := reachAt(4)
	r.Connected("server-3")
	*now = now.Add(time.Second)
	r.Failed("server-0", false)
	if r.doubtsRefusal("server-0") {
		t.Error("the refusal of one server is doubted")
	}
	r.Failed("server-1", false)
	r.Failed("server-2", false)
	if !r.doubtsRefusal("server-0") {
		t.Error("refusals of all servers are taken for their ends")
	}
	r.Heard()
	if r.doubtsRefusal("server-0") {
		t.Error("refusals are doubted though another server answers")
	}
}
