package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
	"martenwheel.dev/pkg/quarantine"
)

// Mover has servers copy the memory of running requests to each other.
type Mover interface {
	// Copy has the source copy a request's memory to another server; it returns when that is
	// done. An error that is backend.ErrNotSent tells that nothing was asked.
	Copy(ctx context.Context, source *backend.Member, o CopyOrder) (Copied, error)
	// Drop frees a copy that is not used, at both ends.
	Drop(ctx context.Context, source *backend.Member, handle string) error
	// Origin is the value of Headers.Origin with which a request goes on from what a source
	// copied under a handle.
	Origin(source *backend.Member, handle string) string
}

// CopyOrder is what is to be copied.
type CopyOrder struct {
	RequestID string
	To        string // IP:port
	Stop      bool   // the run stops first
}

// CopyResult is a source's word on a copy.
type CopyResult uint8

// Words of a source.
const (
	CopyDone   CopyResult = iota // copied, and stopped if that was asked for
	CopyNoRun                    // it does not run the request
	CopyBusy                     // another call for the request is under way
	CopyNoRoom                   // nothing was copied; if there is a handle, the run has stopped and is kept
)

// Copied is a source's answer.
type Copied struct {
	Result CopyResult
	Handle string // of the copy, or of a run that has stopped; empty: there is none
	Events int    // that the run had made
}

// errHandedOver ends an attempt whose run goes on from a copy.
var errHandedOver = errors.New("relay: the stream goes on from a copy")

// Times of moves.
const (
	// callTime bounds one call of a move besides the time of the copy: callers notice a pause of some
	// tenths of a second.
	callTime = 400 * time.Millisecond
	// copyBusyPause is the time before a call that found another one under way is made again.
	copyBusyPause = 30 * time.Millisecond
	// maxCopyCalls is how often one call is made at most, the first time included.
	maxCopyCalls = 2
	// evacuateLook is how often streams of a server that leaves are looked through.
	evacuateLook = 50 * time.Millisecond
	// movesAtOnce bounds the moves of this node from one server: they share its link anyway, yet one
	// call that gets no answer is not to hold up the others.
	movesAtOnce = 4
	// sendMargin is how long before the end of the drain time streams cease to go back to a server
	// that leaves: the word that it leaves came to this node some tenths of a second late.
	sendMargin = 700 * time.Millisecond
	// backMargin is the least time until a server is gone for which a stream still goes back there.
	backMargin = 200 * time.Millisecond
	// wakePause is the least time between two questions for a server that a stream could move to.
	wakePause = 250 * time.Millisecond
)

// ride is a stream while it runs at a server that can hand it over, from board to alight. A nil ride
// stands for a stream that can't be handed over.
type ride struct {
	call   *call
	source *backend.Member // where it runs
	table  *rides

	mu       sync.Mutex
	began    time.Time       // when its first events came
	events   int             // that went out
	over     bool            // the source sends no more
	moving   chan struct{}   // closed when the move under way is through; nil: none was begun
	stopSent bool            // the source was asked to stop the run
	stopLate bool            // a call for a stop got no answer, and may still be carried out
	taken    bool            // the call goes on with it elsewhere
	tried    []string        // IDs of targets that took no copy
	wokeAt   time.Time       // when a server to move to was asked for last
	backup   *backend.Member // got copies of the run since it began; nil: none did
	target   *backend.Member // has a copy, or the backup; nil: none is chosen
	handle   string          // of the copy at the target; empty: none was made
	lines    []moveLine      // for the log
	handover migration.Handover
}

// rides are the streams of this node by their servers. The zero value is ready.
type rides struct {
	mu       sync.Mutex
	at       map[string]map[*ride]struct{} // by the server's ID
	emptying map[string]bool               // servers whose streams evacuate moves
	insured  map[string]int                // tokens of this node's running streams by the server that gets copies
	ends     map[string]time.Time          // servers that were found to have ended under a request of late
	breaks   map[string]time.Time          // servers to which a connection broke under a request of late
}

// board registers a stream at a server. It returns nil if the stream can't move: its engine can't,
// it has no ID to name it by, it moved in vain too often, or it is suspected to end servers and
// stays where it is.
func (c *call) board(m *backend.Member) *ride {
	r := c.relay
	if c.engine == nil || r.Mover == nil || c.id == "" || !c.engine.Moves && c.backup == nil || c.vainMoves >= maxVainMoves {
		return nil
	}
	if q := r.Quarantine; q != nil && q.Standing(c.fingerprint) != quarantine.Free {
		return nil
	}
	boarded := &ride{call: c, source: m, table: &r.rides, target: c.backup, backup: c.backup}
	r.rides.add(boarded)
	return boarded
}

func (t *rides) add(r *ride) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[string]map[*ride]struct{})
		t.emptying = make(map[string]bool)
	}
	if t.at[r.source.ID] == nil {
		t.at[r.source.ID] = make(map[*ride]struct{})
	}
	t.at[r.source.ID][r] = struct{}{}
}

func (t *rides) remove(r *ride) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.at[r.source.ID], r)
	if len(t.at[r.source.ID]) == 0 {
		delete(t.at, r.source.ID)
	}
}

// progress notes events that went out.
func (r *ride) progress(now time.Time, n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.began.IsZero() {
		r.began = now
	}
	r.events += n
}

// look has the streams of the source moved if it leaves, by one goroutine for all of them.
func (r *ride) look() {
	if r == nil || !r.source.Leaving() || !r.call.engine.Moves {
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.emptying[r.source.ID] {
		t.emptying[r.source.ID] = true
		go r.call.relay.evacuate(r.source)
	}
}

// isMoving tells whether a move decides where the stream goes on: one is under way, or a target has a
// copy.
func (r *ride) isMoving() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moving != nil || r.handle != ""
}

// mayBeStopped tells whether the source was asked to stop the run.
func (r *ride) mayBeStopped() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopSent
}

// stream is the ride as package migration sees it, and whether a move of it may begin.
func (r *ride) stream(now time.Time) (s migration.Stream, movable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.call
	made := r.events * max(c.engine.EventTokens, 1)
	return migration.Stream{
		ID: c.id, Rank: c.rank(), Tokens: c.prompt.Tokens() + made, Events: r.events,
		Rest: migration.Rest(now.Sub(r.began), r.events, max(c.engine.EventTokens, 1), c.prompt.Most()),
		Anew: c.route.Repeatable(),
	}, r.events > 0 && !r.over && r.moving == nil && r.handle == ""
}

// gather returns the movable streams at a server, their rides, and how many streams there are in all.
func (t *rides) gather(now time.Time, server string) (streams []migration.Stream, byID map[string]*ride, all int) {
	t.mu.Lock()
	here := make([]*ride, 0, len(t.at[server]))
	for r := range t.at[server] {
		here = append(here, r)
	}
	t.mu.Unlock()
	byID = make(map[string]*ride, len(here))
	for _, r := range here {
		if s, movable := r.stream(now); movable {
			streams = append(streams, s)
			byID[s.ID] = r
		}
	}
	return streams, byID, len(here)
}

// staysFor returns for how long a server that leaves surely serves its streams, and whether
// that is known.
func (r *Relay) staysFor(source *backend.Member) (time.Duration, bool) {
	known := r.DrainTime > 0
	in := r.DrainTime - source.LeavingFor(r.Time.Now())
	if left, told := r.goneIn(source); told && (!known || left < in) {
		return left, true
	}
	return in, known
}

// goneIn returns when a server that leaves at short notice is gone, if it told.
func (r *Relay) goneIn(source *backend.Member) (time.Duration, bool) {
	m := r.Servers.Snapshot().Member(source.ID)
	if m == nil || m.LeaveAt.IsZero() {
		return 0, false
	}
	return r.Time.Until(m.LeaveAt), true
}

// evacuate moves the streams of a server that leaves, until none is there.
func (r *Relay) evacuate(source *backend.Member) {
	atOnce := make(chan struct{}, movesAtOnce)
	for {
		streams, byID, all := r.rides.gather(r.Time.Now(), source.ID)
		if all == 0 || !source.Leaving() {
			r.rides.mu.Lock()
			delete(r.rides.emptying, source.ID)
			r.rides.mu.Unlock()
			return
		}
		if in, known := r.staysFor(source); known && len(streams) > 0 {
			r.moveDue(source, in, streams, byID, atOnce)
		}
		time.Sleep(evacuateLook)
	}
}

// moveDue begins the moves that are due, the greatest loss first.
func (r *Relay) moveDue(source *backend.Member, in time.Duration, streams []migration.Stream, byID map[string]*ride, atOnce chan struct{}) {
	engine := byID[streams[0].ID].call.engine
	leave := migration.Leave{In: in, Running: max(source.Slots, len(streams)),
		Link: migration.Link{BytesPerToken: engine.BytesPerToken, BytesPerS: engine.LinkBytes}}
	moves, begin := migration.Plan(leave, streams)
	if begin > 0 {
		return
	}
	for _, s := range moves {
		select {
		case atOnce <- struct{}{}:
		default:
			return
		}
		ride := byID[s.ID]
		limit := callTime + 2*leave.Link.CopyTime(s.Tokens) // twice, since the link is shared
		done := ride.begin()
		if done == nil {
			<-atOnce
			continue
		}
		go func() {
			ride.move(limit)
			ride.through(done)
			<-atOnce
		}()
	}
}

// begin takes the stream for a move and returns the channel that ends it, see through; nil if the
// stream is over or moves already.
func (r *ride) begin() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over || r.moving != nil || r.handle != "" {
		return nil
	}
	r.moving = make(chan struct{})
	return r.moving
}

// through ends a move that begin took: those that wait for it go on.
func (r *ride) through(done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = nil
	close(done)
}

// move copies the stream's memory to a target while it runs, then has the source stop it and
// copy the rest. What the source made until then still comes on the stream.
func (r *ride) move(limit time.Duration) {
	target := r.pickTarget()
	if target == nil {
		r.wake()
		return
	}
	copied, err := r.copyTo(target, false, limit)
	if err != nil || copied.Result != CopyDone {
		if copied.Handle != "" {
			r.dropHandle(copied.Handle)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tried = append(r.tried, target.ID)
		return
	}
	if !r.holds(target, copied.Handle) {
		return
	}
	for range stopsInFlow {
		switch r.stop(limit) {
		case migration.NoAnswer, migration.NotSent: // again
		case migration.Refused:
			r.stays()
			return
		default:
			return
		}
	}
}

// stays gives up a move whose run surely did not stop: its copy is dropped, and the stream may move
// to another server.
func (r *ride) stays() {
	r.mu.Lock()
	handle, over := r.handle, r.over
	r.mu.Unlock()
	if over {
		return
	}
	r.dropHandle(handle) // before the next copy, which may have the same handle
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = append(r.tried, r.target.ID)
	r.handle, r.stopSent, r.handover, r.target = "", r.stopLate, migration.Handover{}, r.backup
}

// stopsInFlow is how often the source is asked to stop a run whose stream flows, when no answer
// comes; migration bounds what follows once the stream broke.
const stopsInFlow = 2

// holds notes that a target has a copy. It returns false if the stream is over meanwhile.
func (r *ride) holds(target *backend.Member, handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.handle = target, handle
	r.handover.Copied = true
	return !r.over
}

// stop has the source stop the run and copy the rest. A call that does not leave tells nothing of a
// source whose stream flows: it may be that it takes no more connections.
func (r *ride) stop(limit time.Duration) migration.Outcome {
	r.mu.Lock()
	before := r.stopSent
	r.stopSent = true
	target := r.target
	r.mu.Unlock()
	copied, err := r.copyTo(target, true, limit)
	r.mu.Lock()
	defer r.mu.Unlock()
	if copied.Handle != "" {
		r.handle = copied.Handle
	}
	outcome := stopOutcome(copied, err)
	r.stopLate = r.stopLate || outcome == migration.NoAnswer
	if outcome == migration.NotSent && !r.over {
		r.stopSent = before
		r.handover.Told(migration.Stop, migration.Refused)
		return outcome
	}
	r.handover.Told(migration.Stop, outcome)
	return outcome
}

// stopOutcome is the answer to a stop as a handover sees it.
func stopOutcome(copied Copied, err error) migration.Outcome {
	switch {
	case errors.Is(err, backend.ErrNotSent):
		return migration.NotSent
	case err != nil, copied.Result == CopyBusy:
		return migration.NoAnswer
	case copied.Result == CopyNoRun:
		return migration.NoRun
	case copied.Result == CopyNoRoom && copied.Handle != "":
		return migration.Kept
	case copied.Result == CopyNoRoom:
		return migration.Refused
	}
	return migration.Done
}

// stepOf names calls in logs, by whether the run stops.
var stepOf = map[bool]string{false: "copy", true: migration.Stop.String()}

// copyTo has the source copy the run to a target, and stop it first if stop is set. It asks once
// more if another call is under way, or if a copy got no answer while the run goes on: the copy
// that may have been made is known by its handle alone. A stop without an answer is the handover's
// to ask again.
func (r *ride) copyTo(target *backend.Member, stop bool, limit time.Duration) (copied Copied, err error) {
	c := r.call
	for range maxCopyCalls {
		began := c.relay.Time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		copied, err = c.relay.Mover.Copy(ctx, r.source, CopyOrder{RequestID: c.id, To: target.Address, Stop: stop})
		cancel()
		r.note(moveLine{From: r.source.ID, To: target.ID, Step: stepOf[stop], TookMS: c.relay.Time.Since(began).Milliseconds(),
			Events: copied.Events, Outcome: stopOutcome(copied, err).String()})
		again := stopOutcome(copied, err) == migration.NoAnswer && (err == nil || !stop)
		if !again {
			return copied, err
		}
		time.Sleep(copyBusyPause)
	}
	return copied, err
}

// pickTarget returns the server that the stream moves to, nil if none has room.
func (r *ride) pickTarget() *backend.Member {
	r.mu.Lock()
	tried := r.tried
	r.mu.Unlock()
	return r.call.bestBeside(r.source, func(m *backend.Member) bool { return !slices.Contains(tried, m.ID) })
}

// bestBeside returns the server, other than the source, at which a stream goes on best, of those for
// which may returns true; nil if none has room. Nodes know little of each other's streams, so that
// each takes one at random of servers that look the same.
func (c *call) bestBeside(source *backend.Member, may func(*backend.Member) bool) *backend.Member {
	now := c.relay.Time.Now()
	var members []*backend.Member
	var targets []migration.Target
	servers := c.relay.Servers.Snapshot().Service(c.service)
	for _, i := range rand.Perm(len(servers)) {
		m := servers[i]
		if m.ID == source.ID || !m.Serves(now, c.need) || m.Limited() || !may(m) {
			continue
		}
		members = append(members, m)
		targets = append(targets, migration.Target{Busy: m.InFlight(), Slots: m.Slots, Near: m.Zone == source.Zone, Shaky: m.Avoid(now)})
	}
	if best := migration.Best(targets); best >= 0 {
		return members[best]
	}
	return nil
}

// wake asks the holder for a server that the stream can move to.
func (r *ride) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.call.relay.Time.Now()
	if now.Sub(r.wokeAt) < wakePause {
		return
	}
	r.wokeAt = now
	r.tried = nil // one that had no room may have some by now
	go r.call.ask(context.Background(), lacking{}, make(chan asked, 1))
}

// leave ends the ride. What was copied and is not used is dropped, unless the call goes on with
// it.
func (r *ride) leave() {
	if r == nil {
		return
	}
	r.table.remove(r)
	r.mu.Lock()
	r.over = true
	moving, taken := r.moving, r.taken
	r.mu.Unlock()
	switch {
	case taken:
	case moving != nil:
		go func() {
			<-moving
			r.drop()
		}()
	default:
		r.drop()
	}
}

// drop frees a copy that nobody uses.
func (r *ride) drop() {
	r.mu.Lock()
	handle, unused := r.handle, r.handover.Unused()
	r.mu.Unlock()
	if handle != "" && unused {
		go r.dropHandle(handle)
	}
}

// dropHandle frees a copy. The source's next life has none of it.
func (r *ride) dropHandle(handle string) {
	if r.rebornSource() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTime)
	defer cancel()
	if err := r.call.relay.Mover.Drop(ctx, r.source, handle); err != nil {
		r.call.relay.Logger.Info("copy not dropped", "request_id", r.call.id, "server", r.source.ID, "handle", handle, "error", err)
	}
}

// dropTime bounds the call that frees a copy; the server frees it by itself after a while.
const dropTime = time.Second
