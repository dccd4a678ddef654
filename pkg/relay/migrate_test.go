package relay

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/route"
)

// fault is what happens to one call of a move, or to a request that continues from a copy.
type fault uint8

const (
	noFault       fault = iota
	refused             // rejected without effect
	lost                // no effect, no answer
	answerLost          // carried out, but the answer is lost
	sourceCrashes       // before the call is carried out
	targetCrashes
	late     // carried out, the answer is delayed
	breaks   // a continued stream breaks off after some events
	hangs    // the server takes the request and does nothing until its connection closes
	lateStop // no answer; a stop is carried out a while later
	unsent   // nothing was sent: connecting timed out or was reset at once
)

// moveCluster is a set of servers whose runs can move. It simulates the engines and implements
// Mover.
type moveCluster struct {
	*site
	id            string // ID of its only request
	cutHead       string // sent in place of an answer that is lost, if it is not empty
	total         int
	eventInterval time.Duration
	faults        func(step string) fault
	// unframed answers end with their connection, whether complete or not.
	unframed bool

	fleetMu        sync.Mutex
	working        map[string]chan struct{} // runs by server; closing the channel stops the run
	peak           int                      // maximum of concurrent runs
	freshRuns      []string                 // servers whose runs began without a copy
	handle         string
	handleOwner    string // source of the handle
	handleReported bool   // the caller knows the handle; servers free unknown ones after a while
	stopped        string // server that stopped its run
	used           bool
	crashed        map[string]bool
	backup         string // server that receives copies of the run
	hung           atomic.Bool
	eventsMade     atomic.Int64 // number of events produced
}

// clusterCount numbers the clusters, so that their requests have different IDs.
var clusterCount atomic.Int64

const (
	originHeader = "X-Origin"
	backupHeader = "X-Backup"
	tokensHeader = "X-Tokens"
)

// newMoveCluster starts a relay that moves streams, in front of servers that all hold the model.
// The first one is preferred.
func newMoveCluster(t *testing.T, resumable bool, servers int, faults func(step string) fault) *moveCluster {
	f := &moveCluster{id: fmt.Sprintf("id-%d", clusterCount.Add(1)), total: 40, eventInterval: 2 * time.Millisecond, faults: faults, working: map[string]chan struct{}{}, crashed: map[string]bool{}}
	answers := make([]answerer, servers)
	for i := range answers {
		answers[i] = f.serve
	}
	r := streamRoute(resumable)
	r.Sticky, r.MaxAttempts = true, 2
	f.site = newSite(t, r, answers...)
	f.relay.Headers.Origin, f.relay.Headers.Backup, f.relay.Headers.Tokens = originHeader, backupHeader, tokensHeader
	f.relay.Mover, f.relay.DrainTime = f, 5*time.Second
	table := f.relay.Routes()
	table.Service("s").Engine = &route.Engine{Moves: true, EventTokens: 1, Models: map[string]*route.Model{"m": {Name: "m"}}}
	for _, s := range f.servers {
		s.Slots, s.Models = 400, []backend.Holding{{Model: "m"}} // so many slots that moves begin at once
	}
	f.relay.Servers.Replace(f.servers, 2)
	for _, s := range f.servers[1:] {
		f.relay.Servers.Snapshot().Member(s.ID).Failed(time.Now())
	}
	return f
}

// crash ends a server, which loses its runs and copies.
func (f *moveCluster) crash(server string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	f.crashed[server] = true
	for i, s := range f.servers {
		if s.ID == server {
			_ = f.running[i].Listener.Close()
			go f.running[i].CloseClientConnections()
		}
	}
	if stop := f.working[server]; stop != nil {
		close(stop)
		delete(f.working, server)
	}
}

// serve runs a request.
func (f *moveCluster) serve(w http.ResponseWriter, r *http.Request, s seen) {
	if s.id != f.id { // a request of another cluster, whose crashed server had this address
		rejectWith(http.StatusMisdirectedRequest)(w, r, s)
		return
	}
	for _, other := range f.servers {
		if other.Address == r.Header.Get(backupHeader) {
			f.noteBackup(other.ID)
		}
	}
	stop, ok := f.start(s.server, r.Header.Get(originHeader))
	if !ok {
		rejectWith(http.StatusServiceUnavailable)(w, r, s)
		return
	}
	if stop == nil && f.hung.Load() {
		<-r.Context().Done()
	}
	if stop == nil && f.cutHead != "" {
		raw(f.cutHead)(w, r, s)
		return
	}
	if stop == nil {
		panic(http.ErrAbortHandler)
	}
	next := 1
	if n, err := strconv.Atoi(s.lastEvent); err == nil {
		next = n + 1
	}
	w.Header().Set(testHeaders.Seal, "seal-"+s.server)
	w.Header().Set(testHeaders.RequestID, s.id)
	if f.unframed {
		f.serveUnframed(w, s, next, stop)
		return
	}
	for ; next <= f.total; next++ {
		select {
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			f.finish(s.server, stop)
			return
		case <-time.After(f.eventInterval):
		}
		_, _ = io.WriteString(w, eventsText(next, next))
		_ = http.NewResponseController(w).Flush()
		f.eventsMade.Add(1)
	}
	f.finish(s.server, stop)
}

// serveUnframed writes the events to the bare connection until the run ends or stops, and closes
// it.
func (f *moveCluster) serveUnframed(w http.ResponseWriter, s seen, next int, stop chan struct{}) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Seal: seal-%s\r\nX-Id: %s\r\nConnection: close\r\n\r\n", s.server, s.id)
	for ; next <= f.total; next++ {
		select {
		case <-stop:
			return
		case <-time.After(f.eventInterval):
		}
		_, _ = io.WriteString(conn, eventsText(next, next))
	}
	f.finish(s.server, stop)
}

// noteBackup records the server that receives copies.
func (f *moveCluster) noteBackup(server string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	f.backup = server
}

// start begins a run. It returns a nil channel if no answer is to be sent, and false if the run is
// rejected.
func (f *moveCluster) start(server, origin string) (chan struct{}, bool) {
	effect := noFault
	if origin != "" {
		step := "go on"
		if strings.HasPrefix(origin, server) {
			step = "go back"
		}
		effect = f.fault(step, origin, server)
	}
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if origin == "" {
		f.freshRuns = append(f.freshRuns, server)
	} else {
		f.hung.Store(effect == hangs)
		if effect == lost || effect == hangs || f.crashed[server] {
			return nil, true
		}
		_, handle, _ := strings.Cut(origin, "/")
		copied := handle == f.handle || handle == f.id && server == f.backup
		if effect == refused || f.used || !copied || handle == "" {
			return nil, false
		}
		f.used = true
		if server == f.stopped {
			f.stopped = "" // the run goes back there
		}
		if effect == answerLost {
			return nil, true
		}
	}
	for range 2000 { // a server needs a moment to notice that its connection closed
		if len(f.working) == 0 {
			break
		}
		f.fleetMu.Unlock()
		time.Sleep(time.Millisecond)
		f.fleetMu.Lock()
	}
	stop := make(chan struct{})
	f.working[server] = stop
	f.peak = max(f.peak, len(f.working))
	if effect == breaks {
		time.AfterFunc(10*time.Millisecond, func() { f.breakOff(server, stop) })
	}
	return stop, true
}

// fault returns the effect on a step and crashes servers that are to crash.
func (f *moveCluster) fault(step, origin, target string) fault {
	effect := f.faults(step)
	source, _, _ := strings.Cut(origin, "/")
	switch effect {
	case sourceCrashes:
		f.crash(source)
	case targetCrashes:
		f.crash(target)
	}
	return effect
}

// breakOff breaks a run off.
func (f *moveCluster) breakOff(server string, stop chan struct{}) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if f.working[server] == stop {
		close(stop)
		delete(f.working, server)
	}
}

func (f *moveCluster) finish(server string, stop chan struct{}) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if f.working[server] == stop {
		delete(f.working, server)
	}
}

var errLost = errors.Wrap(backend.ErrNoAnswer, "a test's fault")

// Copy implements Mover.
func (f *moveCluster) Copy(_ context.Context, source *backend.Member, o CopyOrder) (Copied, error) {
	step, target := "copy", ""
	if o.Stop {
		step = "stop"
	}
	for _, s := range f.servers {
		if s.Address == o.To {
			target = s.ID
		}
	}
	effect := f.fault(step, source.ID, target)
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	stop := f.working[source.ID]
	switch {
	case f.crashed[source.ID]:
		return Copied{}, fmt.Errorf("%w: %w", backend.ErrRefused, backend.ErrNotSent)
	case effect == lost:
		return Copied{}, errLost
	case effect == lateStop:
		time.AfterFunc(20*time.Millisecond, func() { f.breakOff(source.ID, stop) })
		return Copied{}, errLost
	case effect == unsent:
		return Copied{}, errors.Wrap(backend.ErrNotSent, "a test's fault")
	case stop == nil && f.stopped != source.ID:
		return Copied{Result: CopyNoRun}, nil
	}
	if o.Stop && stop != nil && effect != refused {
		close(stop)
		delete(f.working, source.ID)
		f.stopped = source.ID
	}
	if (effect == refused || f.crashed[target]) && f.stopped != source.ID && o.Stop {
		return Copied{Result: CopyNoRoom}, nil
	}
	if f.handle == "" || f.used { // belongs to a new run
		f.handleOwner, f.handle, f.used, f.handleReported = source.ID, fmt.Sprintf("h%d", rand.Uint32()), false, false
	}
	switch {
	case effect == refused, f.crashed[target]:
		f.handleReported = true
		return Copied{Result: CopyNoRoom, Handle: f.handle}, nil
	case effect == answerLost:
		return Copied{}, errLost
	}
	f.handleReported = true
	if effect == late {
		f.fleetMu.Unlock()
		time.Sleep(30 * time.Millisecond)
		f.fleetMu.Lock()
	}
	return Copied{Handle: f.handle}, nil
}

// Drop implements Mover.
func (f *moveCluster) Drop(_ context.Context, _ *backend.Member, handle string) error {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if handle == f.handle {
		f.handle = ""
	}
	return nil
}

// Origin implements Mover.
func (f *moveCluster) Origin(source *backend.Member, handle string) string {
	return source.ID + "/" + handle
}

// runWithLeavingServer sends a request whose server leaves during the stream.
func (f *moveCluster) runWithLeavingServer() answer {
	request := f.request(f.t.Context(), http.MethodPost, "/p/x", f.id, "x")
	request.Header.Set(testHeaders.Model, "m")
	done := make(chan answer, 1)
	go func() { done <- f.do(request) }()
	for len(f.arrivals()) == 0 {
		time.Sleep(time.Millisecond)
	}
	first := f.arrivals()[0].server
	servers := make([]*backend.Server, len(f.servers))
	for i, s := range f.servers {
		c := *s
		c.Draining, c.Version = s.ID == first, 3
		servers[i] = &c
	}
	f.relay.Servers.Replace(servers, 3)
	return <-done
}

// check verifies the invariants under all faults: no event is duplicated or missing, a request that
// may run once does not run again, runs never overlap, and no copy is left behind.
func (f *moveCluster) check(got answer, resumable bool) error {
	whole := eventsText(1, f.total)
	switch {
	case !strings.HasPrefix(whole, got.body):
		return errors.Errorf("events are missing or duplicated: %q", got.body)
	case got.err == nil && got.body != whole:
		return errors.Errorf("a broken stream looks complete after %d bytes", len(got.body))
	}
	seal := strings.TrimPrefix(got.header.Get(testHeaders.Seal), "seal-")
	deadline := time.Now().Add(time.Second) // copies are dropped after the answer
	for {
		f.fleetMu.Lock()
		fresh, peak, left := f.freshRuns, f.peak, f.handleReported && f.handle != "" && !f.used && !f.crashed[f.handleOwner]
		f.fleetMu.Unlock()
		switch {
		case !resumable && len(fresh) > 1:
			return errors.Errorf("%d runs of a request that may run once", len(fresh))
		case got.body != "" && !slices.Contains(fresh, seal):
			return errors.Errorf("the seal is %q, of a server that continued a run of %v", seal, fresh)
		case peak > 1:
			return errors.Errorf("%d concurrent runs", peak)
		case !left:
			return nil
		case time.Now().After(deadline):
			return errors.New("a copy is left behind")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStreamMovesFromLeavingServer checks that even a stream that may run only once continues at
// another server, as the same run.
func TestStreamMovesFromLeavingServer(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(string) fault { return noFault })
	got := f.runWithLeavingServer()
	if err := f.check(got, false); err != nil {
		t.Error(err)
	}
	if got.err != nil {
		t.Errorf("the stream broke: %v", got.err)
	}
	if a := f.arrivals(); len(a) != 2 || a[1].server == a[0].server {
		t.Errorf("the stream did not move: %+v", a)
	}
}

// onlyOnce applies each fault to the first step of the named kind.
func onlyOnce(faulty map[string]fault) func(string) fault {
	var mu sync.Mutex
	left := make(map[string]fault, len(faulty))
	for step, effect := range faulty {
		left[step] = effect
	}
	return func(step string) fault {
		mu.Lock()
		defer mu.Unlock()
		effect := left[step]
		delete(left, step)
		return effect
	}
}

// TestMovesThatFailHalfway checks what happens to a stream that may run once, and to a resumable
// one, when a step of its move fails.
func TestMovesThatFailHalfway(t *testing.T) {
	for _, row := range []struct {
		name                    string
		faults                  map[string]fault
		nonResumable, resumable bool // the caller gets the whole stream
	}{
		{"the copy is refused", map[string]fault{"copy": refused}, true, true},
		{"the copy is not asked for", map[string]fault{"copy": lost}, true, true},
		{"the copy's answer is lost", map[string]fault{"copy": answerLost}, true, true},
		{"the source ends before the copy", map[string]fault{"copy": sourceCrashes}, false, true},
		{"the target ends before the copy", map[string]fault{"copy": targetCrashes}, true, true},
		{"the stop is refused", map[string]fault{"stop": refused}, true, true},
		{"the stop is not asked for", map[string]fault{"stop": lost}, true, true},
		{"the stop's answer is lost", map[string]fault{"stop": answerLost}, true, true},
		{"the source ends before the stop", map[string]fault{"stop": sourceCrashes}, true, true},
		{"the target ends before the stop", map[string]fault{"stop": targetCrashes}, true, true},
		{"the target refuses", map[string]fault{"go on": refused}, true, true},
		{"the request to the target is lost", map[string]fault{"go on": lost}, true, true},
		{"the target does not answer", map[string]fault{"go on": hangs}, true, true},
		{"the stop's answer is late", map[string]fault{"stop": late}, true, true},
		{"the target breaks off", map[string]fault{"go on": breaks}, false, true},
		{"the target does not begin", map[string]fault{"go on": answerLost}, false, true},
		{"the target ends", map[string]fault{"go on": targetCrashes}, true, true},
		{"the source ends once stopped", map[string]fault{"go on": sourceCrashes}, true, true},
		{"both refuse", map[string]fault{"go on": refused, "go back": refused}, false, true},
		{"the target refuses, the source ends", map[string]fault{"go on": refused, "go back": sourceCrashes}, false, true},
		{"the target refuses, the way back is lost", map[string]fault{"go on": refused, "go back": lost}, false, true},
	} {
		for resumable, whole := range map[bool]bool{false: row.nonResumable, true: row.resumable} {
			t.Run(fmt.Sprintf("%s, resumable %t", row.name, resumable), func(t *testing.T) {
				t.Parallel()
				f := newMoveCluster(t, resumable, 3, onlyOnce(row.faults))
				got := f.runWithLeavingServer()
				if err := f.check(got, resumable); err != nil {
					t.Error(err)
				}
				if (got.err == nil) != whole {
					t.Errorf("the caller got %d bytes, %v; want the whole stream: %t", len(got.body), got.err, whole)
				}
			})
		}
	}
}

// randomFaults returns random effects for the steps.
func randomFaults(seed uint64) func(string) fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, seed))
	return func(string) fault {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(2) == 0 {
			return noFault
		}
		if effect := fault(random.IntN(int(breaks) + 2)); effect <= breaks {
			return effect
		}
		return unsent
	}
}

// Flags to run more random schedules by hand.
var (
	movesSeed      = flag.Uint64("moves.seed", 1, "first seed of random schedules of moves")
	movesSchedules = flag.Int("moves.schedules", 240, "random schedules of moves")
)

// TestMovesInAnySchedule checks the invariants of moves with random faults in each step: no event
// is missing or duplicated, no run is repeated or overlaps another, no copy is left, and a broken
// stream looks broken.
func TestMovesInAnySchedule(t *testing.T) {
	const atOnce = 24
	places := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i := range *movesSchedules {
		seed := *movesSeed + uint64(i)
		places <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-places }()
			resumable := seed%2 == 0
			f := newMoveCluster(t, resumable, 3, randomFaults(seed))
			f.total = 25
			got := f.runWithLeavingServer()
			if err := f.check(got, resumable); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}()
	}
	wg.Wait()
}

// TestStoppedUnframedAnswerContinues checks that a stopped answer continues although the end of its
// connection looks like a complete answer.
func TestStoppedUnframedAnswerContinues(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(string) fault { return noFault })
	if n := f.runUnframed(t); n != 2 {
		t.Errorf("%d requests reached servers, want 2 for a stream that moved", n)
	}
}

// runUnframed runs a stream with unframed answers, checks that its caller gets all of it, and
// returns the number of requests at servers.
func (f *moveCluster) runUnframed(t *testing.T) int {
	t.Helper()
	f.unframed = true
	got := f.runWithLeavingServer()
	if err := f.check(got, false); err != nil || got.err != nil {
		t.Errorf("check: %v, answer: %v", err, got.err)
	}
	return len(f.arrivals())
}

// TestUnsentStopDoesNotMoveStream checks that a stop call that found no connection does not count
// as a stopped run while the stream continues. The end of an unframed answer is then its real end.
func TestUnsentStopDoesNotMoveStream(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(step string) fault {
		if step == "stop" {
			return unsent
		}
		return noFault
	})
	if n := f.runUnframed(t); n != 1 {
		t.Errorf("%d requests reached servers, want 1: the stream moved though its source did not stop", n)
	}
}

// TestLateStopIsNotEndOfStream checks a stop that got no answer and is carried out after a later
// one was refused.
func TestLateStopIsNotEndOfStream(t *testing.T) {
	f := newMoveCluster(t, false, 2, func() func(string) fault {
		stops := 0
		return func(step string) fault {
			if step != "stop" {
				return noFault
			}
			if stops++; stops == 1 {
				return lateStop
			}
			return refused
		}
	}())
	f.unframed, f.total = true, 100
	if err := f.check(f.runWithLeavingServer(), false); err != nil {
		t.Error(err)
	}
}

// TestStoppedStreamIsNoCrash checks that a stream closed by its source on request is no evidence
// against the request, even if the source is gone soon after.
func TestStoppedStreamIsNoCrash(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(string) fault { return noFault })
	q := &localQuarantine{}
	f.relay.Quarantine = q
	if got := f.runWithLeavingServer(); got.err != nil {
		t.Fatal(got.err)
	}
	source := f.arrivals()[0].server
	f.crash(source)
	if !f.relay.Servers.Snapshot().Member(source).Ended(t.Context()) {
		t.Fatal("the source did not crash")
	}
	time.Sleep(20 * time.Millisecond) // crashes are reported by a goroutine
	if n := q.crashCount(); n > 0 {
		t.Errorf("%d crashes were blamed on a moved request", n)
	}
}

// TestASuspectedStreamStays checks that a stream suspected of crashing servers does not move.
func TestASuspectedStreamStays(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(step string) fault {
		t.Errorf("a suspected request was moved: %s", step)
		return noFault
	})
	q := &localQuarantine{}
	f.relay.Quarantine = q
	q.suspect(t, "x")
	if got := f.runWithLeavingServer(); got.err != nil {
		t.Error(got.err)
	}
}

// TestMoveIsNoRetry checks that a move counts neither as a retry nor as another server.
func TestMoveIsNoRetry(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(string) fault { return noFault })
	f.relay.Budget = BudgetConfig{Window: time.Minute}
	f.relay.Routes().Match("site.example", "/p/x").MaxAttempts = 1
	if got := f.runWithLeavingServer(); got.err != nil || len(f.arrivals()) != 2 {
		t.Errorf("error %v, %d requests at servers, want 2", got.err, len(f.arrivals()))
	}
}

// TestFailedMovesAreLimited checks that a stream that all targets refuse returns to its source a
// few times and then stays there.
func TestFailedMovesAreLimited(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(step string) fault {
		if step == "go on" {
			return refused
		}
		return noFault
	})
	f.total, f.eventInterval = 400, 2*time.Millisecond
	got := f.runWithLeavingServer()
	if err := f.check(got, false); err != nil || got.err != nil {
		t.Errorf("check: %v, answer: %v", err, got.err)
	}
	if n := len(f.arrivals()); n > 1+2*maxFailedMoves {
		t.Errorf("%d requests reached servers", n)
	}
}

// TestNoReturnToSourceAfterDrainTime checks that a leaving server gets no requests near the end of
// its drain time.
func TestNoReturnToSourceAfterDrainTime(t *testing.T) {
	f := newMoveCluster(t, false, 2, onlyOnce(map[string]fault{"go on": refused}))
	f.relay.DrainTime = sendMargin
	got := f.runWithLeavingServer()
	if err := f.check(got, false); err != nil {
		t.Error(err)
	}
	a := f.arrivals()
	if len(a) != 2 || a[1].server == a[0].server {
		t.Errorf("the servers got %+v", a)
	}
}

// TestStreamsMoveOnlyIfEngineSupportsIt checks that streams stay if the engine does not support
// moves.
func TestStreamsMoveOnlyIfEngineSupportsIt(t *testing.T) {
	f := newMoveCluster(t, false, 2, func(step string) fault {
		t.Errorf("a stream was moved: %s", step)
		return noFault
	})
	f.relay.Routes().Service("s").Engine.Moves = false
	if got := f.runWithLeavingServer(); got.err != nil {
		t.Error(got.err)
	}
}

// TestStreamContinuesFromBackup crashes the server of a long stream that may run once. If the
// server is suspect and the engine supports backups, the stream continues at the server that
// received copies.
func TestStreamContinuesFromBackup(t *testing.T) {
	for _, row := range []struct {
		name               string
		suspect, supported bool
		resumeFault        fault
		backed, served     bool
	}{
		{"suspect", true, true, noFault, true, true},
		{"suspect, no copy there", true, true, refused, true, false},
		{"healthy", false, true, noFault, false, false},
		{"the engine can't", true, false, noFault, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newMoveCluster(t, false, 2, onlyOnce(map[string]fault{"go on": row.resumeFault}))
			e := f.relay.Routes().Service("s").Engine
			e.Moves, e.Backups, e.CacheTokens = false, row.supported, 60_000
			if row.suspect {
				f.relay.streams.connectionBroke("server-0", time.Now())
			}
			request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
			request.Header.Set(testHeaders.Model, "m")
			request.Header.Set(tokensHeader, "2000,200")
			done := make(chan answer, 1)
			go func() { done <- f.do(request) }()
			for f.eventsMade.Load() < 5 {
				time.Sleep(time.Millisecond)
			}
			f.crash("server-0")
			got := <-done
			if err := f.check(got, false); err != nil {
				t.Error(err)
			}
			if (got.err == nil) != row.served || (f.backup != "") != row.backed {
				t.Errorf("backup at %q; the caller got %d bytes, %v", f.backup, len(got.body), got.err)
			}
		})
	}
}

// newActiveStream returns a stream at the first server of a site.
func newActiveStream(t *testing.T) (*activeStream, *site) {
	s := newSite(t, streamRoute(true), sealed(http.StatusOK, "good"))
	s.relay.Mover, s.relay.DrainTime = &moveCluster{site: s}, 5*time.Second
	c := &call{relay: s.relay, request: request{id: "id-1"}}
	return &activeStream{call: c, source: s.relay.Servers.Snapshot().Member("server-0"), table: &s.relay.streams}, s
}

// TestCallerLeavesDuringMove checks that a stream whose caller leaves during a move is not tried
// elsewhere and that the server is not blamed.
func TestCallerLeavesDuringMove(t *testing.T) {
	r, _ := newActiveStream(t)
	r.moving = make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if v, err := r.call.handleBreak(ctx, r, backend.ErrBroken); v != aborted || !errors.Is(err, context.Canceled) {
		t.Errorf("result %d, error %v", v, err)
	}
}

// TestNoReturnToRestartedSource checks that a restarted source gets neither the stream nor a call
// to drop the copy: it has the same name, but the handle may name another copy there.
func TestNoReturnToRestartedSource(t *testing.T) {
	r, s := newActiveStream(t)
	leaving := *s.servers[0]
	leaving.Draining = true
	s.relay.Servers.Replace([]*backend.Server{&leaving}, 2)
	if !r.call.mayReturnToSource(r) {
		t.Error("the stream may not return to its leaving source")
	}
	next := *s.servers[0]
	next.ID = backend.Incarnation{Instance: next.ID, Started: 7}.ID()
	s.relay.Servers.Replace([]*backend.Server{&next}, 3)
	if r.call.mayReturnToSource(r) {
		t.Error("the stream may return to a restarted source")
	}
	mover := s.relay.Mover.(*moveCluster)
	mover.handle = "h1"
	r.dropHandle("h1")
	if mover.handle == "" {
		t.Error("a copy of the restarted source was dropped")
	}
}

// TestHangingBackupIsNotAwaited checks that a resumable stream starts again elsewhere if the server
// with its copy does not answer.
func TestHangingBackupIsNotAwaited(t *testing.T) {
	f := newMoveCluster(t, true, 2, onlyOnce(map[string]fault{"go on": hangs}))
	e := f.relay.Routes().Service("s").Engine
	e.Moves, e.Backups, e.CacheTokens = false, true, 60_000
	f.relay.streams.connectionBroke("server-0", time.Now())
	request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
	request.Header.Set(testHeaders.Model, "m")
	request.Header.Set(tokensHeader, "2000,200")
	done := make(chan answer, 1)
	go func() { done <- f.do(request) }()
	for f.eventsMade.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	f.crash("server-0")
	got := <-done
	if err := f.check(got, true); err != nil || got.err != nil || f.backup == "" {
		t.Errorf("%v; backup at %q; the caller got %d bytes, %v", err, f.backup, len(got.body), got.err)
	}
}
