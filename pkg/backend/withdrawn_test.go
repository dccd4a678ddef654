package backend

import (
	"testing"
	"testing/synctest"
	"time"
)

const coldTime = 3 * time.Second

// coldDirectory has servers in two zones. Those of the service "slow" are cold after a start.
func coldDirectory(now time.Time) (*Directory, []*Server) {
	d := &Directory{ColdFor: func(service string) time.Duration {
		if service == "slow" {
			return coldTime
		}
		return 0
	}}
	list := []*Server{
		{ID: "a", Service: "slow", Address: "10.0.0.1:1", Zone: "a", ColdUntil: now.Add(time.Second)},
		{ID: "b", Service: "slow", Address: "10.0.0.2:1", Zone: "b"},
		{ID: "c", Service: "quick", Address: "10.0.0.3:1", Zone: "b", ColdUntil: now.Add(time.Second)},
	}
	d.Replace(list, 1)
	return d, list
}

// TestFAILBACKColdServersGetNoUsualRequests: a server that reports that it is cold, or whose zone is no
// longer evacuated, does not count as serving while it is cold. Servers of a service that can take the full
// load at once do.
func TestFAILBACKColdServersGetNoUsualRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		d, _ := coldDirectory(now)
		serves := func(id string) bool { return d.Snapshot().Member(id).Serves(time.Now(), Need{}) }
		if serves("a") || !serves("b") || !serves("c") {
			t.Errorf("a serves %t, b %t, c %t, want false, true, true", serves("a"), serves("b"), serves("c"))
		}
		if !d.Snapshot().Member("a").ServesCold(now, Need{}) || d.Snapshot().Member("b").ServesCold(now, Need{}) {
			t.Error("not exactly a serves as a cold server")
		}
		time.Sleep(time.Second)
		if !serves("a") {
			t.Error("a is still cold after its ColdUntil")
		}
		d.Evacuate(map[string]bool{"b": true})
		d.Evacuate(nil)
		if serves("b") || !serves("c") {
			t.Errorf("after the evacuation ended b serves %t, c %t, want false, true", serves("b"), serves("c"))
		}
		time.Sleep(coldTime)
		if !serves("b") {
			t.Error("b is still cold after its cold time")
		}
	})
}

// TestEVACServersOfTheZoneGetNothing: servers of an evacuated zone, those already listed and new ones,
// serve nothing until the evacuation ends, not even as cold servers.
func TestEVACServersOfTheZoneGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		d, list := coldDirectory(now)
		changed := d.Changed()
		d.Evacuate(map[string]bool{"b": true})
		select {
		case <-changed:
		default:
			t.Error("those who wait for a change are not woken")
		}
		d.Replace(append(list, &Server{ID: "d", Service: "quick", Address: "10.0.0.4:1", Zone: "b"}), 2)
		for _, id := range []string{"b", "c", "d"} {
			m := d.Snapshot().Member(id)
			if m.Serves(now, Need{}) || m.ServesCold(now, Need{}) || !m.Withdrawn() || m.Leaving() {
				t.Errorf("%s serves %t, serves cold %t, withdrawn %t, leaving %t; want only withdrawn", id, m.Serves(now, Need{}), m.ServesCold(now, Need{}), m.Withdrawn(), m.Leaving())
			}
		}
		d.Evacuate(map[string]bool{"a": true})
		if m := d.Snapshot().Member("d"); !m.Serves(now, Need{}) || d.Snapshot().Member("a").Withdrawn() != true {
			t.Error("the evacuated zones are not those set last")
		}
	})
}
