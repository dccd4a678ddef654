package relay

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// Flags to run more random schedules by hand.
var (
	silenceSeed      = flag.Uint64("silences.seed", 1, "first seed of random schedules of silences")
	silenceSchedules = flag.Int("silences.schedules", 96, "random schedules of silences")
)

// Load of a schedule. Callers wait well beyond its silences.
const (
	scheduledStreams = 6
	scheduledEvents  = 20
	scheduledPause   = 40 * time.Millisecond // between two events
	scheduledStart   = 25 * time.Millisecond // between two streams
	scheduledTurn    = 3 * time.Second       // until the turn at the latest
	scheduledWait    = 10 * time.Second      // of the callers
	schedulesAtOnce  = 32
)

// laterAnswer is what becomes of a permission, asked for after the turn of a schedule.
type laterAnswer uint8

const (
	laterYes laterAnswer = iota
	laterNo
	laterError
	laterSlow // nobody answers until the time for it is over
	laterAnswers
)

// laterServer is what a server does with requests that come after the turn of a schedule.
type laterServer uint8

const (
	laterSound laterServer = iota
	laterRejects
	laterBreaksOff // after some events or none
	laterMute
	laterServers
)

// turn is a change at the turn of a schedule.
type turn uint8

const (
	noTurn      turn = iota
	routeGoes        // the configuration has no route any more
	relayStops       // a planned stop whose time lasts for all streams
	listShrinks      // only the first server is listed
	turns
)

// silence is a period in which a server writes nothing, since the turn of a schedule.
type silence struct{ from, to time.Duration }

// scheduledServer is a server of a schedule.
type scheduledServer struct {
	silences  []silence
	later     laterServer
	events    int  // before it breaks an answer off
	headFirst bool // it sends the head of an answer before the first event
}

// scheduledRun is one run of a request.
type scheduledRun struct {
	server string
	broke  bool // the server broke it off after an event
}

// silenceSchedule is a random schedule of silences, and of what refuses a second run. Its turn comes when all streams run or one has ended:
// from then on servers fall silent, permissions are refused and servers misbehave with new requests.
type silenceSchedule struct {
	t    *testing.T
	site *site
	seed uint64

	servers    []scheduledServer
	attempts   int
	resumable  bool
	budget     bool // the node has retries of its own
	lender     laterAnswer
	slots      laterAnswer
	limited    bool
	brittle    bool
	suspected  bool
	trial      laterAnswer
	places     bool
	placeAfter admission.Kind
	turn       turn
	quarantine *localQuarantine
	table      atomic.Pointer[route.Table]

	turning sync.Once
	mu      sync.Mutex
	turnAt  time.Time // zero: it has not come
	runs    map[string][]*scheduledRun
}

// scheduleTotals counts what the callers of all schedules got.
type scheduleTotals struct{ whole, refused, excused, again atomic.Int64 }

// TestAnswersThatHaveBegunEndWholeOverSilences guards against answers that are given up before a second run is certain.
func TestAnswersThatHaveBegunEndWholeOverSilences(t *testing.T) { runSilenceSchedules(t, true) }

// TestAnswersThatHaveBegunEndWhole is the control: the same schedules without a silence.
func TestAnswersThatHaveBegunEndWhole(t *testing.T) { runSilenceSchedules(t, false) }

func runSilenceSchedules(t *testing.T, silences bool) {
	t.Parallel()
	places := make(chan struct{}, schedulesAtOnce)
	var all sync.WaitGroup
	var totals scheduleTotals
	for i := range *silenceSchedules {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			newSilenceSchedule(t, *silenceSeed+uint64(i), silences).play(&totals)
		})
	}
	all.Wait()
	t.Logf("%d streams whole, %d refused, %d broken off by their own servers; %d ran again",
		totals.whole.Load(), totals.refused.Load(), totals.excused.Load(), totals.again.Load())
	if totals.whole.Load() < int64(*silenceSchedules*scheduledStreams/2) {
		t.Error("less than half of the streams are whole: little is shown")
	}
}

// newSilenceSchedule draws a schedule and starts its site.
func newSilenceSchedule(t *testing.T, seed uint64, silences bool) *silenceSchedule {
	random := rand.New(rand.NewPCG(seed, 73))
	s := &silenceSchedule{t: t, seed: seed, runs: make(map[string][]*scheduledRun)}
	for range 2 + random.IntN(3) {
		s.servers = append(s.servers, scheduledServer{
			silences: drawSilences(random), later: laterServer(random.IntN(int(laterServers))), events: random.IntN(4), headFirst: random.IntN(2) == 0,
		})
	}
	s.attempts, s.resumable = 1+random.IntN(3), random.IntN(6) > 0
	s.budget, s.lender = random.IntN(2) == 0, drawAnswer(random)
	s.limited, s.brittle, s.slots = random.IntN(4) == 0, random.IntN(6) == 0, drawAnswer(random)
	s.suspected, s.trial = random.IntN(4) == 0, drawAnswer(random)
	s.places, s.placeAfter = random.IntN(4) == 0, admission.Kind(random.IntN(int(admission.Refuse)+1))
	s.turn = turn(max(random.IntN(2*int(turns))-int(turns), 0))
	if !silences {
		for i := range s.servers {
			s.servers[i].silences = nil
		}
	}
	s.start()
	return s
}

func drawAnswer(random *rand.Rand) laterAnswer { return laterAnswer(random.IntN(int(laterAnswers))) }

// drawSilences draws up to two silences of at most 3 s: longer ones than the limit of hedges.
func drawSilences(random *rand.Rand) []silence {
	var list []silence
	at := time.Duration(0)
	for range random.IntN(3) {
		at += time.Duration(random.IntN(800)) * time.Millisecond
		length := time.Duration(300+random.IntN(2700)) * time.Millisecond
		list = append(list, silence{at, at + length})
		at += length + 200*time.Millisecond
	}
	return list
}

// start starts the servers and the relay.
func (s *silenceSchedule) start() {
	r := streamRoute(s.resumable)
	r.MaxAttempts, r.Timeout = s.attempts, scheduledWait
	var answers []answerer
	for i := range s.servers {
		answers = append(answers, func(w http.ResponseWriter, q *http.Request, got seen) { s.serve(&s.servers[i], w, q, got) })
	}
	if s.places {
		s.site = overloadedSite(s.t, r, &fakePlaces{decide: s.decidePlace}, answers...)
	} else {
		s.site = newSite(s.t, r, answers...)
	}
	relay := s.site.relay
	relay.Lender, relay.Slots = s, s
	s.table.Store(relay.Routes())
	relay.Routes = s.table.Load
	if !s.budget {
		relay.Budget = BudgetConfig{Window: 10 * time.Second}
	}
	if s.brittle {
		relay.Servers.Signals = func(int, http.Header) backpressure.Signals { return backpressure.Signals{Brittle: 3} }
		relay.Servers.Replace(nil, 3)
		relay.Servers.Replace(s.site.servers, 4)
	}
	s.quarantine = &localQuarantine{}
	relay.Quarantine = scheduledQuarantine{s.quarantine, s}
}

// play sends the streams and checks what their callers got.
func (s *silenceSchedule) play(totals *scheduleTotals) {
	var callers sync.WaitGroup
	timer := time.AfterFunc(scheduledTurn, s.change)
	defer timer.Stop()
	for i := range scheduledStreams {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * scheduledStart)
			s.call(fmt.Sprintf("stream-%d", i), totals)
		})
	}
	callers.Wait()
}

// change makes the turn of the schedule, once.
func (s *silenceSchedule) change() { s.turning.Do(s.changeOnce) }

func (s *silenceSchedule) changeOnce() {
	s.mu.Lock()
	s.turnAt = time.Now()
	s.mu.Unlock()
	relay := s.site.relay
	if s.limited {
		for _, server := range s.site.servers {
			relay.Servers.MergeSignals(server.ID, backpressure.SharedState{Limited: true, Limit: 1, LimitAt: time.Now()})
		}
	}
	if s.suspected {
		s.suspect()
	}
	switch s.turn {
	case routeGoes:
		s.table.Store(route.NewTable(2, route.Limits{BodyBytes: 1 << 20}, nil, nil))
	case relayStops:
		relay.Stop(2 * scheduledWait)
	case listShrinks:
		relay.Servers.Replace(s.site.servers[:1], 9)
	}
}

// suspect makes the requests of the schedule suspected, unless an answer has already cleared them.
func (s *silenceSchedule) suspect() {
	fingerprint := quarantine.FingerprintOf(http.MethodPost, "site.example", "/p/x", []byte(s.body()))
	for round, server := range []string{"gone-1", "gone-2"} {
		s.quarantine.ServerCrashed(quarantine.Run{Request: fingerprint, Service: "s", Server: server, Round: round + 1})
	}
}

// body is the body of all requests of the schedule.
func (s *silenceSchedule) body() string { return "ask" }

// sinceTurn returns the time since the turn of the schedule, and whether it has come.
func (s *silenceSchedule) sinceTurn() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turnAt.IsZero() {
		return 0, false
	}
	return time.Since(s.turnAt), true
}

// turned reports whether the turn of the schedule has come.
func (s *silenceSchedule) turned() bool {
	_, turned := s.sinceTurn()
	return turned
}

// call sends a request for a stream and checks the answer.
func (s *silenceSchedule) call(id string, totals *scheduleTotals) {
	r := s.site.request(s.t.Context(), http.MethodPost, "/p/x", id, s.body())
	r.Header.Set(testHeaders.Deadline, strconv.FormatInt(scheduledWait.Milliseconds(), 10))
	if s.places {
		r.Header.Set("X-Model", "m/a")
		r.Header.Set("X-Tokens", "9200,80")
		r.Header.Set("X-Parts", "c:2500,s:3800,o:2900")
	}
	got := s.site.do(r)
	s.change()
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	broke := false
	for _, run := range runs {
		broke = broke || run.broke
	}
	if len(runs) > 1 {
		totals.again.Add(1)
	}
	whole := eventsText(1, scheduledEvents)
	switch {
	case got.err == nil && got.status != http.StatusOK:
		totals.refused.Add(1)
	case got.err == nil && got.body == whole:
		totals.whole.Add(1)
	case !strings.HasPrefix(whole, got.body):
		s.t.Errorf("seed %d: ORDER: %s got %q of %+v", s.seed, id, got.body, runs)
	case broke:
		totals.excused.Add(1)
	default:
		s.t.Errorf("seed %d: LOST: %s got %d bytes and %v, though no server broke it off; %s", s.seed, id, len(got.body), got.err, s.describe(runs))
	}
	if len(runs) > s.attempts {
		s.t.Errorf("seed %d: BUDGET: %s ran %d times, %d may: %s", s.seed, id, len(runs), s.attempts, s.describe(runs))
	}
}

// describe returns the schedule and the runs of a request for a failure.
func (s *silenceSchedule) describe(runs []*scheduledRun) string {
	var at []string
	for _, run := range runs {
		at = append(at, run.server)
	}
	return fmt.Sprintf("ran at %v of %+v, resumable %v, attempts %d, budget %v, lender %d, limited %v, brittle %v, slots %d, suspected %v, trial %d, places %v, turn %d",
		at, s.servers, s.resumable, s.attempts, s.budget, s.lender, s.limited, s.brittle, s.slots, s.suspected, s.trial, s.places, s.turn)
}

// serve is a server's answer to a request.
func (s *silenceSchedule) serve(server *scheduledServer, w http.ResponseWriter, r *http.Request, got seen) {
	later := s.turned()
	if later && server.later == laterRejects {
		rejectWith(http.StatusServiceUnavailable)(w, r, got)
		return
	}
	run := s.begin(got)
	if later && server.later == laterMute {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(testHeaders.Seal, "seal-"+got.server)
	w.Header().Set(testHeaders.RequestID, got.id)
	if server.headFirst {
		s.awaitSound(r.Context(), server)
		_ = http.NewResponseController(w).Flush()
	}
	first := 1
	if n, err := strconv.Atoi(got.lastEvent); err == nil {
		first = n + 1
	}
	for i := first; i <= scheduledEvents; i++ {
		if later && server.later == laterBreaksOff && i == first+server.events {
			s.breakOff(run, i > first)
		}
		time.Sleep(scheduledPause)
		s.awaitSound(r.Context(), server)
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, eventsText(i, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// begin records a run. The turn comes with the first run of the last stream.
func (s *silenceSchedule) begin(got seen) *scheduledRun {
	run := &scheduledRun{server: got.server}
	s.mu.Lock()
	s.runs[got.id] = append(s.runs[got.id], run)
	all := len(s.runs) == scheduledStreams
	s.mu.Unlock()
	if all {
		s.change()
	}
	return run
}

// breakOff breaks an answer off.
func (s *silenceSchedule) breakOff(run *scheduledRun, events bool) {
	s.mu.Lock()
	run.broke = events
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// awaitSound waits until the server is not silent, or the caller has left.
func (s *silenceSchedule) awaitSound(ctx context.Context, server *scheduledServer) {
	for _, silence := range server.silences {
		since, turned := s.sinceTurn()
		if !turned || since < silence.from || since >= silence.to {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(silence.to - since):
		}
	}
}

// answer answers as drawn once the turn has come. It waits at most until ctx ends.
func (s *silenceSchedule) answer(ctx context.Context, later laterAnswer) (bool, error) {
	if !s.turned() {
		return true, nil
	}
	switch later {
	case laterNo:
		return false, nil
	case laterError:
		return false, errors.New("no holder")
	case laterSlow:
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(time.Second):
			return false, nil
		}
	}
	return true, nil
}

// BorrowRetry implements Lender.
func (s *silenceSchedule) BorrowRetry(ctx context.Context, _ string) (bool, error) {
	return s.answer(ctx, s.lender)
}

// RequestSlot implements Slots.
func (s *silenceSchedule) RequestSlot(ctx context.Context, asks []backpressure.Ask, _ time.Duration) (backpressure.Slot, error) {
	granted, err := s.answer(ctx, s.slots)
	if !granted {
		return backpressure.Slot{Wait: 200 * time.Millisecond}, err
	}
	return backpressure.Slot{Granted: true, Server: asks[0].Server, Loan: 1}, nil
}

// ReturnPlace implements Slots.
func (s *silenceSchedule) ReturnPlace(backpressure.Slot) {}

// decidePlace decides on a place.
func (s *silenceSchedule) decidePlace(_ int, r *admission.Request) (admission.Verdict, error) {
	if !s.turned() || s.placeAfter == admission.Go {
		return admission.Verdict{Kind: admission.Go, Server: r.Servers[0]}, nil
	}
	return admission.Verdict{Kind: s.placeAfter, After: 200 * time.Millisecond}, nil
}

// scheduledQuarantine grants trials as drawn.
type scheduledQuarantine struct {
	*localQuarantine
	schedule *silenceSchedule
}

// RequestTrial implements Quarantine.
func (q scheduledQuarantine) RequestTrial(ctx context.Context, service, server string, subjects ...quarantine.Fingerprint) (bool, error) {
	if granted, err := q.schedule.answer(ctx, q.schedule.trial); !granted {
		return false, err
	}
	return q.localQuarantine.RequestTrial(ctx, service, server, subjects...)
}
