package tunnel

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// link is how a connection to a server goes.
type link uint8

const (
	works   link = iota
	refuses      // the server or the link
	resets       // the server, which accepts no more connections now
	hangs
	slow // for the time of a busy machine
)

// Times of the fakes.
const (
	roundTrip  = 3 * time.Millisecond
	hangTime   = 350 * time.Millisecond
	slowTime   = 150 * time.Millisecond
	serverName = "server"
)

// dial connects over a link.
func (l link) dial(ctx context.Context) (net.Conn, error) {
	wait, err := roundTrip, error(nil)
	switch l {
	case refuses:
		err = rejection(syscall.ECONNREFUSED)
	case resets:
		err = rejection(syscall.ECONNRESET)
	case hangs:
		wait, err = hangTime, os.ErrDeadlineExceeded
	case slow:
		wait = slowTime
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
	}
	if err != nil {
		return nil, err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// newDialer returns a dialer of a node whose direct connections go over one link and whose helpers answer by
// name.
func newDialer(direct link, helpers map[string]func(context.Context) (net.Conn, Result, error)) *Dialer {
	reach := &Reach{Time: func() time.Time { return time.Now() }, Servers: func() int { return 8 }, Logger: hclog.NewNullLogger()}
	d := &Dialer{
		Zone: "a", Reach: reach, Servers: func() []string { return []string{serverName, "server-1", "server-2", "server-3"} },
		Leads:  func() bool { return false },
		Direct: func(ctx context.Context, _ string) (net.Conn, error) { return direct.dial(ctx) },
		Connect: func(ctx context.Context, node, _ string) (net.Conn, Result, error) {
			return helpers[node](ctx)
		},
	}
	d.Nodes = func() []Node {
		var nodes []Node
		for name := range helpers {
			nodes = append(nodes, Node{Address: name, Zone: name[:1]})
		}
		return nodes
	}
	return d
}

// helperOver is a node that connects over a link.
func helperOver(l link) func(context.Context) (net.Conn, Result, error) {
	return func(ctx context.Context) (net.Conn, Result, error) {
		conn, err := l.dial(ctx)
		switch {
		case err == nil:
			return conn, Open, nil
		case isRejection(err):
			return nil, Refused, nil
		}
		return nil, NotReached, err
	}
}

// unavailable is a node that opens no tunnel.
func unavailable(context.Context) (net.Conn, Result, error) { return nil, Unavailable, nil }

// TestConnectionsOverBrokenWays guards against requests that wait for, or are refused by, links that are broken.
func TestConnectionsOverBrokenWays(t *testing.T) {
	type helpers = map[string]func(context.Context) (net.Conn, Result, error)
	for name, c := range map[string]struct {
		direct   link
		helpers  helpers
		indirect bool
		most     time.Duration
	}{
		"sound":                      {works, helpers{"a": helperOver(works)}, false, 2 * roundTrip},
		"silent":                     {hangs, helpers{"a": helperOver(works)}, true, directTime + 2*roundTrip},
		"refused":                    {refuses, helpers{"a": helperOver(works)}, true, 3 * roundTrip},
		"the zone is cut":            {hangs, helpers{"a1": helperOver(hangs), "b": helperOver(works)}, true, directTime + nextHelperTime + 2*roundTrip},
		"one says that it is cut":    {hangs, helpers{"a": unavailable, "b": helperOver(works)}, true, directTime + 2*roundTrip},
		"others reach it no better":  {slow, helpers{"a": helperOver(hangs), "b": unavailable}, false, slowTime + roundTrip},
		"two of three helpers hang":  {hangs, helpers{"a": helperOver(hangs), "b": helperOver(hangs), "c": helperOver(works)}, true, directTime + 2*nextHelperTime + 2*roundTrip},
		"no other node, but it goes": {slow, nil, false, slowTime + roundTrip},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDialer(c.direct, c.helpers)
				began := time.Now()
				conn, err := d.Dial(t.Context(), serverName)
				if err != nil {
					t.Fatal(err)
				}
				if _, indirect := conn.(indirectConn); indirect != c.indirect {
					t.Errorf("indirect: %v", indirect)
				}
				if took := time.Since(began); took > c.most {
					t.Errorf("took %v, want at most %v", took, c.most)
				}
				time.Sleep(time.Second) // attempts that lost the race end
			})
		})
	}
}

// TestRefusalsOfBrokenWaysLookLikeEnds guards against servers that count as ended because a link rejects
// connections.
func TestRefusalsOfBrokenWaysLookLikeEnds(t *testing.T) {
	type helpers = map[string]func(context.Context) (net.Conn, Result, error)
	for name, c := range map[string]struct {
		direct  link
		helpers helpers
		others  int // servers that the node failed to reach before
		ended   bool
	}{
		"refused everywhere":               {refuses, helpers{"a": helperOver(refuses)}, 0, true},
		"silent here, refused elsewhere":   {hangs, helpers{"a": helperOver(refuses)}, 0, true},
		"alone":                            {refuses, nil, 0, true},
		"nobody can tell":                  {refuses, helpers{"a": unavailable}, 0, true},
		"nobody can tell, all are refused": {refuses, helpers{"a": unavailable}, 2, false},
		"silent everywhere":                {hangs, helpers{"a": helperOver(hangs)}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDialer(c.direct, c.helpers)
				for i := range c.others {
					d.Reach.Failed([]string{"server-1", "server-2"}[i], false)
				}
				_, err := d.Dial(t.Context(), serverName)
				if err == nil || errors.Is(err, syscall.ECONNREFUSED) != c.ended {
					t.Errorf("error %v, ended: want %v", err, c.ended)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestRequestsPayForEachDialOfACutNode guards against a wait for each connection while the node is cut.
func TestRequestsPayForEachDialOfACutNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(hangs, map[string]func(context.Context) (net.Conn, Result, error){"a": helperOver(works)})
		for _, server := range d.Servers() {
			if _, err := d.Dial(t.Context(), server); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if !d.Reach.Cut() {
			t.Fatal("not cut")
		}
		began := time.Now()
		if _, err := d.Dial(t.Context(), "server-9"); err != nil || time.Since(began) > 2*roundTrip {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		time.Sleep(time.Second)
	})
}

// TestCutIsNoticedByRequestsOnly guards against cuts whose begin and end only failing requests would show.
func TestCutIsNoticedByRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(works, map[string]func(context.Context) (net.Conn, Result, error){"a": helperOver(works)})
		var now atomic.Uint32 // a link
		now.Store(uint32(works))
		d.Direct = func(ctx context.Context, _ string) (net.Conn, error) { return link(now.Load()).dial(ctx) }
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		d.Reach.Heard()
		time.Sleep(roundTrip)
		now.Store(uint32(hangs))
		d.Reach.Sent() // on an open connection, which hangs
		time.Sleep(2 * time.Second)
		if !d.Reach.Cut() {
			t.Error("the cut is not noticed in 2 s")
		}
		now.Store(uint32(works))
		time.Sleep(time.Second)
		if d.Reach.Cut() {
			t.Error("the end of the cut is not noticed in 1 s")
		}
		stop()
		time.Sleep(time.Second)
	})
}

// TestHelperConfirmsRefusalsOfItsOwnLinks guards against two cut nodes that take a server for ended.
func TestHelperConfirmsRefusalsOfItsOwnLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(refuses, nil)
		h := &Helper{Dialer: d, Stopping: func() bool { return false }, Logger: hclog.NewNullLogger(), Listed: func(context.Context, Connect) bool { return true }}
		if _, result := h.Connect(t.Context(), "node", Connect{Address: serverName}); result != NotReached {
			t.Errorf("a node that reaches no server says %v", result)
		}
		d.Direct = func(ctx context.Context, address string) (net.Conn, error) {
			if address == serverName {
				return refuses.dial(ctx)
			}
			return works.dial(ctx)
		}
		if _, result := h.Connect(t.Context(), "node", Connect{Address: serverName}); result != Refused {
			t.Errorf("a node that reaches the other servers says %v", result)
		}
		if h.Open() != 0 {
			t.Errorf("%d tunnels are open", h.Open())
		}
	})
}

// TestServersThatResetConnectionsCountAsEnded guards against an end that a node concludes from a reset at another node: a busy server
// takes no more connections, and works on.
func TestServersThatResetConnectionsCountAsEnded(t *testing.T) {
	for name, direct := range map[string]link{"reset here as well": resets, "silent here": hangs} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := newDialer(works, nil)
				other.Direct = func(ctx context.Context, address string) (net.Conn, error) {
					if address == serverName {
						return resets.dial(ctx)
					}
					return works.dial(ctx)
				}
				h := &Helper{Dialer: other, Stopping: func() bool { return false }, Logger: hclog.NewNullLogger(), Listed: func(context.Context, Connect) bool { return true }}
				d := newDialer(direct, map[string]func(context.Context) (net.Conn, Result, error){
					"a": func(ctx context.Context) (net.Conn, Result, error) {
						conn, result := h.Connect(ctx, "node", Connect{Address: serverName})
						return conn, result, nil
					},
				})
				if _, err := d.Dial(t.Context(), serverName); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("error %v, want the reset that another node saw", err)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestHelperOpensTunnelsItShouldNot guards against hops through nodes that stop, are cut or don't list the server.
func TestHelperOpensTunnelsItShouldNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(works, nil)
		stopping, listed := false, true
		h := &Helper{Dialer: d, Stopping: func() bool { return stopping }, Logger: hclog.NewNullLogger(), Listed: func(context.Context, Connect) bool { return listed }}
		connect := func() (net.Conn, Result) { return h.Connect(t.Context(), "node", Connect{Address: serverName}) }
		conn, result := connect()
		if result != Open || h.Open() != 1 {
			t.Fatalf("%v, %d open", result, h.Open())
		}
		_ = conn.Close()
		_ = conn.Close()
		if h.Open() != 0 {
			t.Errorf("%d tunnels are open after a close", h.Open())
		}
		stopping = true
		if _, result := connect(); result != Unavailable {
			t.Errorf("stopping: %v", result)
		}
		stopping, listed = false, false
		if _, result := connect(); result != Unavailable {
			t.Errorf("not listed: %v", result)
		}
		listed = true
		time.Sleep(time.Second)
		breakWays(d.Reach, 8)
		if _, result := connect(); result != Unavailable {
			t.Errorf("cut: %v", result)
		}
		d.Reach.Heard()
		h.open.Store(maxTunnels)
		if _, result := connect(); result != Unavailable {
			t.Errorf("full: %v", result)
		}
	})
}

// TestNodeThatReachesNoServerLeads guards against holders that can give no orders.
func TestNodeThatReachesNoServerLeads(t *testing.T) {
	type helpers = map[string]func(context.Context) (net.Conn, Result, error)
	for name, c := range map[string]struct {
		direct  link
		helpers helpers
		fit     bool
	}{
		"sound":                  {works, helpers{"a": helperOver(works)}, true},
		"cut":                    {hangs, helpers{"a": helperOver(works)}, false},
		"refused":                {refuses, helpers{"a": helperOver(works)}, false},
		"nobody reaches servers": {hangs, helpers{"a": helperOver(hangs)}, true},
		"alone":                  {hangs, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := newDialer(c.direct, c.helpers).ReachesServers(t.Context()); got != c.fit {
					t.Errorf("fit: %v", got)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestWholeZoneIsAskedFirst guards against connections that wait for one node of a cut zone after the other.
func TestWholeZoneIsAskedFirst(t *testing.T) {
	d := newDialer(works, nil)
	d.Nodes = func() []Node {
		return []Node{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}}
	}
	for range 50 {
		asked := d.candidates()
		if len(asked) != maxHelpers || asked[0].Zone != "a" || asked[1].Zone == "a" || asked[2].Zone == "a" {
			t.Fatalf("asked are %v", asked)
		}
	}
	for _, node := range []string{"a1", "a2", "a3", "b1"} {
		d.avoid(node)
	}
	for range 50 {
		if asked := d.candidates(); d.avoids(asked[0].Address) || d.avoids(asked[1].Address) || !d.avoids(asked[2].Address) {
			t.Fatalf("asked are %v", asked)
		}
	}
}

// TestNodesAreForgottenAtAChangeOfHolder guards against a cut node that knows nobody to ask for a moment.
func TestNodesAreForgottenAtAChangeOfHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDialer(hangs, map[string]func(context.Context) (net.Conn, Result, error){"a": helperOver(works)})
		var listed atomic.Pointer[[]Node]
		nodes := d.Nodes()
		listed.Store(&nodes)
		d.Nodes = func() []Node { return *listed.Load() }
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		time.Sleep(time.Second)
		listed.Store(new([]Node))
		if _, err := d.Dial(t.Context(), serverName); err != nil {
			t.Errorf("nobody was asked: %v", err)
		}
		time.Sleep(rememberTime + time.Second)
		if nodes := d.candidates(); len(nodes) > 0 {
			t.Errorf("%v are still asked long after they were listed", nodes)
		}
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a node that was held up while it connected, and blames the server or its way for that.
func TestNodeThatWasHeldUpDoesNotBlameTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		took   []time.Duration // of the direct connections, all but the last of which fail
		broken bool
	}{
		"held up":             {[]time.Duration{hangTime + time.Second, roundTrip}, false},
		"in time":             {[]time.Duration{hangTime, roundTrip}, true},
		"a little late":       {[]time.Duration{hangTime + maxTimerDelay/2, roundTrip}, true},
		"held up, and silent": {[]time.Duration{hangTime + time.Second, hangTime, roundTrip}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDialer(works, nil)
				d.DirectTime = hangTime
				calls := 0
				d.Direct = func(context.Context, string) (net.Conn, error) {
					calls++
					time.Sleep(c.took[calls-1])
					if calls < len(c.took) {
						return nil, os.ErrDeadlineExceeded
					}
					conn, _ := net.Pipe()
					return conn, nil
				}
				conn, err := d.DialDirect(t.Context(), serverName)
				d.Reach.ReachedByOther(serverName)
				if broken := len(d.Reach.brokenWays()) > 0; broken != c.broken || (err != nil) != c.broken {
					t.Errorf("the way is broken: %t, %v", broken, err)
				}
				if conn != nil {
					_ = conn.Close()
				}
			})
		})
	}
}
