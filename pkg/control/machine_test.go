package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/tree"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// singleNode is the membership of a node without peers.
type singleNode struct{ self api.NodeRef }

func (a singleNode) Tick(time.Time) []membership.Packet                      { return nil }
func (a singleNode) Receive(time.Time, api.NodeRef, any) []membership.Packet { return nil }
func (a singleNode) Leave(time.Time) []membership.Packet                     { return nil }
func (a singleNode) Members() []membership.Member                            { return []membership.Member{{Ref: a.self}} }
func (a singleNode) SetDigest(membership.Digest)                             {}
func (a singleNode) Digest(api.NodeID) (membership.Digest, bool)             { return membership.Digest{}, false }

// stubSettings is a tree with one service.
type stubSettings struct {
	revision tree.Revision
	models   []tree.Model
}

func (s stubSettings) Revision() tree.Revision { return s.revision }
func (s stubSettings) Models() []tree.Model    { return s.models }
func (s stubSettings) Services() []string      { return []string{"assistant"} }
func (s stubSettings) Root() tree.Settings {
	return tree.Settings{WeightFullSpeed: 8, WeightLoadRate: 1000}
}

// settingsOf returns stubSettings with the given number of models, which stay
// loaded.
func settingsOf(models int) stubSettings {
	s := stubSettings{revision: 1}
	for index := range models {
		s.models = append(s.models, tree.Model{
			Name: api.ModelName(fmt.Sprintf("m%04d", index)), Service: "assistant",
			Settings: tree.Settings{
				MemoryBytes: 1, MaxReplicas: 1, MinReplicas: 1, LoadTime: time.Second,
				KeepAlive: time.Hour, Policy: policy.NameNeverUnload,
			},
		})
	}
	return s
}

// harness runs one Machine with engines, a machine list and a table service that
// answer immediately.
type harness struct {
	machine *Machine
	now     time.Time
	servers int
	items   map[api.ServerID][]engine.Item
	record  platform.Record
	views   int
}

func newHarness(servers, models int) *harness {
	self := api.NodeRef{ID: "n", Incarnation: 1, Region: "r", Zone: "z"}
	s := &harness{now: testStart, servers: servers, items: make(map[api.ServerID][]engine.Item)}
	s.machine = New(Config{
		Self: self, Membership: singleNode{self: self},
		Decider: func(name string) policy.Decider {
			decider, _ := policy.ByName(name)
			return decider
		},
	})
	s.execute(s.machine.SetTree(s.now, settingsOf(models)))
	return s
}

// run ticks the machine for the given time.
func (s *harness) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(TickInterval) {
		s.execute(s.machine.Step(s.now, Tick{}))
	}
}

// execute carries out effects and feeds their results back as events.
func (s *harness) execute(effects []Effect) {
	for _, effect := range effects {
		if event := s.answer(effect); event != nil {
			s.execute(s.machine.Step(s.now, event))
		}
	}
}

func (s *harness) answer(effect Effect) Event {
	switch e := effect.(type) {
	case ListMachines:
		return MachinesListed{List: s.list()}
	case ReadRecord:
		if s.record.Version == 0 {
			return RecordRead{Key: e.Key, Err: platform.ErrNotFound}
		}
		return RecordRead{Key: e.Key, Record: s.record}
	case CommitRecord:
		s.record.Key = e.Transaction.Writes[0].Key
		s.record.Value = e.Transaction.Writes[0].Value
		s.record.Version++
		return RecordCommitted{Transaction: e.Transaction}
	case OrderEngine:
		s.items[e.Server] = append(s.items[e.Server], engine.Item{
			Model: e.Order.Model, State: engine.ItemReady, MemoryBytes: e.Order.MemoryBytes, OrderID: e.Order.ID,
		})
		return OrderAnswered{Server: e.Server, Order: e.Order, Result: engine.OrderResult{Status: engine.OrderAccepted}}
	case ReadInventory:
		return InventoryAnswered{Server: e.Server, Request: e.Request, Inventory: engine.Inventory{
			Instance: "i", Fence: e.Request.Fence, CapacityBytes: 1000, Items: s.items[e.Server],
		}}
	case PublishView:
		s.views++
	}
	return nil
}

func (s *harness) list() platform.MachineList {
	list := platform.MachineList{Version: 1, AsOf: s.now}
	for index := range s.servers {
		list.Machines = append(list.Machines, platform.Machine{
			ID: fmt.Sprintf("s%03d", index), Address: "a", Service: "assistant", Region: "r",
			State: platform.MachineLive, MemoryBytes: 1000,
		})
	}
	return list
}

// TestAllModelsAreLoaded checks that one owner loads many models on many servers.
func TestAllModelsAreLoaded(t *testing.T) {
	s := newHarness(12, 60)
	s.run(30 * time.Second)
	cell := s.machine.Status().Cells[0]
	if cell.Role != RoleOwner || cell.Ready != 60 || cell.Servers != 12 {
		t.Errorf("status = %+v, want an owner of 12 servers with 60 ready replicas", cell)
	}
}

// TestObsoleteViewDoesNotHoldUpANewGroup covers a node whose newest view names
// live members of an earlier epoch, while the members of the latest epoch are
// gone. The live members of the superseded group must not keep the node from
// forming a new one.
func TestObsoleteViewDoesNotHoldUpANewGroup(t *testing.T) {
	s := newHarness(1, 1)
	self := s.machine.config.Self
	gone := api.NodeRef{ID: "gone", Incarnation: 1, Region: "r"}
	view := api.CellView{Cell: "assistant@r", Term: quorum.MakeTerm(1, 1), Version: 1, Leader: self, Members: []api.NodeRef{self}}
	s.execute(s.machine.Step(s.now, PeerReceived{From: self, Message: ViewPush{View: view}}))
	state := quorum.State{Term: quorum.MakeTerm(2, 1), Version: 1, Members: []api.NodeRef{gone}}
	s.execute(s.machine.Step(s.now, PeerReceived{From: gone, Message: quorum.Accept{Cell: view.Cell, State: state}}))
	s.run(time.Minute)
	if cell := s.machine.Status().Cells[0]; cell.Role != RoleOwner || cell.Epoch != 3 {
		t.Errorf("status = %+v, want the owner of epoch 3", cell)
	}
}

// TestOlderTreeIsIgnored checks that the tree in force is never replaced by an
// older one.
func TestOlderTreeIsIgnored(t *testing.T) {
	s := newHarness(1, 1)
	newer := settingsOf(2)
	newer.revision = 7
	s.machine.SetTree(s.now, newer)
	s.machine.SetTree(s.now, settingsOf(1))
	if got := s.machine.TreeRevision(); got != 7 {
		t.Errorf("revision = %d, want 7", got)
	}
}

// TestTreePollStaysConstantInTotal checks the poll rate of a single node. The
// interval grows with the number of nodes, so that the total rate stays constant.
func TestTreePollStaysConstantInTotal(t *testing.T) {
	s := newHarness(1, 1)
	polls := 0
	for end := s.now.Add(time.Minute); s.now.Before(end); s.now = s.now.Add(TickInterval) {
		for _, effect := range s.machine.Step(s.now, Tick{}) {
			if fetch, is := effect.(FetchTree); is && fetch.Peer == "" {
				polls++
			}
		}
	}
	if polls < 20 || polls > 30 {
		t.Errorf("a single node polls %d times a minute, want one poll per 2s to 2.5s", polls)
	}
}

// sizes are a typical cell and a large one.
var sizes = []struct {
	name            string
	servers, models int
}{
	{"12 servers 140 models", 12, 140},
	{"100 servers 500 models", 100, 500},
}

// BenchmarkOwnerTick measures a tick of an owner whose models are loaded,
// including the handling of inventories and machine lists.
func BenchmarkOwnerTick(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			s := newHarness(size.servers, size.models)
			s.run(3 * time.Minute)
			b.ReportAllocs()
			for b.Loop() {
				s.run(TickInterval)
			}
		})
	}
}

// BenchmarkDemand measures how the owner handles one demand report.
func BenchmarkDemand(b *testing.B) {
	s := newHarness(12, 140)
	s.run(3 * time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		s.execute(s.machine.Step(s.now, PeerReceived{
			From: api.NodeRef{ID: "other"},
			Message: api.DemandReport{Cell: "assistant@r", Models: []api.ModelDemand{
				{Model: "m0001", Arrivals: 1, InFlight: 1, LastArrival: s.now},
			}},
		}))
		s.now = s.now.Add(time.Millisecond)
	}
}

// BenchmarkCellMemory reports the heap size of an owner's state for one cell.
func BenchmarkCellMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			before := heapBytes()
			s := newHarness(size.servers, size.models)
			s.run(3 * time.Minute)
			held := heapBytes() - before
			for b.Loop() {
			}
			b.ReportMetric(float64(held), "B/cell")
			runtime.KeepAlive(s)
		})
	}
}

// heapBytes returns the allocated heap after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func TestNewOwnerIsNotToldHowLongModelsWereIdle(t *testing.T) {
	const idle = 10 * time.Second
	s := newHarness(1, 2)
	owner := api.NodeRef{ID: "owner", Incarnation: 1, Region: "r"}
	used := api.ModelDemand{Model: "m0000", Arrivals: 1, Waiting: 1, LastArrival: s.now}
	s.machine.demand.sent["m0000"] = sentDemand{demand: used, at: s.now}
	s.now = s.now.Add(idle)
	view := api.CellView{Cell: "assistant@r", Term: quorum.MakeTerm(9, 1), Version: 1, Leader: owner, Members: []api.NodeRef{owner}}
	for _, effect := range s.machine.Step(s.now, PeerReceived{From: owner, Message: ViewPush{View: view}}) {
		if send, is := effect.(SendPeer); is {
			if report, is := send.Message.(api.DemandReport); is {
				if len(report.Models) != 1 || report.Models[0].Idle != idle || report.Models[0].Waiting != 0 || report.Models[0].Arrivals != 0 {
					t.Errorf("reported %+v", report.Models)
				}
				return
			}
		}
	}
	t.Error("nothing was reported")
}
