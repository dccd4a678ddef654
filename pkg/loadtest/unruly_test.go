package loadtest

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdedNode is a node that counts its connections and the requests that it ran.
type crowdedNode struct {
	address string

	mu   sync.Mutex
	open int
	most int
	ran  map[string]int // by the kind of caller; "": ordinary ones
}

// startCrowded starts a node that refuses bodies beyond a length.
func startCrowded(t *testing.T, largest int64) *crowdedNode {
	t.Helper()
	n := &crowdedNode{ran: make(map[string]int)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > largest {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		kind, _, unruly := strings.Cut(r.Header.Get("X-Id"), "-1-")
		if !unruly {
			kind = ""
		}
		n.mu.Lock()
		n.ran[kind]++
		n.mu.Unlock()
		_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n"+strings.Repeat(": "+strings.Repeat("a", 1<<10)+"\n", 64))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		n.mu.Lock()
		defer n.mu.Unlock()
		switch state {
		case http.StateNew:
			n.open++
			n.most = max(n.most, n.open)
		case http.StateClosed:
			n.open--
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	n.address = strings.TrimPrefix(server.URL, "http://")
	return n
}

// openConnections returns how many connections are open.
func (n *crowdedNode) openConnections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open
}

func unrulyOptions(node string, u Unruly) Options {
	o := options(node)
	o.Seed, o.Attempts, o.PerSecond, o.Duration, o.Deadline, o.Unruly = 1, 1, 50, time.Second, 3*time.Second, u
	return o
}

func TestCallersThatDoNotBehaveStayWithinTheirBounds(t *testing.T) {
	t.Parallel()
	const each, streams = 5, 51
	for name, u := range map[string]Unruly{
		"none": {}, kindStalledBodies: {StalledBodies: each}, kindSmallChunks: {SmallChunks: each}, kindHalfHeads: {HalfHeads: each}, kindUnread: {Unread: each},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u.BodyBytes = 100 << 10
			n := startCrowded(t, 1<<20)
			got, err := Run(t.Context(), unrulyOptions(n.address, u))
			if err != nil || got.Sent == 0 || got.Whole != got.Sent {
				t.Fatalf("ordinary requests: %+v, %v", got, err)
			}
			for begun := time.Now(); n.openConnections() > 0; time.Sleep(time.Millisecond) {
				if time.Since(begun) > 5*time.Second {
					t.Fatalf("%d connections are open after the run", n.openConnections())
				}
			}
			if n.most > u.count()+streams {
				t.Errorf("%d connections at once", n.most)
			}
			if u.count() == 0 {
				if got.Unruly != nil {
					t.Errorf("%+v", got.Unruly)
				}
				return
			}
			c := got.Unruly[name]
			if len(got.Unruly) != 1 || c.Opened != each || c.Stayed != each || c.Bytes < each*(12<<10) {
				t.Errorf("%+v", c)
			}
			if n.ran[name] > 0 != (name == kindUnread) {
				t.Errorf("%d requests ran", n.ran[name])
			}
		})
	}
}

func TestRefusedCallersThatDoNotBehaveAreCounted(t *testing.T) {
	t.Parallel()
	n := startCrowded(t, 10)
	got, err := Run(t.Context(), unrulyOptions(n.address, Unruly{StalledBodies: 3, BodyBytes: 1000}))
	if err != nil || got.Unruly[kindStalledBodies].Answered < 3 || got.Unruly[kindStalledBodies].Stayed > 3 {
		t.Fatalf("%+v, %v", got.Unruly[kindStalledBodies], err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.Close()
		}
	}))
	t.Cleanup(server.Close)
	got, err = Run(t.Context(), unrulyOptions(strings.TrimPrefix(server.URL, "http://"), Unruly{SmallChunks: 3, BodyBytes: 10}))
	if err != nil || got.Unruly[kindSmallChunks].Closed < 3 {
		t.Fatalf("%+v, %v", got.Unruly[kindSmallChunks], err)
	}
}

func TestCallersThatDoNotBehaveEndWithTheirContext(t *testing.T) {
	t.Parallel()
	n := startCrowded(t, 1<<20)
	o := unrulyOptions(n.address, Unruly{StalledBodies: 3, Unread: 3, BodyBytes: 1000})
	o.Duration = time.Hour
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := Run(ctx, o)
		ended <- err
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("they go on")
	}
}

func TestCallersThatDoNotBehaveWithoutBoundsAreRefused(t *testing.T) {
	for fault, u := range map[string]Unruly{
		"a negative number of callers": {HalfHeads: -1},
		"more than 2000 callers":       {HalfHeads: 2001},
		"bodies not of":                {StalledBodies: 1},
		"beyond loopback":              {HalfHeads: 1},
	} {
		o := unrulyOptions("10.0.0.1:80", u)
		if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%v lacks %q", err, fault)
		}
	}
}
