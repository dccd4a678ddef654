package coordinator

import (
	"sync/atomic"
	"testing"
	"time"
)

// Guards against orders beyond a server's memory by a configuration that is no longer in force: a node that had no store takes the lease
// as the store is back, while a model that its configuration lists has been retired and has come back larger.
func TestLIMITOrdersByAConfigurationOfBeforeAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		const large = engineBytes - modelBytes + 1 // does not fit beside m0
		s.engines.sizes = map[string]int{"m5": large}
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m5": modelBytes}))
		var read atomic.Bool
		s.routesOverdue = func() bool { return !read.Load() }
		n := s.start("a")
		n.waitForLease()
		for range 8 {
			n.requestLoad(t, "m5")
			time.Sleep(250 * time.Millisecond)
		}
		s.laterTable.Store(s.listing(3, map[string]int{"m0": modelBytes, "m5": large}))
		read.Store(true)
		requestUntilLoaded(t, n, "m5", loadTime+10*time.Second) // in the place of m0
		n.stop()
	})
}

// Guards against a holder that gives no orders while the store is away, since nothing confirms its configuration then.
func TestOrdersGoOnByTheConfigurationOfBeforeAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"}, nil)
		s.fenced = true
		s.knownNodes = []Node{{Name: "0"}}
		var away atomic.Bool
		s.routesOverdue = away.Load
		n := s.start("a")
		n.waitForLease()
		defer startHeartbeats(t, n, 1)()
		time.Sleep(contactTime)
		away.Store(true)
		n.store.unreachable.Store(true)
		time.Sleep(contactTime)
		requestUntilLoaded(t, n, "m5", loadTime+5*time.Second)
		n.stop()
	})
}
