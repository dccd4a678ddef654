package coordinator

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/quarantine"
)

// weightStore simulates a weight store that serves up to knee concurrent loads at full speed. The
// time of each load that starts beyond the knee grows in proportion to the number of loads.
type weightStore struct {
	knee        int           // zero means no limit
	nominalTime time.Duration // time of a load at full speed
	running     []storeLoad
}

type storeLoad struct {
	since, until time.Time
	concurrent   int
}

// begin starts a load. Its time depends on the loads in progress.
func (s *weightStore) begin(now time.Time) {
	concurrent := len(s.running) + 1
	took := s.nominalTime
	if s.knee > 0 && concurrent > s.knee {
		took = time.Duration(float64(s.nominalTime) * float64(concurrent) / float64(s.knee))
	}
	s.running = append(s.running, storeLoad{now, now.Add(took), concurrent})
}

// end removes and returns the loads that are done.
func (s *weightStore) end(now time.Time) []storeLoad {
	var done []storeLoad
	s.running = slices.DeleteFunc(s.running, func(r storeLoad) bool {
		if r.until.After(now) {
			return false
		}
		done = append(done, r)
		return true
	})
	return done
}

// simulateLoads keeps loads waiting for the store all the time and returns the limit at the end of
// each second. The end of a load is noticed late by lag.
func simulateLoads(s *weightStore, l *storeLimit, servers int, from time.Time, span, lag time.Duration) []int {
	const step = 100 * time.Millisecond
	var limits []int
	for now := from; now.Before(from.Add(span)); now = now.Add(step) {
		for _, r := range s.end(now.Add(-lag)) {
			l.observe(now, r.concurrent, now.Sub(r.since), s.nominalTime)
		}
		for len(s.running) < min(l.limit(now), servers) {
			s.begin(now)
		}
		if now.Sub(from)%time.Second == 0 {
			limits = append(limits, l.limit(now))
		}
	}
	return limits
}

// TestStoreLimitFindsTheKnee checks that the limit approaches the number of concurrent loads at full
// speed within some loads and stays there.
func TestStoreLimitFindsTheKnee(t *testing.T) {
	const servers = 30
	for _, nominal := range []time.Duration{700 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
		for _, knee := range []int{2, 4, 8, 11, 20, 0} {
			t.Run(fmt.Sprintf("knee %d, loads of %v", knee, nominal), func(t *testing.T) {
				const lag = 250 * time.Millisecond
				limits := simulateLoads(&weightStore{knee: knee, nominalTime: nominal}, &storeLimit{}, servers, time.Now(), 20*nominal, lag)
				settled := limits[len(limits)/2:]
				low, high := slices.Min(settled), slices.Max(settled)
				want := knee
				if knee == 0 {
					want = servers
				}
				if low < want*3/4 {
					t.Errorf("only %d of %d loads are allowed: %v", low, want, limits)
				}
				// If the end of a load is noticed late by a third of its time, the knee can't be
				// measured exactly.
				if slack := max(want/4+1, int(float64(want)*slowSlack.Seconds()/nominal.Seconds())); knee > 0 && high > want+slack {
					t.Errorf("%d loads are allowed at a knee of %d: %v", high, want, limits)
				}
			})
		}
	}
}

// TestStoreLimitFollowsTheKnee checks that the limit follows a knee that moves up or down.
func TestStoreLimitFollowsTheKnee(t *testing.T) {
	for _, test := range []struct{ before, after int }{{4, 12}, {12, 4}} {
		s, l, now := &weightStore{knee: test.before, nominalTime: 2 * time.Second}, &storeLimit{}, time.Now()
		simulateLoads(s, l, 30, now, time.Minute, 0)
		s.knee = test.after
		limits := simulateLoads(s, l, 30, now.Add(time.Minute), 4*time.Minute, 0)
		end := limits[len(limits)-1]
		if end < test.after*3/4 || end > test.after+test.after/4+1 {
			t.Errorf("%d loads are allowed after the knee moved from %d to %d: %v", end, test.before, test.after, limits)
		}
	}
}

// TestStoreLimitIgnoresALateLoad checks that a single slow load does not lower the limit while
// others beside it run at full speed.
func TestStoreLimitIgnoresALateLoad(t *testing.T) {
	l, now := &storeLimit{}, time.Now()
	for range 5 {
		l.observe(now, 8, 3*time.Second, 3*time.Second)
	}
	before := l.limit(now)
	l.observe(now, 6, 9*time.Second, 3*time.Second)
	if got := l.limit(now); got != before {
		t.Errorf("the limit went from %d to %d for one late load", before, got)
	}
}

// TestStoreLimitIsHandedOn checks that a new holder starts with what the last one learned, and that
// a report from an earlier term does not replace it.
func TestStoreLimitIsHandedOn(t *testing.T) {
	first, now := &storeLimit{}, time.Now()
	first.observe(now, 10, 6*time.Second, 3*time.Second)
	told := first.export(7)
	if told != (StoreLimit{Loads: 5, Bound: true, Term: 7}) {
		t.Fatalf("%+v is handed on, want a bound of 5 loads of term 7", told)
	}
	next := &storeLimit{}
	if got := next.export(8); got.Loads != 0 {
		t.Errorf("a holder that saw no load hands on %+v", got)
	}
	next.adopt(now, told)
	next.adopt(now, StoreLimit{Loads: 20, Term: 3})
	if got := next.limit(now); got != 5 {
		t.Errorf("the next holder starts with %d loads, want 5", got)
	}
	next.observe(now.Add(3*time.Second), 5, 3*time.Second, 3*time.Second)
	if got := next.limit(now.Add(3 * time.Second)); got != 5 {
		t.Errorf("the next holder allows %d loads after one at full speed, want 5: more were slow", got)
	}
}

// TestStoreLimitProperties checks that, whatever loads are observed, at least one load may run and
// the limit is bounded by the concurrency observed.
func TestStoreLimitProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261202)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("the limit stays within bounds", prop.ForAll(
		func(besides, millis []int) bool {
			l, now, most := &storeLimit{}, time.Now(), initialStoreLimit
			for i := range min(len(besides), len(millis)) {
				now = now.Add(time.Duration(millis[i]) * time.Millisecond)
				l.observe(now, besides[i], time.Duration(millis[i])*time.Millisecond, 2*time.Second)
				most = max(most, besides[i])
				if got := l.limit(now); got < 1 || got > 2*most+1 {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.IntRange(1, 40)), gen.SliceOf(gen.IntRange(0, 30000)),
	))
	properties.TestingRun(t)
}

// TestNewHolderIsToldTheStoreLimit checks that a node tells a new holder what the last one learned,
// and keeps what it knows.
func TestNewHolderIsToldTheStoreLimit(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		n := s.start("a")
		n.waitForLease()
		m := &Member{Quarantine: new(quarantine.Table),
			Self: Node{Name: "b", Peers: "a"}, Lease: n.lease, Holder: n.holder, Servers: n.servers,
			Logger: hclog.NewNullLogger(), storeLimit: StoreLimit{Loads: 9, Term: 1},
		}
		if err := m.heartbeat(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := n.holder.store.limit(time.Now()); got != 9 {
			t.Errorf("the holder starts with %d loads, want 9", got)
		}
		if m.storeLimitTerm == 0 || m.storeLimit.Loads != 9 {
			t.Errorf("the node keeps %+v of term %d", m.storeLimit, m.storeLimitTerm)
		}
		n.stop()
	})
}

// TestLongLoadsBeginOneByOne checks that, until the store's concurrency is known, no more loads are
// started at once than would finish soon one after the other.
func TestLongLoadsBeginOneByOne(t *testing.T) {
	for nominal, want := range map[time.Duration]int{
		0: initialStoreLimit, 600 * time.Millisecond: initialStoreLimit, 6900 * time.Millisecond: initialStoreLimit,
		13200 * time.Millisecond: 2, 19800 * time.Millisecond: 1, time.Minute: 1,
	} {
		if got := (&storeLimit{nominal: nominal}).limit(time.Now()); got != want {
			t.Errorf("of loads that take %v, %d are started at once, want %d", nominal, got, want)
		}
	}
}

// TestServersStayFreeWhileTheStoreIsSlow requests models that no server has on disk, from a store
// that serves one load at full speed. Servers must stay free for loads from their own disks.
func TestServersStayFreeWhileTheStoreIsSlow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSlowStoreSite(t, 0)
		for i := range 4 {
			s.engines.servers[fmt.Sprintf("server-%d", i)].onDisk = []string{fmt.Sprintf("m%d", 20+i)}
		}
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		time.Sleep(2 * time.Second)
		for i := range 4 {
			n.requestLoad(t, fmt.Sprintf("m%d", 10+i)) // no server has it on disk
		}
		time.Sleep(3 * time.Second)
		ready := 0
		for i := range 4 {
			if answer := n.requestLoadWithPriority(t, fmt.Sprintf("m%d", 20+i), 1); answer.ReadyIn < 4*time.Second {
				ready++
			}
		}
		if ready < 3 {
			t.Errorf("%d of 4 models on disk are ready within 4s; loads from the store occupy the other servers", ready)
		}
	})
}

// newSlowStoreSite returns a site whose loads from the store take 20 s, with the given number of
// empty servers beside four full ones.
func newSlowStoreSite(t *testing.T, empty int) *site {
	holds := [][]string{{"m0", "m1"}, {"m2", "m3"}, {"m4", "m5"}, {"m6", "m7"}}
	s := newSite(t, append(holds, make([][]string, empty)...)...)
	s.engines.loadDuration = 20 * time.Second
	for _, m := range s.table.Service("s").Engine.Models {
		m.LoadTime = s.engines.loadDuration
	}
	return s
}

// TestNewHolderLoadsFromTheStoreOnceItKnows checks that a new holder starts loads from the store
// only once it has heard from the nodes which models are in use.
func TestNewHolderLoadsFromTheStoreOnceItKnows(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSlowStoreSite(t, 2)
		s.knownNodes = []Node{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		n := s.start("a")
		defer n.stop()
		n.waitForLease()
		began := time.Now()
		for len(s.engines.loads()) == 0 && time.Since(began) < 10*time.Second {
			n.requestLoad(t, "m10")
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(began); took < learnPeriod-tickInterval || took > 2*learnPeriod+time.Second {
			t.Errorf("the first load from the store started %v into the term, want right after %v", took, learnPeriod)
		}
	})
}
