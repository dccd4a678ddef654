package coordinator

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// requestAt requests a model at a server of one software version, and returns the server once it is loaded.
func requestAt(t *testing.T, n *node, need, software string, timeout time.Duration) string {
	t.Helper()
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(20 * time.Millisecond) {
		reply, err := n.holder.HandleMessage(t.Context(), api.NodeRef{}, WishMessage{Service: "s", Need: need, Left: time.Second, Bound: true, Software: software})
		if err != nil {
			t.Fatal(err)
		}
		if server := reply.(WishAnswer).Server; server != "" {
			return server
		}
	}
	return ""
}

func TestLOSTStreamWhoseAdapterIsLoadedAtAnotherVersion(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, []string{"m0"}, []string{"m1"})
		for i, software := range []string{"v1", "v2", "v1"} {
			s.serverRecords[i].Software = software
		}
		n := s.start("a")
		time.Sleep(time.Second)
		requestUntilLoaded(t, n, "m0/a1", 10*time.Second)
		for software, want := range map[string]string{"v1": "server-0", "v2": "server-1"} {
			if got := requestAt(t, n, "m0/a1", software, 10*time.Second); got != want {
				t.Errorf("the adapter is at %q for streams of %s, want %q", got, software, want)
			}
		}
		loads := len(s.engines.loads())
		if got := requestAt(t, n, "m0/a1", "v3", time.Second); got != "" {
			t.Errorf("the adapter is at %q, of another version", got)
		}
		if got := requestAt(t, n, "m1", "v2", time.Second); got != "" || len(s.engines.loads()) != loads {
			t.Errorf("a model is loaded at %q for a stream of an old version", got)
		}
		n.stop()
	})
}

// TestLOSTStreamsWhoseModelIsUnloadedAtTheirVersion guards against room that is made at the expense of the only server
// of a version that holds a model in use, as servers of another version hold it, too.
func TestLOSTStreamsWhoseModelIsUnloadedAtTheirVersion(t *testing.T) {
	for old := range 3 {
		bubble(t, func(t *testing.T) {
			s := newSite(t, []string{"m0", "m1"}, []string{"m0", "m2"}, []string{"m0", "m4"})
			for i, server := range s.serverRecords {
				server.Software = "v2"
				if i == old {
					server.Software = "v1"
				}
			}
			n := s.start("a")
			time.Sleep(time.Second)
			for range 20 {
				sendHeartbeat(t, n, Beat{Node: Node{Name: "b"}, Uses: []Use{{Service: "s", Model: "m0", Arrivals: 1, Weight: 1}}})
				n.requestLoad(t, "m3")
				time.Sleep(500 * time.Millisecond)
			}
			requestUntilLoaded(t, n, "m3", 10*time.Second)
			id := fmt.Sprintf("server-%d", old)
			s.engines.mu.Lock()
			_, holds := s.engines.servers[id].models["m0"]
			s.engines.mu.Unlock()
			if !holds {
				t.Errorf("m0 is in use, and %s, the only server of its version, does not hold it any more", id)
			}
			n.stop()
		})
	}
}
