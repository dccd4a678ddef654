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

// fault is what happens to one call of a move, or to a request that goes on from a copy.
type fault uint8

const (
	well       fault = iota
	refused          // answered as not done
	lost             // nothing happens, no answer comes
	halfLost         // it is done, no answer comes
	sourceEnds       // before it is done
	targetEnds
	late    // it is done, and the answer takes a while
	breaks  // a stream that goes on breaks off after some events
	hangs   // a server takes a request and does nothing until its connection closes
	overdue // no answer comes, and a stop is carried out a while later
	unsent  // no byte of a call leaves: no connection came up in time, or it was reset at once
)

// movers is servers whose runs move: it stands for the engines and implements Mover.
type movers struct {
	*site
	id     string // of its one request
	total  int
	pace   time.Duration
	faults func(step string) fault
	// unframed answers end with their connection, whole or not.
	unframed bool

	fleetMu sync.Mutex
	working map[string]chan struct{} // by server; closing it stops the run
	peak    int                      // runs at once
	fresh   []string                 // servers whose runs began without a copy
	handle  string
	keeper  string // source of the handle
	told    bool   // the handle: what nobody knows the server frees after a while
	stopped string // server that stopped its run
	used    bool
	ended   map[string]bool
	backup  string // server that gets copies of the run
	hung    atomic.Bool
	made    atomic.Int64 // events
}

// fleets numbers them.
var fleets atomic.Int64

const (
	originHeader = "X-Origin"
	backupHeader = "X-Backup"
	tokensHeader = "X-Tokens"
)

// newMovers starts servers, all of which hold all, before a relay that moves streams. The first one
// is preferred.
func newMovers(t *testing.T, resumable bool, servers int, faults func(step string) fault) *movers {
	f := &movers{id: fmt.Sprintf("id-%d", fleets.Add(1)), total: 40, pace: 2 * time.Millisecond, faults: faults, working: map[string]chan struct{}{}, ended: map[string]bool{}}
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
		s.Slots, s.Models = 400, []backend.Holding{{Model: "m"}} // so many that moves begin at once
	}
	f.relay.Servers.Replace(f.servers, 2)
	for _, s := range f.servers[1:] {
		f.relay.Servers.Snapshot().Member(s.ID).Failed(time.Now())
	}
	return f
}

// crash ends a server: what it runs and what it keeps is lost.
func (f *movers) crash(server string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	f.ended[server] = true
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
func (f *movers) serve(w http.ResponseWriter, r *http.Request, s seen) {
	if s.id != f.id { // of another fleet, to an address that a server of it had before it ended
		turnedAway(http.StatusMisdirectedRequest)(w, r, s)
		return
	}
	for _, other := range f.servers {
		if other.Address == r.Header.Get(backupHeader) {
			f.backedBy(other.ID)
		}
	}
	stop, ok := f.start(s.server, r.Header.Get(originHeader))
	if !ok {
		turnedAway(http.StatusServiceUnavailable)(w, r, s)
		return
	}
	if stop == nil && f.hung.Load() {
		<-r.Context().Done()
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
		case <-time.After(f.pace):
		}
		_, _ = io.WriteString(w, streamed(next, next))
		_ = http.NewResponseController(w).Flush()
		f.made.Add(1)
	}
	f.finish(s.server, stop)
}

// serveUnframed writes the events on the bare connection until the run ends or stops, and closes it.
func (f *movers) serveUnframed(w http.ResponseWriter, s seen, next int, stop chan struct{}) {
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
		case <-time.After(f.pace):
		}
		_, _ = io.WriteString(conn, streamed(next, next))
	}
	f.finish(s.server, stop)
}

// backedBy notes the server that gets copies.
func (f *movers) backedBy(server string) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	f.backup = server
}

// start begins a run; nil: no answer comes, false: it is refused.
func (f *movers) start(server, origin string) (chan struct{}, bool) {
	effect := well
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
		f.fresh = append(f.fresh, server)
	} else {
		f.hung.Store(effect == hangs)
		if effect == lost || effect == hangs || f.ended[server] {
			return nil, true
		}
		_, handle, _ := strings.Cut(origin, "/")
		copied := handle == f.handle || handle == f.id && server == f.backup
		if effect == refused || f.used || !copied || handle == "" {
			return nil, false
		}
		f.used = true
		if server == f.stopped {
			f.stopped = "" // it runs there again
		}
		if effect == halfLost {
			return nil, true
		}
	}
	for range 2000 { // a server whose connection closed notices it a moment later
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

// fault draws what happens, and ends servers that are to end.
func (f *movers) fault(step, origin, target string) fault {
	effect := f.faults(step)
	source, _, _ := strings.Cut(origin, "/")
	switch effect {
	case sourceEnds:
		f.crash(source)
	case targetEnds:
		f.crash(target)
	}
	return effect
}

// breakOff breaks a run off.
func (f *movers) breakOff(server string, stop chan struct{}) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if f.working[server] == stop {
		close(stop)
		delete(f.working, server)
	}
}

func (f *movers) finish(server string, stop chan struct{}) {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if f.working[server] == stop {
		delete(f.working, server)
	}
}

var errLost = errors.Wrap(backend.ErrNoAnswer, "a test's fault")

// Copy implements Mover.
func (f *movers) Copy(_ context.Context, source *backend.Member, o CopyOrder) (Copied, error) {
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
	case f.ended[source.ID]:
		return Copied{}, errors.Wrap(backend.ErrNotSent, "a test's fault")
	case effect == lost:
		return Copied{}, errLost
	case effect == overdue:
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
	if (effect == refused || f.ended[target]) && f.stopped != source.ID && o.Stop {
		return Copied{Result: CopyNoRoom}, nil
	}
	if f.handle == "" || f.used { // a new run's
		f.keeper, f.handle, f.used, f.told = source.ID, fmt.Sprintf("h%d", rand.Uint32()), false, false
	}
	switch {
	case effect == refused, f.ended[target]:
		f.told = true
		return Copied{Result: CopyNoRoom, Handle: f.handle}, nil
	case effect == halfLost:
		return Copied{}, errLost
	}
	f.told = true
	if effect == late {
		f.fleetMu.Unlock()
		time.Sleep(30 * time.Millisecond)
		f.fleetMu.Lock()
	}
	return Copied{Handle: f.handle}, nil
}

// Drop implements Mover.
func (f *movers) Drop(_ context.Context, _ *backend.Member, handle string) error {
	f.fleetMu.Lock()
	defer f.fleetMu.Unlock()
	if handle == f.handle {
		f.handle = ""
	}
	return nil
}

// Origin implements Mover.
func (f *movers) Origin(source *backend.Member, handle string) string {
	return source.ID + "/" + handle
}

// play sends a request whose server leaves while it streams.
func (f *movers) play() answer {
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

// check tells what must hold whatever fails: no event twice or missing, no second run of a request that
// may run once, never two at once, no copy left behind.
func (f *movers) check(got answer, resumable bool) error {
	whole := streamed(1, f.total)
	switch {
	case !strings.HasPrefix(whole, got.body):
		return errors.Errorf("events are missing or twice: %q", got.body)
	case got.err == nil && got.body != whole:
		return errors.Errorf("a broken stream looks complete after %d bytes", len(got.body))
	}
	seal := strings.TrimPrefix(got.header.Get(testHeaders.Seal), "seal-")
	deadline := time.Now().Add(time.Second) // a copy is dropped after the answer
	for {
		f.fleetMu.Lock()
		fresh, peak, left := f.fresh, f.peak, f.told && f.handle != "" && !f.used && !f.ended[f.keeper]
		f.fleetMu.Unlock()
		switch {
		case !resumable && len(fresh) > 1:
			return errors.Errorf("%d runs of a request that may run once", len(fresh))
		case got.body != "" && !slices.Contains(fresh, seal):
			return errors.Errorf("the seal is %q, of a server that went on with a run of %v", seal, fresh)
		case peak > 1:
			return errors.Errorf("%d runs at once", peak)
		case !left:
			return nil
		case time.Now().After(deadline):
			return errors.New("a copy is left behind")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestStreamMovesWithItsServersLeave: also one that may run once goes on at another server, as the same
// run.
func TestStreamMovesWithItsServersLeave(t *testing.T) {
	f := newMovers(t, false, 2, func(string) fault { return well })
	got := f.play()
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

// onlyOnce has the fault happen to the first such step of each kind that is named.
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

// TestMovesThatFailHalfway is the table of the design note: what becomes of a stream that may run once,
// and of a resumable one, when a step fails.
func TestMovesThatFailHalfway(t *testing.T) {
	for _, row := range []struct {
		name            string
		faults          map[string]fault
		once, resumable bool // the caller gets the whole stream
	}{
		{"the copy is refused", map[string]fault{"copy": refused}, true, true},
		{"the copy is not asked for", map[string]fault{"copy": lost}, true, true},
		{"the copy's answer is lost", map[string]fault{"copy": halfLost}, true, true},
		{"the source ends before the copy", map[string]fault{"copy": sourceEnds}, false, true},
		{"the target ends before the copy", map[string]fault{"copy": targetEnds}, true, true},
		{"the stop is refused", map[string]fault{"stop": refused}, true, true},
		{"the stop is not asked for", map[string]fault{"stop": lost}, true, true},
		{"the stop's answer is lost", map[string]fault{"stop": halfLost}, true, true},
		{"the source ends before the stop", map[string]fault{"stop": sourceEnds}, true, true},
		{"the target ends before the stop", map[string]fault{"stop": targetEnds}, true, true},
		{"the target refuses", map[string]fault{"go on": refused}, true, true},
		{"the request to the target is lost", map[string]fault{"go on": lost}, true, true},
		{"the target does not answer", map[string]fault{"go on": hangs}, true, true},
		{"the stop's answer is late", map[string]fault{"stop": late}, true, true},
		{"the target breaks off", map[string]fault{"go on": breaks}, false, true},
		{"the target does not begin", map[string]fault{"go on": halfLost}, false, true},
		{"the target ends", map[string]fault{"go on": targetEnds}, true, true},
		{"the source ends once stopped", map[string]fault{"go on": sourceEnds}, true, true},
		{"both refuse", map[string]fault{"go on": refused, "go back": refused}, false, true},
		{"the target refuses, the source ends", map[string]fault{"go on": refused, "go back": sourceEnds}, false, true},
		{"the target refuses, the way back is lost", map[string]fault{"go on": refused, "go back": lost}, false, true},
	} {
		for resumable, whole := range map[bool]bool{false: row.once, true: row.resumable} {
			t.Run(fmt.Sprintf("%s, resumable %t", row.name, resumable), func(t *testing.T) {
				t.Parallel()
				f := newMovers(t, resumable, 3, onlyOnce(row.faults))
				got := f.play()
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

// randomFaults draws what happens to each step.
func randomFaults(seed uint64) func(string) fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, seed))
	return func(string) fault {
		mu.Lock()
		defer mu.Unlock()
		if random.IntN(2) == 0 {
			return well
		}
		if effect := fault(random.IntN(int(breaks) + 2)); effect <= breaks {
			return effect
		}
		return unsent
	}
}

// movesSeed and movesSchedules let more schedules be played by hand.
var (
	movesSeed      = flag.Uint64("moves.seed", 1, "first seed of random schedules of moves")
	movesSchedules = flag.Int("moves.schedules", 240, "random schedules of moves")
)

// TestMovesInAnySchedule: whatever fails at each step, no event is missing or twice, nothing runs twice or
// beside itself, no copy is left, and a stream that broke off looks broken.
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
			f := newMovers(t, resumable, 3, randomFaults(seed))
			f.total = 25
			got := f.play()
			if err := f.check(got, resumable); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}()
	}
	wg.Wait()
}

// TestAStoppedAnswerThatEndsWithItsConnectionGoesOn: its end does not look like one that was cut.
func TestAStoppedAnswerThatEndsWithItsConnectionGoesOn(t *testing.T) {
	f := newMovers(t, false, 2, func(string) fault { return well })
	if n := f.playUnframed(t); n != 2 {
		t.Errorf("%d requests came to servers, 2 if the stream moved", n)
	}
}

// playUnframed plays a stream whose answers have no frame, of which its caller is to get the whole.
// It returns how many requests came to servers.
func (f *movers) playUnframed(t *testing.T) int {
	t.Helper()
	f.unframed = true
	got := f.play()
	if err := f.check(got, false); err != nil || got.err != nil {
		t.Errorf("%v, %v", err, got.err)
	}
	return len(f.arrivals())
}

// TestAStopThatDidNotLeaveStopsNothing: while the stream flows, a call that found no connection is no
// evidence that the source works on it no more. An answer without a frame that ends is whole then.
func TestAStopThatDidNotLeaveStopsNothing(t *testing.T) {
	f := newMovers(t, false, 2, func(step string) fault {
		if step == "stop" {
			return unsent
		}
		return well
	})
	if n := f.playUnframed(t); n != 1 {
		t.Errorf("%d requests came to servers: the stream moved though its source did not stop", n)
	}
}

// TestAStopThatComesLateIsNoEnd: one that was not answered may stop the run after a later one was refused.
func TestAStopThatComesLateIsNoEnd(t *testing.T) {
	f := newMovers(t, false, 2, func() func(string) fault {
		stops := 0
		return func(step string) fault {
			if step != "stop" {
				return well
			}
			if stops++; stops == 1 {
				return overdue
			}
			return refused
		}
	}())
	f.unframed, f.total = true, 100
	if err := f.check(f.play(), false); err != nil {
		t.Error(err)
	}
}

// TestAStopIsNoEndOfAServer: that a source closes a stream which it was asked to stop is no evidence
// against the request, though the source is gone soon.
func TestAStopIsNoEndOfAServer(t *testing.T) {
	f := newMovers(t, false, 2, func(string) fault { return well })
	q := &alone{}
	f.relay.Quarantine = q
	if got := f.play(); got.err != nil {
		t.Fatal(got.err)
	}
	source := f.arrivals()[0].server
	f.crash(source)
	if !f.relay.Servers.Snapshot().Member(source).Ended(t.Context()) {
		t.Fatal("the source did not end")
	}
	time.Sleep(20 * time.Millisecond) // the word of an end goes in a goroutine
	if n := q.blamed(); n > 0 {
		t.Errorf("%d ends were put down to a request that was moved", n)
	}
}

// TestASuspectedStreamStays: it may end the server that it moves to.
func TestASuspectedStreamStays(t *testing.T) {
	f := newMovers(t, false, 2, func(step string) fault {
		t.Errorf("a suspected request moves: %s", step)
		return well
	})
	q := &alone{}
	f.relay.Quarantine = q
	q.suspect(t, "x")
	if got := f.play(); got.err != nil {
		t.Error(got.err)
	}
}

// TestAMoveIsNoRepeat: it needs neither the budget of repeats nor a server more than the route allows.
func TestAMoveIsNoRepeat(t *testing.T) {
	f := newMovers(t, false, 2, func(string) fault { return well })
	f.relay.Budget = BudgetConfig{Window: time.Minute}
	f.relay.Routes().Match("site.example", "/p/x").MaxAttempts = 1
	if got := f.play(); got.err != nil || len(f.arrivals()) != 2 {
		t.Errorf("%v, %d arrivals", got.err, len(f.arrivals()))
	}
}

// TestMovesInVainEnd: a stream whose targets all refuse it goes back a few times and then stays.
func TestMovesInVainEnd(t *testing.T) {
	f := newMovers(t, false, 2, func(step string) fault {
		if step == "go on" {
			return refused
		}
		return well
	})
	f.total, f.pace = 400, 2*time.Millisecond
	got := f.play()
	if err := f.check(got, false); err != nil || got.err != nil {
		t.Errorf("%v, %v", err, got.err)
	}
	if n := len(f.arrivals()); n > 1+2*maxVainMoves {
		t.Errorf("%d arrivals at servers", n)
	}
}

// TestNothingGoesBackOnceASourceTakesNoMore: a server that leaves gets nothing after a time.
func TestNothingGoesBackOnceASourceTakesNoMore(t *testing.T) {
	f := newMovers(t, false, 2, onlyOnce(map[string]fault{"go on": refused}))
	f.relay.DrainTime = sendMargin
	got := f.play()
	if err := f.check(got, false); err != nil {
		t.Error(err)
	}
	a := f.arrivals()
	if len(a) != 2 || a[1].server == a[0].server {
		t.Errorf("the servers got %+v", a)
	}
}

// TestMovesAreOnWhereTheEngineCan only.
func TestMovesAreOnWhereTheEngineCan(t *testing.T) {
	f := newMovers(t, false, 2, func(step string) fault {
		t.Errorf("a stream moves: %s", step)
		return well
	})
	f.relay.Routes().Service("s").Engine.Moves = false
	if got := f.play(); got.err != nil {
		t.Error(got.err)
	}
}

// TestStreamOutlivesItsServerByACopy: where the engine can and the server failed a moment ago, a long
// stream that may run once goes on at the server that got copies of it.
func TestStreamOutlivesItsServerByACopy(t *testing.T) {
	for _, row := range []struct {
		name           string
		suspect, on    bool
		goOn           fault
		backed, served bool
	}{
		{"suspect", true, true, well, true, true},
		{"suspect, no copy there", true, true, refused, true, false},
		{"healthy", false, true, well, false, false},
		{"the engine can't", true, false, well, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newMovers(t, false, 2, onlyOnce(map[string]fault{"go on": row.goOn}))
			e := f.relay.Routes().Service("s").Engine
			e.Moves, e.Backups, e.CacheTokens = false, row.on, 60_000
			if row.suspect {
				f.relay.rides.connectionBroke("server-0", time.Now())
			}
			request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
			request.Header.Set(testHeaders.Model, "m")
			request.Header.Set(tokensHeader, "2000,200")
			done := make(chan answer, 1)
			go func() { done <- f.do(request) }()
			for f.made.Load() < 5 {
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

// ridesFor returns a ride at the first server of a site, and its call.
func ridesFor(t *testing.T) (*ride, *site) {
	s := newSite(t, streamRoute(true), sealed(http.StatusOK, "good"))
	s.relay.Mover, s.relay.DrainTime = &movers{site: s}, 5*time.Second
	c := &call{relay: s.relay, request: request{id: "id-1"}}
	return &ride{call: c, source: s.relay.Servers.Snapshot().Member("server-0"), table: &s.relay.rides}, s
}

// TestACallerThatLeavesDuringAMoveLeft: its stream is not tried elsewhere, and nothing is held against
// the server.
func TestACallerThatLeavesDuringAMoveLeft(t *testing.T) {
	r, _ := ridesFor(t)
	r.moving = make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if v, err := r.call.brokeOff(ctx, r, backend.ErrBroken); v != gone || !errors.Is(err, context.Canceled) {
		t.Errorf("verdict %d, %v", v, err)
	}
}

// TestNothingGoesBackToTheNextLife: it answers to the name of its source, and what a handle of the earlier
// life named may be another's there.
func TestNothingGoesBackToTheNextLife(t *testing.T) {
	r, s := ridesFor(t)
	leaving := *s.servers[0]
	leaving.Draining = true
	s.relay.Servers.Replace([]*backend.Server{&leaving}, 2)
	if !r.call.mayGoBack(r) {
		t.Error("a source that leaves is not gone back to")
	}
	next := *s.servers[0]
	next.ID = backend.Life{Instance: next.ID, Born: 7}.ID()
	s.relay.Servers.Replace([]*backend.Server{&next}, 3)
	if r.call.mayGoBack(r) {
		t.Error("a stream goes back to the next life of its source")
	}
	mover := s.relay.Mover.(*movers)
	mover.handle = "h1"
	r.dropHandle("h1")
	if mover.handle == "" {
		t.Error("a copy of the next life was dropped")
	}
}

// TestACopyThatHangsIsNotWaitedFor: a stream that may run anew does so once the server with its copy shows
// no sign of it.
func TestACopyThatHangsIsNotWaitedFor(t *testing.T) {
	f := newMovers(t, true, 2, onlyOnce(map[string]fault{"go on": hangs}))
	e := f.relay.Routes().Service("s").Engine
	e.Moves, e.Backups, e.CacheTokens = false, true, 60_000
	f.relay.rides.connectionBroke("server-0", time.Now())
	request := f.request(t.Context(), http.MethodPost, "/p/x", f.id, "x")
	request.Header.Set(testHeaders.Model, "m")
	request.Header.Set(tokensHeader, "2000,200")
	done := make(chan answer, 1)
	go func() { done <- f.do(request) }()
	for f.made.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	f.crash("server-0")
	got := <-done
	if err := f.check(got, true); err != nil || got.err != nil || f.backup == "" {
		t.Errorf("%v; backup at %q; the caller got %d bytes, %v", err, f.backup, len(got.body), got.err)
	}
}
