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

// Mover makes servers copy the memory of running requests to each other.
type Mover interface {
	// Copy makes the source copy a request's memory to another server and returns when that is
	// done. The error backend.ErrNotSent means that the source was not asked, which says nothing of the run; see
	// activeStream.outcome.
	Copy(ctx context.Context, source *backend.Member, o CopyOrder) (Copied, error)
	// Drop frees an unused copy at both ends.
	Drop(ctx context.Context, source *backend.Member, handle string) error
	// Origin returns the value of Headers.Origin for a request that continues from what a source
	// copied under a handle.
	Origin(source *backend.Member, handle string) string
}

// CopyOrder is a request to copy a run.
type CopyOrder struct {
	RequestID string
	To        string // IP:port
	Stop      bool   // stop the run before copying
}

// CopyResult is a source's result of a copy.
type CopyResult uint8

// Results of a copy.
const (
	CopyDone   CopyResult = iota // copied, and stopped if requested
	CopyNoRun                    // the source does not run the request
	CopyBusy                     // another call for the request is in progress
	CopyNoRoom                   // nothing was copied; with a handle, the run was stopped and is kept
)

// Copied is a source's answer to a CopyOrder.
type Copied struct {
	Result CopyResult
	Handle string // identifies the copy or the stopped run; empty: none
	Events int    // events produced by the run
}

// errHandedOver ends an attempt whose run continues from a copy.
var errHandedOver = errors.New("relay: the stream goes on from a copy")

// Times and limits of moves.
const (
	// moveCallTimeout limits one call of a move in addition to the copy time. Callers notice pauses
	// of some tenths of a second.
	moveCallTimeout = 400 * time.Millisecond
	// copyBusyPause is the pause before repeating a call that found another one in progress.
	copyBusyPause = 30 * time.Millisecond
	// maxCopyCalls limits how often one call is made, including the first time.
	maxCopyCalls = 2
	// evacuatePollInterval is how often the streams of a leaving server are checked.
	evacuatePollInterval = 50 * time.Millisecond
	// maxConcurrentMoves limits this node's moves from one server. They share its link, but one
	// call without an answer must not delay the others.
	maxConcurrentMoves = 4
	// sendMargin is how long before the end of the drain time streams stop returning to a leaving
	// server. This node learned of its leaving some tenths of a second late.
	sendMargin = 700 * time.Millisecond
	// backMargin is the minimum time that a server must remain for a stream to return to it.
	backMargin = 200 * time.Millisecond
	// targetRequestInterval is the minimum interval between requests for a server to move to.
	targetRequestInterval = 250 * time.Millisecond
)

// activeStream is a stream at a server that can hand it over, between registerStream and
// unregisterStream. A nil activeStream is a stream that can't be handed over.
type activeStream struct {
	call   *call
	source *backend.Member // where it runs
	table  *streamTable

	mu             sync.Mutex
	began          time.Time       // when the first events were sent
	events         int             // number of events sent to the caller
	ended          bool            // the source sends no more
	moving         chan struct{}   // closed when the current move ends; nil: no move in progress
	stopSent       bool            // the source was asked to stop the run
	stopUnanswered bool            // a stop call got no answer and may still be carried out
	takenOver      bool            // the call continues the stream elsewhere
	tried          []string        // IDs of targets that accepted no copy
	requestedAt    time.Time       // when a server to move to was last requested
	backup         *backend.Member // received copies from the beginning of the run; nil: none
	target         *backend.Member // has a copy, or is the backup; nil: not chosen
	handle         string          // handle of the copy at the target; empty: none
	lines          []moveLine      // log entries of the stream's moves
	handover       migration.Handover
}

// streamTable holds the active streams of this node. The zero value is ready to use.
type streamTable struct {
	mu                sync.Mutex
	byServer          map[string]map[*activeStream]struct{} // by server ID
	evacuating        map[string]bool                       // servers whose streams evacuate is moving
	backupTokens      map[string]int                        // tokens of running streams, by the server that receives their copies
	serverCrashes     map[string]time.Time                  // servers that recently crashed during a request
	brokenConnections map[string]time.Time                  // servers to which a connection recently broke during a request
}

// registerStream registers a stream at a server. It returns nil if the stream can't move: the
// engine does not support it, the request has no ID, moves failed too often, or the request is
// suspected of crashing servers and must stay where it is.
func (c *call) registerStream(at *run) *activeStream {
	r := c.relay
	if c.engine == nil || r.Mover == nil || c.id == "" || !c.engine.Moves && at.backup == nil || c.failedMoves >= maxFailedMoves {
		return nil
	}
	if q := r.Quarantine; q != nil && q.Standing(c.subjects...) != quarantine.Free {
		return nil
	}
	s := &activeStream{call: c, source: at.member, table: &r.streams, target: at.backup, backup: at.backup}
	r.streams.add(s)
	return s
}

func (t *streamTable) add(r *activeStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byServer == nil {
		t.byServer = make(map[string]map[*activeStream]struct{})
		t.evacuating = make(map[string]bool)
	}
	if t.byServer[r.source.ID] == nil {
		t.byServer[r.source.ID] = make(map[*activeStream]struct{})
	}
	t.byServer[r.source.ID][r] = struct{}{}
}

func (t *streamTable) remove(r *activeStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byServer[r.source.ID], r)
	if len(t.byServer[r.source.ID]) == 0 {
		delete(t.byServer, r.source.ID)
	}
}

// noteProgress records that events were sent.
func (r *activeStream) noteProgress(now time.Time, n int) {
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

// evacuateIfLeaving starts one goroutine that moves all streams of the source if the source leaves.
func (r *activeStream) evacuateIfLeaving() {
	if r == nil || !r.source.Leaving() || !r.call.engine.Moves {
		return
	}
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.evacuating[r.source.ID] {
		t.evacuating[r.source.ID] = true
		go r.call.relay.evacuate(r.source)
	}
}

// isMoving reports whether a move decides where the stream continues: one is in progress or a
// target has a copy.
func (r *activeStream) isMoving() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moving != nil || r.handle != ""
}

// mayBeStopped reports whether the source was asked to stop the run.
func (r *activeStream) mayBeStopped() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopSent
}

// migrationStream converts the stream for package migration and reports whether a move may begin.
func (r *activeStream) migrationStream(now time.Time) (s migration.Stream, movable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.call
	generated := r.events * max(c.engine.EventTokens, 1)
	return migration.Stream{
		ID: c.id, Rank: c.rank(), Tokens: c.prompt.Tokens() + generated, Events: r.events,
		Remaining:   migration.RemainingTime(now.Sub(r.began), r.events, max(c.engine.EventTokens, 1), c.prompt.MaxOutput()),
		Restartable: c.route.Repeatable(),
	}, r.events > 0 && !r.ended && r.moving == nil && r.handle == ""
}

// movable returns the movable streams at a server and the number of all its streams.
func (t *streamTable) movable(now time.Time, server string) (streams []migration.Stream, byID map[string]*activeStream, all int) {
	t.mu.Lock()
	here := make([]*activeStream, 0, len(t.byServer[server]))
	for r := range t.byServer[server] {
		here = append(here, r)
	}
	t.mu.Unlock()
	byID = make(map[string]*activeStream, len(here))
	for _, r := range here {
		if s, movable := r.migrationStream(now); movable {
			streams = append(streams, s)
			byID[s.ID] = r
		}
	}
	return streams, byID, len(here)
}

// servesFor returns how long a leaving server is guaranteed to serve its streams, and whether that
// is known.
func (r *Relay) servesFor(source *backend.Member) (time.Duration, bool) {
	known := r.DrainTime > 0
	in := r.DrainTime - source.LeavingFor(r.Time.Now())
	if left, announced := r.timeUntilGone(source); announced && (!known || left < in) {
		return left, true
	}
	return in, known
}

// timeUntilGone returns when a server that leaves at short notice will be gone, if it was
// announced.
func (r *Relay) timeUntilGone(source *backend.Member) (time.Duration, bool) {
	m := r.Servers.Snapshot().Member(source.ID)
	if m == nil || m.LeaveAt.IsZero() {
		return 0, false
	}
	return r.Time.Until(m.LeaveAt), true
}

// evacuate moves the streams of a leaving server until none is left.
func (r *Relay) evacuate(source *backend.Member) {
	semaphore := make(chan struct{}, maxConcurrentMoves)
	for {
		streams, byID, all := r.streams.movable(r.Time.Now(), source.ID)
		if all == 0 || !source.Leaving() {
			r.streams.mu.Lock()
			delete(r.streams.evacuating, source.ID)
			r.streams.mu.Unlock()
			return
		}
		if in, known := r.servesFor(source); known && len(streams) > 0 {
			r.startDueMoves(source, in, streams, byID, semaphore)
		}
		time.Sleep(evacuatePollInterval)
	}
}

// startDueMoves begins the moves that are due, those with the greatest loss first.
func (r *Relay) startDueMoves(source *backend.Member, in time.Duration, streams []migration.Stream, byID map[string]*activeStream, semaphore chan struct{}) {
	engine := byID[streams[0].ID].call.engine
	leave := migration.Departure{TimeLeft: in, Running: max(source.Slots, len(streams)),
		Link: migration.Link{BytesPerToken: engine.BytesPerToken, BytesPerS: engine.LinkBytes}}
	moves, begin := migration.Plan(leave, streams)
	if begin > 0 {
		return
	}
	for _, s := range moves {
		select {
		case semaphore <- struct{}{}:
		default:
			return
		}
		active := byID[s.ID]
		limit := moveCallTimeout + 2*leave.Link.CopyTime(s.Tokens) // doubled since the link is shared
		done := active.beginMove()
		if done == nil {
			<-semaphore
			continue
		}
		go func() {
			active.move(limit)
			active.endMove(done)
			<-semaphore
		}()
	}
}

// beginMove marks the stream as moving and returns the channel for endMove, or nil if the stream is
// over or already moving.
func (r *activeStream) beginMove() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.moving != nil || r.handle != "" {
		return nil
	}
	r.moving = make(chan struct{})
	return r.moving
}

// endMove ends a move and releases those that wait for it.
func (r *activeStream) endMove(done chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = nil
	close(done)
}

// move copies the stream's memory to a target while it runs, then makes the source stop it and copy
// the rest. Events produced until then still arrive on the stream.
func (r *activeStream) move(limit time.Duration) {
	target := r.pickTarget()
	if target == nil {
		r.requestTarget()
		return
	}
	copied, outcome := r.copyTo(target, false, limit)
	if outcome != migration.Done {
		if copied.Handle != "" {
			r.dropHandle(copied.Handle)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.tried = append(r.tried, target.ID)
		return
	}
	if !r.setCopy(target, copied.Handle) {
		return
	}
	for range maxStopsWhileStreaming {
		switch r.stop(limit) {
		case migration.NoAnswer, migration.NotSent: // try again
		case migration.Refused:
			r.abandonMove()
			return
		default:
			return
		}
	}
}

// abandonMove gives up a move whose run certainly did not stop. It drops the copy, and the stream
// may move to another server.
func (r *activeStream) abandonMove() {
	r.mu.Lock()
	handle, over := r.handle, r.ended
	r.mu.Unlock()
	if over {
		return
	}
	r.dropHandle(handle) // before the next copy, which may get the same handle
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tried = append(r.tried, r.target.ID)
	r.handle, r.stopSent, r.handover, r.target = "", r.stopUnanswered, migration.Handover{}, r.backup
}

// maxStopsWhileStreaming is how often the source is asked to stop a run that still streams if no
// answer comes. Package migration limits the stop calls after the stream broke.
const maxStopsWhileStreaming = 2

// setCopy records that a target has a copy. It returns false if the stream ended meanwhile.
func (r *activeStream) setCopy(target *backend.Member, handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target, r.handle = target, handle
	r.handover.Copied = true
	return !r.ended
}

// stop makes the source stop the run and copy the rest. A source that still streams has not ended, whatever became of the call: it may
// just accept no more connections.
func (r *activeStream) stop(limit time.Duration) migration.Outcome {
	r.mu.Lock()
	before := r.stopSent
	r.stopSent = true
	target := r.target
	r.mu.Unlock()
	copied, outcome := r.copyTo(target, true, limit)
	r.mu.Lock()
	defer r.mu.Unlock()
	if copied.Handle != "" {
		r.handle = copied.Handle
	}
	r.stopUnanswered = r.stopUnanswered || outcome == migration.NoAnswer
	if isUnsent(outcome) && !r.ended {
		r.stopSent = before
		outcome = migration.NotSent
	}
	r.handover.RecordOutcome(migration.Stop, outcome)
	return outcome
}

// isUnsent reports whether a call was not sent.
func isUnsent(o migration.Outcome) bool {
	return o == migration.NotSent || o == migration.Ended || o == migration.Unreachable
}

// outcome converts the answer to a call for the handover. The call was made at the given time and had to end within the limit. A
// call that was not sent shows that the source has ended only if nothing listens at its address, and that it can't be reached only if
// neither this call nor any connection brought a sign of it while this node itself was not held up.
func (r *activeStream) outcome(copied Copied, err error, began time.Time, limit time.Duration) migration.Outcome {
	switch {
	case !errors.Is(err, backend.ErrNotSent):
		return answerOutcome(copied, err)
	case r.source.HeardSince(began):
		return migration.NotSent
	case errors.Is(err, backend.ErrRefused):
		return migration.Ended
	case errors.Is(err, backend.ErrNoConnection) && r.call.relay.Time.Since(began) < limit+maxTimerDelay:
		return migration.Unreachable
	}
	return migration.NotSent
}

// answerOutcome converts the answer to a call that may have been sent for the handover.
func answerOutcome(copied Copied, err error) migration.Outcome {
	switch {
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

// stepNames are the names of copy calls in logs, by whether the run is stopped.
var stepNames = map[bool]string{false: "copy", true: migration.Stop.String()}

// copyTo makes the source copy the run to a target, after stopping it if stop is set. It repeats
// the call once if another call is in progress, or if a copy got no answer while the run continues:
// a copy that may exist can only be dropped by its handle. Repeating a stop without an answer is
// left to the handover.
func (r *activeStream) copyTo(target *backend.Member, stop bool, limit time.Duration) (copied Copied, outcome migration.Outcome) {
	c := r.call
	for range maxCopyCalls {
		began := c.relay.Time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		var err error
		copied, err = c.relay.Mover.Copy(ctx, r.source, CopyOrder{RequestID: c.id, To: target.Address, Stop: stop})
		cancel()
		outcome = r.outcome(copied, err, began, limit)
		r.addLogLine(moveLine{From: r.source.ID, To: target.ID, Step: stepNames[stop], TookMS: c.relay.Time.Since(began).Milliseconds(),
			Events: copied.Events, Outcome: outcome.String(), Error: errorText(err)})
		if outcome != migration.NoAnswer || err != nil && stop {
			break
		}
		time.Sleep(copyBusyPause)
	}
	return copied, outcome
}

// pickTarget returns the server that the stream moves to, or nil if none has free capacity.
func (r *activeStream) pickTarget() *backend.Member {
	r.mu.Lock()
	tried := r.tried
	r.mu.Unlock()
	return r.call.bestAlternative(r.source, func(m *backend.Member) bool { return !slices.Contains(tried, m.ID) })
}

// bestAlternative returns the best server of the source's software version, other than the source, to
// continue a stream, among those for which may returns true, or nil if none has free capacity. Nodes
// know little about each other's streams, so ties are broken at random.
func (c *call) bestAlternative(source *backend.Member, may func(*backend.Member) bool) *backend.Member {
	now := c.relay.Time.Now()
	var members []*backend.Member
	var targets []migration.Target
	servers := c.relay.Servers.Snapshot().Service(c.service)
	for _, i := range rand.Perm(len(servers)) {
		m := servers[i]
		if m.ID == source.ID || m.Software != source.Software || !m.Serves(now, c.need) || m.Limited() || !may(m) {
			continue
		}
		members = append(members, m)
		targets = append(targets, migration.Target{Busy: m.InFlight(), Slots: m.Slots, SameZone: m.Zone == source.Zone, RecentlyFailed: m.Avoid(now)})
	}
	if best := migration.BestTarget(targets); best >= 0 {
		return members[best]
	}
	return nil
}

// requestTarget asks the coordinator for a server that the stream can move to.
func (r *activeStream) requestTarget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.call.relay.Time.Now()
	if now.Sub(r.requestedAt) < targetRequestInterval || r.call.versionLeaves() {
		return
	}
	r.requestedAt = now
	r.tried = nil // they may have free capacity by now
	go r.call.requestLoad(context.Background(), shortage{}, make(chan loadResult, 1))
}

// finish ends the stream at its source. An unused copy is dropped unless the call continues from
// it.
func (r *activeStream) finish() {
	if r == nil {
		return
	}
	r.table.remove(r)
	r.mu.Lock()
	r.ended = true
	moving, taken := r.moving, r.takenOver
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

// drop frees an unused copy.
func (r *activeStream) drop() {
	r.mu.Lock()
	handle, unused := r.handle, r.handover.HasUnusedCopy()
	r.mu.Unlock()
	if handle != "" && unused {
		go r.dropHandle(handle)
	}
}

// dropHandle frees a copy, unless the source restarted and lost it.
func (r *activeStream) dropHandle(handle string) {
	if r.sourceRestarted() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := r.call.relay.Mover.Drop(ctx, r.source, handle); err != nil {
		r.call.relay.Logger.Info("copy not dropped", "request_id", r.call.id, "server", r.source.ID, "handle", handle, "error", err)
	}
}

// dropTimeout limits the call that frees a copy. Otherwise the server frees it after a while.
const dropTimeout = time.Second
