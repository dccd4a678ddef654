package coordinator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// What may arrive at a server with a limit, as in the users' rules.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// exploreLimits are the limits, in requests a second, in turn for one schedule after the other.
var exploreLimits = []float64{1, 5, 20}

// limitFactor is how much more nodes have for the server than it takes.
const limitFactor = 3

// usedLeast is the part of the limit that is used once all trouble is over.
const usedLeast = 0.7

// limitedServer is a server that names a limit, and nodes that have more for it.
type limitedServer struct {
	world  *world
	limit  float64
	random *rand.Rand // for the callers; not safe for concurrent use

	mu      sync.Mutex
	rations map[string]*backpressure.Ration // by the life of a node
	came    []time.Time
}

func newLimitedServer(w *world, seed uint64) *limitedServer {
	return &limitedServer{world: w, limit: exploreLimits[seed%uint64(len(exploreLimits))], random: rand.New(rand.NewPCG(seed, 6)),
		rations: make(map[string]*backpressure.Ration)}
}

// flood sends for a while.
func (s *limitedServer) flood(length time.Duration) {
	pause := time.Duration(float64(time.Second) / (limitFactor * s.limit))
	for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
		s.world.mu.Lock()
		n := s.world.nodes[s.random.IntN(len(s.world.nodes))]
		s.world.mu.Unlock()
		go s.send(n)
	}
	time.Sleep(2 * time.Second) // virtual; for slots that are waited for
}

// send has a node send one request as package relay does: by a slot, or by its ration.
func (s *limitedServer) send(n *worldNode) {
	if n.isFrozen() || !n.awake() {
		return
	}
	slot, err := n.member.TakeSlot(s.world.t.Context(), []backpressure.Ask{{Server: "server-0", Limit: s.limit}}, backpressure.MostWait)
	if err != nil {
		slot = backpressure.Slot{Granted: s.ration(n).Take(time.Now(), n.member.Self.Name, "server-0", backpressure.AloneShare*s.limit, n.member.Fleet())}
	}
	if !slot.Granted {
		return
	}
	time.Sleep(slot.Wait)
	due := time.Now()
	if !n.awake() || time.Since(due) > 500*time.Millisecond { // the slot lapsed
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.came = append(s.came, time.Now())
}

func (s *limitedServer) ration(n *worldNode) *backpressure.Ration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rations[n.name] == nil {
		s.rations[n.name] = new(backpressure.Ration)
	}
	return s.rations[n.name]
}

// judge looks at the fullest window, and at what came in a while without trouble.
func (s *limitedServer) judge(calm time.Time, lasted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.came, time.Time.Compare)
	most, first, late := 0, 0, 0
	for i, at := range s.came {
		for at.Sub(s.came[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
		if !at.Before(calm) && at.Sub(calm) < lasted {
			late++
		}
	}
	may := limitOverage*s.limit*limitWindow.Seconds() + limitSlack
	used := float64(late) / (s.limit * lasted.Seconds())
	s.world.t.Logf("%d came in %v at most, %g may; of the limit %.2f were used without trouble; %d terms", most, limitWindow, may, used, s.world.row.stored.Record.Term)
	if float64(most) > may {
		s.world.t.Errorf("LIMIT: %d came in %v, %g may", most, limitWindow, may)
	}
	if used < usedLeast {
		s.world.t.Errorf("%.2f of the limit are used without trouble", used)
	}
}

// TestLIMITInSchedules plays the explorer's faults, and losses of all nodes at once, beside a server that names a
// limit and nodes that have more for it.
func TestLIMITInSchedules(t *testing.T) {
	explore(t, func(w *world, seed uint64) {
		const calmPart = 8 * time.Second
		w.addressesStay = seed%2 == 0
		s := newLimitedServer(w, seed)
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.flood(faultTime + calmTime + calmPart)
		}()
		w.playLosses()
		time.Sleep(calmTime)
		calm := time.Now()
		time.Sleep(calmPart)
		<-done
		s.judge(calm, calmPart)
		time.Sleep(recoverTime) // virtual; for the wishes under way to end
		w.stopNodes()
	})
}
