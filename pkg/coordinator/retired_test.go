package coordinator

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
)

// listing returns a configuration of the site that lists the given models with their sizes.
func (s *site) listing(version uint64, sizes map[string]int) *route.Table {
	e := *s.table.Service("s").Engine
	e.Models = make(map[string]*route.Model)
	for name, bytes := range sizes {
		e.Models[name] = &route.Model{Name: name, Bytes: uint64(bytes), Adapters: 9, AdapterBytes: 1, LoadTime: loadTime, DiskTime: diskLoadTime}
	}
	return route.NewTable(version, route.Limits{}, nil, []*route.Service{{Name: "s", Engine: &e}})
}

// Guards against orders beyond a server's memory when the configuration no longer lists what the server holds.
func TestLIMITServersHoldModelsThatAreNotListed(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0", "m1"})
		n := s.start("a")
		n.waitForLease()
		time.Sleep(time.Second)
		s.laterTable.Store(s.listing(2, map[string]int{"m0": modelBytes, "m5": modelBytes}))
		requestUntilLoaded(t, n, "m5", loadTime+10*time.Second)
		n.stop()
	})
}
