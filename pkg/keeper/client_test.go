package keeper

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
)

// fakeNetwork is a Caller that calls keepers in this process, with random delays
// in virtual time.
type fakeNetwork struct {
	mutex   sync.Mutex
	random  *rand.Rand
	keepers map[string]*Keeper
	down    map[string]bool // addresses that are unreachable
	hung    map[string]bool // addresses that do not answer before the caller's timeout
	calls   int
}

func newFakeNetwork(configuration Configuration) *fakeNetwork {
	network := &fakeNetwork{
		random:  rand.New(rand.NewPCG(1, 1)),
		keepers: map[string]*Keeper{}, down: map[string]bool{}, hung: map[string]bool{},
	}
	limits := DefaultLimits()
	for _, member := range configuration.Members {
		keeper := NewKeeper(member, limits, time.Now)
		keeper.SetConfiguration(configuration)
		network.keepers[member.PeerAddress] = keeper
	}
	return network
}

func (n *fakeNetwork) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	n.mutex.Lock()
	n.calls++
	delay := time.Duration(n.random.IntN(3000)) * time.Microsecond
	down, hung, keeper := n.down[address], n.hung[address], n.keepers[address]
	n.mutex.Unlock()
	if down {
		return nil, errors.WithStack(peer.ErrUnreachable)
	}
	if hung {
		<-ctx.Done()
		return nil, errors.WithStack(peer.ErrUnknownOutcome)
	}
	time.Sleep(delay)
	reply, _, err := keeper.HandleMessage(message)
	time.Sleep(delay)
	return reply, err
}

// withClient runs a test in virtual time against three keepers.
func withClient(t *testing.T, test func(t *testing.T, network *fakeNetwork, client *Client)) {
	synctest.Test(t, func(t *testing.T) {
		configuration := testConfiguration()
		network := newFakeNetwork(configuration)
		known := func(cell api.CellName) (Configuration, bool) { return configuration, cell == configuration.Cell }
		client := NewClient(network, known, time.Now, 0)
		defer client.Close()
		test(t, network, client)
	})
}

// expectVerdict makes a claim and checks its verdict.
func expectVerdict(t testing.TB, client *Client, claim Claim, want Verdict) Decision {
	t.Helper()
	decision := client.Claim(t.Context(), claim)
	if decision.Verdict != want {
		t.Errorf("key %s, attempt %s: verdict %d, want %d", claim.Key.Value, claim.Attempt, decision.Verdict, want)
	}
	return decision
}

func TestClaimLifecycle(t *testing.T) {
	withClient(t, func(t *testing.T, _ *fakeNetwork, client *Client) {
		ctx := t.Context()
		first := testClaim("k", "1")
		expect := func(attempt string, want Verdict) Decision {
			t.Helper()
			return expectVerdict(t, client, testClaim("k", attempt), want)
		}
		granted := expect("1", VerdictGranted)
		if !granted.StillValid(time.Now()) || granted.StillValid(time.Now().Add(MaxGrantAge)) {
			t.Errorf("grant ends at %v, claimed at %v", granted.DispatchBefore, time.Now())
		}
		client.Close()
		if got := expect("2", VerdictRunning); got.RetryAfter == 0 {
			t.Error("RetryAfter is not set for a running claim")
		}
		time.Sleep(RunningAge)
		if got := expect("3", VerdictInDoubt); got.RetryAfter < first.Retention-time.Second {
			t.Errorf("VerdictInDoubt: retry after %v, want the rest of the retention", got.RetryAfter)
		}
		client.Complete(ctx, first, Answer{Status: 201, ContentType: "text/plain", Body: []byte("slot 4")})
		client.Close()
		if got := expect("4", VerdictAnswered); got.Answer == nil || string(got.Answer.Body) != "slot 4" || got.Answer.Status != 201 {
			t.Errorf("answer %+v", got.Answer)
		}
		other := testClaim("k", "5")
		other.Digest[0] = 1
		expectVerdict(t, client, other, VerdictMismatch) // different body
		time.Sleep(first.Retention + MaxGrantAge)
		expect("6", VerdictGranted)
		client.Release(ctx, testClaim("k", "6"))
		client.Close()
		expect("7", VerdictGranted)
	})
}

func TestClaimWithKeepersLost(t *testing.T) {
	cases := []struct {
		name       string
		down, hung []string
		want       Verdict
		within     time.Duration
	}{
		{"all there", nil, nil, VerdictGranted, 10 * time.Millisecond},
		{"one down", []string{"b"}, nil, VerdictGranted, 10 * time.Millisecond},
		{"one hangs", nil, []string{"a"}, VerdictGranted, 10 * time.Millisecond},
		{"two down", []string{"a", "c"}, nil, VerdictNoQuorum, 10 * time.Millisecond},
		{"one down, one hangs", []string{"a"}, []string{"c"}, VerdictNoQuorum, DefaultCallTimeout},
		{"all down", []string{"a", "b", "c"}, nil, VerdictNoQuorum, 10 * time.Millisecond},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			withClient(t, func(t *testing.T, network *fakeNetwork, client *Client) {
				for _, address := range test.down {
					network.down[address] = true
				}
				for _, address := range test.hung {
					network.hung[address] = true
				}
				before := time.Now()
				decision := client.Claim(t.Context(), testClaim("k", "1"))
				if took := time.Since(before); decision.Verdict != test.want || took > test.within {
					t.Errorf("verdict %d after %v, want %d within %v", decision.Verdict, took, test.want, test.within)
				}
				client.Close()
				clear(network.down)
				clear(network.hung)
				if test.want == VerdictNoQuorum {
					expectVerdict(t, client, testClaim("k", "2"), VerdictGranted) // the failed claim left no grants
				}
			})
		})
	}
}

func TestClaimEndsWithItsContext(t *testing.T) {
	withClient(t, func(t *testing.T, network *fakeNetwork, client *Client) {
		network.hung["a"], network.hung["b"] = true, true
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		before := time.Now()
		if got := client.Claim(ctx, testClaim("k", "1")); got.Verdict != VerdictNoQuorum || time.Since(before) > 60*time.Millisecond {
			t.Errorf("verdict %d after %v", got.Verdict, time.Since(before))
		}
	})
}

// TestOneOfManyAtOnceIsGranted claims the same key from several routers
// concurrently, with all keepers up and with each one down. Exactly one claim
// must be granted, or the request would run twice or not at all.
func TestOneOfManyAtOnceIsGranted(t *testing.T) {
	for _, down := range []string{"", "a", "b", "c"} {
		t.Run("down "+down, func(t *testing.T) {
			withClient(t, func(t *testing.T, network *fakeNetwork, client *Client) {
				network.down[down] = true
				for key := range 50 {
					verdicts := make([]Verdict, 5)
					var group conc.WaitGroup
					for i := range verdicts {
						group.Go(func() {
							claim := testClaim("k"+strconv.Itoa(key), strconv.Itoa(i))
							verdicts[i] = client.Claim(t.Context(), claim).Verdict
						})
					}
					group.Wait()
					count := map[Verdict]int{}
					for _, verdict := range verdicts {
						count[verdict]++
					}
					if count[VerdictGranted] != 1 || count[VerdictRunning] != len(verdicts)-1 {
						t.Errorf("key %d: verdicts %v", key, verdicts)
					}
				}
			})
		})
	}
}

// TestRunCopiesAndForgets replaces a member while one of the members to copy from
// hangs. Run must still copy the records of the others, and must remove records
// after their retention.
func TestRunCopiesAndForgets(t *testing.T) {
	withClient(t, func(t *testing.T, network *fakeNetwork, client *Client) {
		expectVerdict(t, client, testClaim("k", "1"), VerdictGranted)
		client.Close()
		fresh := api.NodeRef{ID: "d", Incarnation: 1, PeerAddress: "d"}
		next := testConfiguration()
		next.Version, next.Previous = 2, next.Members
		next.Members = []api.NodeRef{testMembers[0], testMembers[1], fresh}
		keeper := NewKeeper(fresh, DefaultLimits(), time.Now)
		keeper.SetConfiguration(next)
		network.hung["a"] = true
		for _, member := range []string{"b", "c"} {
			network.keepers[member].SetConfiguration(next)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group conc.WaitGroup
		group.Go(func() { keeper.Run(ctx, network) })
		time.Sleep(3 * time.Second)
		if status := keeper.Status(); !status[0].Granting || status[0].Records != 1 {
			t.Errorf("status after copying: %+v", status)
		}
		time.Sleep(time.Minute + MaxGrantAge)
		if status := keeper.Status(); status[0].Records != 0 {
			t.Errorf("status after the retention: %+v", status)
		}
		cancel()
		group.Wait()
	})
}
