package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/quarantine"
)

// A harmless request that many callers send was quarantined after all nodes had crashed at once.
// Copies of it ran beside a crashing request in two rounds, so both were suspected. The harmless
// request's trial, which was to tell them apart, was then granted at a server to which a node
// without news of the suspicion had sent the crashing request.
//
// In these schedules all nodes are new, and a copy takes from a fraction of the crashing request's
// time to three times as long. They reproduce the fault in about 1 of 4,000 schedules;
// TestLateEvidenceClearsAHarmlessRequest reproduces the exact moment.

// harmlessRequest is a request that many callers send beside a crashing request.
type harmlessRequest struct {
	crashing    *crashingRequest
	fingerprint quarantine.Fingerprint
	parts       []string      // of the prompts of many requests, no two alike, in place of one; nil: it is one
	random      *rand.Rand    // used by flood; not safe for concurrent use
	fresh       bool          // each request also has a part that no other has
	runTime     time.Duration // time that one copy runs

	mu                sync.Mutex
	sent              int // requests with the parts
	completed, broken int
	calls             []harmlessCall
	quarantined       []string // names of the nodes that had it in quarantine
}

// Rates and times of the harmless request.
const (
	harmlessInterval = 10 * time.Millisecond // between two copies
	trialWait        = 2 * time.Second       // how long a caller waits for a trial
	maxCrashTime     = 40 * time.Millisecond // longest time until the crashing request crashes its server
)

// harmlessCall is a request of a caller.
type harmlessCall struct {
	at        time.Time
	inContact bool // the node was in contact with the store, by the users' rules
	first     bool // its first run was not interrupted
}

// next returns the subjects of the request that is sent next, and the parts of its prompt.
func (h *harmlessRequest) next() (subjects []quarantine.Fingerprint, parts []string) {
	if h.parts == nil {
		return []quarantine.Fingerprint{h.fingerprint}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent++
	parts = h.parts
	if h.fresh {
		parts = append(slices.Clone(parts), fmt.Sprint("of harmless ", h.sent))
	}
	return subjectsOfPrompt(fmt.Sprint("harmless ", h.sent), parts), parts
}

// flood sends copies for the given time.
func (h *harmlessRequest) flood(length time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(length, func() { close(stop) })
	h.floodUntil(stop)
}

// floodUntil sends copies until stop is closed.
func (h *harmlessRequest) floodUntil(stop <-chan struct{}) {
	sim := h.crashing.sim
	for ; ; time.Sleep(harmlessInterval) {
		select {
		case <-stop:
			return
		default:
		}
		sim.mu.Lock()
		n := sim.nodes[h.random.IntN(len(sim.nodes))]
		sim.mu.Unlock()
		go h.send(n, h.random.IntN(1000))
	}
}

// send sends one copy to up to defaultMaxTries servers, as a node's relay does.
func (h *harmlessRequest) send(n *simNode, offset int) {
	subjects, parts := h.next()
	call := harmlessCall{at: time.Now(), inContact: n.inContact() && time.Since(n.started) > contactTime}
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.calls = append(h.calls, call)
	}()
	for try := range defaultMaxTries {
		if n.isFrozen() || !n.waitUntilRunning() {
			return
		}
		server := h.nextServer(offset + try)
		if server == "" || n.isCutFromServer(server) {
			return
		}
		standing, granted := h.waitForPermission(n, server, subjects)
		if !granted {
			return
		}
		runs := n.beginRuns(subjects, parts, server)
		sentTo := n.servers.Snapshot().Member(runs[0].Server)
		if h.run(n, server) {
			call.first = try == 0
			n.member.Completed(subjects[0])
			for i, id := range parts {
				n.member.PartAnswered(id, subjects[i+1])
			}
			if standing == quarantine.Suspected {
				n.member.ReleaseTrial(runs[0].Server, subjects...)
			}
			return
		}
		if !n.waitUntilRunning() {
			return
		}
		h.reportCrash(n, runs, sentTo, standing)
		if h.crashing.proxied && standing == quarantine.Suspected {
			return // the trial is kept until it expires
		}
	}
}

// waitForPermission waits for a trial at the server if the request is suspected. It reports whether
// the request may run there.
func (h *harmlessRequest) waitForPermission(n *simNode, server string, subjects []quarantine.Fingerprint) (quarantine.Standing, bool) {
	for began := time.Now(); time.Since(began) < trialWait; time.Sleep(quarantine.TrialRetryAfter) {
		if !n.waitUntilRunning() {
			return 0, false
		}
		standing := n.member.Standing(subjects...)
		switch standing {
		case quarantine.Free:
			return standing, true
		case quarantine.Quarantined:
			h.mu.Lock()
			h.quarantined = append(h.quarantined, n.name)
			h.mu.Unlock()
			h.crashing.sim.logEvent("%s has the harmless request in quarantine", n.name)
			return standing, false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		granted, _ := n.member.RequestTrial(ctx, "s", n.listedIncarnation(server), subjects...)
		cancel()
		if granted {
			h.crashing.sim.logEvent("%s got a trial of the harmless request at %s", n.name, server)
			return standing, true
		}
	}
	return 0, false
}

// run runs a copy. It returns false if its server ended or restarted meanwhile.
func (h *harmlessRequest) run(n *simNode, server string) bool {
	incarnation := h.crashing.incarnation(server)
	known := h.crashing.sim.serverIDs()[server]
	time.Sleep(h.runTime)
	completed := known && h.crashing.sim.serverIDs()[server] && h.crashing.incarnation(server) == incarnation
	h.mu.Lock()
	defer h.mu.Unlock()
	if completed {
		h.completed++
	} else {
		h.broken++
	}
	return completed
}

// reportCrash reports that a server crashed while a copy ran there.
func (h *harmlessRequest) reportCrash(n *simNode, runs []quarantine.Run, sentTo *backend.Member, standing quarantine.Standing) {
	if h.crashing.proxied {
		n.member.CrashSuspected(h.crashing.sim.t.Context(), runs...)
		n.reportEndByRecord(runs, sentTo)
		return
	}
	n.member.ServerCrashed(runs...)
	if standing == quarantine.Suspected {
		n.member.ReleaseTrial(runs[0].Server, subjectsOf(runs)...)
	}
}

// nextServer returns a running server, or "" if there is none.
func (h *harmlessRequest) nextServer(offset int) string {
	names := h.crashing.runningServers()
	if len(names) == 0 {
		return ""
	}
	return names[offset%len(names)]
}

// TestHarmlessRequestsAreNotQuarantinedInSchedules crashes all nodes again and again while both
// requests are sent, with the explorer's faults in half of the schedules. The harmless request must
// never be quarantined.
func TestHarmlessRequestsAreNotQuarantinedInSchedules(t *testing.T) {
	explore(t, func(sim *simulation, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 6))
		crashing := &crashingRequest{
			sim: sim, fingerprint: quarantine.FingerprintOf("POST", "h", "/", []byte("fatal")),
			random: rand.New(rand.NewPCG(seed, 3)), timeToCrash: time.Millisecond + time.Duration(random.Int64N(int64(maxCrashTime))),
		}
		sim.keepNodeAddresses, crashing.proxied = true, seed/2%2 == 0
		harmless := &harmlessRequest{
			crashing: crashing, fingerprint: quarantine.FingerprintOf("POST", "h", "/", []byte("innocent")),
			random: rand.New(rand.NewPCG(seed, 7)), runTime: time.Millisecond + time.Duration(random.Int64N(int64(3*maxCrashTime))),
		}
		time.Sleep(time.Second)
		for range 4 {
			sim.crashAll()
			done := make(chan struct{})
			go func() {
				defer close(done)
				harmless.flood(2 * time.Second)
			}()
			for range 1 + random.IntN(4) { // each crashes up to three of the four servers
				time.AfterFunc(time.Duration(random.Int64N(int64(300*time.Millisecond))), func() { crashing.send(sim.nodes[0]) })
				time.AfterFunc(time.Duration(random.Int64N(int64(300*time.Millisecond))), func() { crashing.send(sim.nodes[1]) })
			}
			crashing.phase(2*time.Second, seed%2 == 0)
			<-done
		}
		sim.heal()
		time.Sleep(recoverTime) // virtual; lets pending load requests end
		sim.stopNodes()
		if len(harmless.quarantined) > 0 {
			t := sim.t
			t.Errorf("the harmless request was found in quarantine %d times, first at %s; %d copies completed, %d were broken off, each takes %v",
				len(harmless.quarantined), harmless.quarantined[0], harmless.completed, harmless.broken, harmless.runTime)
		}
	})
}
