package coordinator

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// How many requests may arrive at a server with a rate limit within a window, by the users' rules.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// exploreLimits are the rate limits in requests per second; schedules take them in turn.
var exploreLimits = []float64{1, 5, 20}

// demandFactor is the ratio of the requests that nodes have for the server to its limit.
const demandFactor = 3

// minUsed is the share of the limit that must be used once all faults are over.
const minUsed = 0.7

// limitedServer is a server with a rate limit, and the nodes' requests, which exceed it.
type limitedServer struct {
	sim    *simulation
	limit  float64
	random *rand.Rand // used by flood; not safe for concurrent use

	mu       sync.Mutex
	rations  map[string]*backpressure.Ration // by name of the node's incarnation
	arrivals []time.Time
}

func newLimitedServer(sim *simulation, seed uint64) *limitedServer {
	return &limitedServer{sim: sim, limit: exploreLimits[seed%uint64(len(exploreLimits))], random: rand.New(rand.NewPCG(seed, 6)),
		rations: make(map[string]*backpressure.Ration)}
}

// flood sends requests of all nodes at demandFactor times the limit for the given time.
func (s *limitedServer) flood(length time.Duration) {
	pause := time.Duration(float64(time.Second) / (demandFactor * s.limit))
	for began := time.Now(); time.Since(began) < length; time.Sleep(pause) {
		s.sim.mu.Lock()
		n := s.sim.nodes[s.random.IntN(len(s.sim.nodes))]
		s.sim.mu.Unlock()
		go s.send(n)
	}
	time.Sleep(2 * time.Second) // virtual; lets requests that wait for their slots end
}

// send makes a node send one request as package relay does: with a slot from the holder, or from the
// node's own ration.
func (s *limitedServer) send(n *simNode) {
	if n.isFrozen() || !n.waitUntilRunning() {
		return
	}
	slot, err := n.member.RequestSlot(s.sim.t.Context(), []backpressure.Ask{{Server: "server-0", Limit: s.limit}}, backpressure.MaxWait)
	if err != nil {
		slot = backpressure.Slot{Granted: s.ration(n).Take(time.Now(), n.member.Self.Name, "server-0", backpressure.UncoordinatedShare*s.limit, n.member.FleetSize())}
	}
	if !slot.Granted {
		return
	}
	time.Sleep(slot.Wait)
	due := time.Now()
	if !n.waitUntilRunning() || time.Since(due) > 500*time.Millisecond { // the slot has expired
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, time.Now())
}

func (s *limitedServer) ration(n *simNode) *backpressure.Ration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rations[n.name] == nil {
		s.rations[n.name] = new(backpressure.Ration)
	}
	return s.rations[n.name]
}

// check verifies the number of requests in the fullest window and, over a time without faults, the
// used share of the limit.
func (s *limitedServer) check(faultsEnded time.Time, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.arrivals, time.Time.Compare)
	fullest, first, arrivalsWithoutFaults := 0, 0, 0
	for i, at := range s.arrivals {
		for at.Sub(s.arrivals[first]) >= limitWindow {
			first++
		}
		fullest = max(fullest, i-first+1)
		if !at.Before(faultsEnded) && at.Sub(faultsEnded) < length {
			arrivalsWithoutFaults++
		}
	}
	allowed := limitOverage*s.limit*limitWindow.Seconds() + limitSlack
	used := float64(arrivalsWithoutFaults) / (s.limit * length.Seconds())
	s.sim.t.Logf("at most %d requests arrived within %v, %g are allowed; %.2f of the limit used without faults; %d terms", fullest, limitWindow, allowed, used, s.sim.leaseStore.stored.Record.Term)
	if float64(fullest) > allowed {
		s.sim.t.Errorf("LIMIT: %d requests arrived within %v, %g are allowed", fullest, limitWindow, allowed)
	}
	if used < minUsed {
		s.sim.t.Errorf("only %.2f of the limit used without faults", used)
	}
}

// TestLIMITInSchedules runs the explorer's faults, and crashes of all nodes at once, while nodes
// have more requests for a server than its rate limit allows.
func TestLIMITInSchedules(t *testing.T) {
	explore(t, func(sim *simulation, seed uint64) {
		const timeWithoutFaults = 8 * time.Second
		sim.keepNodeAddresses = seed%2 == 0
		s := newLimitedServer(sim, seed)
		time.Sleep(time.Second)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.flood(faultTime + settleTime + timeWithoutFaults)
		}()
		sim.runFaultsAndCrashes()
		time.Sleep(settleTime)
		faultsEnded := time.Now()
		time.Sleep(timeWithoutFaults)
		<-done
		s.check(faultsEnded, timeWithoutFaults)
		time.Sleep(recoverTime) // virtual; lets pending load requests end
		sim.stopNodes()
	})
}
