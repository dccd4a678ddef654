package keeper

import (
	"context"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
)

// keeperHandler is a peer.Handler that serves a keeper.
type keeperHandler struct{ keeper *Keeper }

func (h keeperHandler) HandleMessage(_ context.Context, _ api.NodeRef, message peer.Message) (peer.Message, error) {
	reply, _, err := h.keeper.HandleMessage(message)
	return reply, err
}

// startKeepers starts keepers that serve over loopback TCP, and returns them with
// a transport to call them.
func startKeepers(t testing.TB, ids ...api.NodeID) ([]api.NodeRef, []*Keeper, *peer.Client) {
	t.Helper()
	for _, message := range Messages() {
		peer.Register(message)
	}
	var members []api.NodeRef
	var keepers []*Keeper
	for _, id := range ids {
		self := api.NodeRef{ID: id, Incarnation: 1}
		server, err := peer.Listen(peer.Config{Self: self, Address: "127.0.0.1:0"})
		if err != nil {
			t.Fatal(err)
		}
		limits := DefaultLimits()
		limits.Records, limits.RecordsPerCaller = 1<<21, 1<<21
		keeper := NewKeeper(server.Self(), limits, time.Now)
		server.Serve(keeperHandler{keeper})
		t.Cleanup(func() { server.Close() })
		members, keepers = append(members, server.Self()), append(keepers, keeper)
	}
	transport := peer.NewClient(peer.Config{Self: api.NodeRef{ID: "router", Incarnation: 1}})
	t.Cleanup(func() { transport.Close() })
	return members, keepers, transport
}

// TestMemberIsReplacedOverPeer claims a key over TCP and replaces a member. A claim
// of the same key in the new configuration must return the stored answer.
func TestMemberIsReplacedOverPeer(t *testing.T) {
	members, keepers, transport := startKeepers(t, "a", "b", "c", "d")
	first := Configuration{Cell: simCell, Version: api.FirstConfigVersion, Members: members[:3]}
	second := Configuration{Cell: simCell, Version: 2, Members: []api.NodeRef{members[0], members[1], members[3]}, Previous: first.Members}
	var current atomic.Pointer[Configuration]
	current.Store(&first)
	client := NewClient(transport, func(api.CellName) (Configuration, bool) { return *current.Load(), true }, time.Now, 0)
	defer client.Close()
	for _, keeper := range keepers {
		keeper.SetConfiguration(first)
	}
	expectVerdict(t, client, testClaim("k", "1"), VerdictGranted)
	client.Complete(t.Context(), testClaim("k", "1"), Answer{Status: 200, Body: []byte("held")})
	for _, keeper := range keepers {
		keeper.SetConfiguration(second)
	}
	expectVerdict(t, client, testClaim("other", "1"), VerdictNoQuorum) // the client still uses the first configuration
	for range 10 {
		if !keepers[3].CopyRecords(t.Context(), transport) {
			break
		}
	}
	if status := keepers[3].Status(); len(status) != 1 || !status[0].Granting || status[0].Records != 1 {
		t.Errorf("status of the new member: %+v", status)
	}
	current.Store(&second)
	if got := client.Claim(t.Context(), testClaim("k", "2")); got.Verdict != VerdictAnswered || string(got.Answer.Body) != "held" {
		t.Errorf("claim after the replacement: %+v", got)
	}
}

func BenchmarkStoreClaim(b *testing.B) {
	limits := DefaultLimits()
	limits.Records, limits.RecordsPerCaller = 1<<30, 1<<30
	store := testStore(b, limits)
	claims := make([]ClaimRequest, b.N)
	for i := range claims {
		claims[i] = ClaimRequest{testClaim("booking-"+strconv.Itoa(i), "attempt"), 1, 1}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range claims {
		claimAt(b, store, simStart, claims[i])
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// BenchmarkRecordBytes measures the memory of a record without an answer.
func BenchmarkRecordBytes(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		limits := DefaultLimits()
		limits.RecordsPerCaller = count
		store := testStore(b, limits)
		for i := range count {
			claimAt(b, store, simStart, ClaimRequest{testClaim("booking-"+strconv.Itoa(i), "request-"+strconv.Itoa(i)), 1, 1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "bytes/record")
		runtime.KeepAlive(store)
	}
}

// BenchmarkClaimOverPeer measures claims at three keepers over loopback TCP.
func BenchmarkClaimOverPeer(b *testing.B) {
	members, keepers, transport := startKeepers(b, "a", "b", "c")
	configuration := Configuration{Cell: simCell, Version: api.FirstConfigVersion, Members: members}
	for _, keeper := range keepers {
		keeper.SetConfiguration(configuration)
	}
	client := NewClient(transport, func(api.CellName) (Configuration, bool) { return configuration, true }, time.Now, 0)
	defer client.Close()
	var next atomic.Int64
	claim := func(b *testing.B) {
		value := strconv.FormatInt(next.Add(1), 10)
		if got := client.Claim(b.Context(), testClaim(value, value)); got.Verdict != VerdictGranted {
			b.Errorf("verdict %d", got.Verdict)
		}
	}
	b.Run("one at a time", func(b *testing.B) {
		for b.Loop() {
			claim(b)
		}
	})
	b.Run("in parallel", func(b *testing.B) {
		b.SetParallelism(2)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				claim(b)
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	})
}
