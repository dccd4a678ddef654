package tunnel

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/clock"
)

// Times and limits of what a node believes about its ways to servers.
const (
	// cutWays is the number of servers to which the way must be broken for the node to be cut from all of
	// them; a site with fewer servers needs all of its own.
	cutWays = 3
	// cutSilence is how long no server was heard directly when the node counts as cut.
	cutSilence = 500 * time.Millisecond
	// retryDirectTime is how long after a failed direct connection the next one to that server is tried
	// through other nodes only.
	retryDirectTime = 2 * time.Second
	// aroundTime is how long it counts that another node connected to a server.
	aroundTime = 10 * time.Second
	// failureTime is how long a failed direct connection casts doubt on those to other servers.
	failureTime = time.Second
	// probeSilence is how long a request may stay without any answer before servers are probed.
	probeSilence = 800 * time.Millisecond
	// forgetTime is when an unconfirmed failure is forgotten.
	forgetTime = 5 * time.Second
)

// way is what is known about the direct way to one server since its last direct connection.
type way struct {
	failedAt time.Time // last failure to connect directly
	silent   bool      // it got no answer, rather than a refusal
	aroundAt time.Time // when another node last connected to the server; zero: never
	broken   bool      // as logged
}

// Reach is what a node knows about its own ways to servers. Safe for concurrent use. Set the exported
// fields before use.
type Reach struct {
	Time    clock.Clock
	Servers func() int // number of servers that the node knows
	// OnCut is called in its own goroutine when the node begins to be cut from all servers, and when it no
	// longer is; may be nil.
	OnCut  func(cut bool)
	Logger hclog.Logger

	mu        sync.Mutex
	ways      map[string]*way // by address of the server; those with a failure only
	contactAt time.Time       // when a server was last heard directly
	sentAt    time.Time       // when a request was last sent directly
	cutSince  time.Time       // zero: not cut
}

// Connected records a direct connection to a server.
func (r *Reach) Connected(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	if w := r.ways[address]; w != nil {
		if !w.failedAt.IsZero() {
			r.Logger.Info("server connected again", "address", address, "failed_ms", now.Sub(w.failedAt).Milliseconds())
		}
		delete(r.ways, address)
	}
	r.contact(now)
}

// Heard records an answer of a server on a direct connection.
func (r *Reach) Heard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact(r.Time.Now())
}

// contact records that a server was heard directly. The caller holds mu.
func (r *Reach) contact(now time.Time) {
	r.contactAt = now
	if r.cutSince.IsZero() {
		return
	}
	r.Logger.Info("servers reached directly again", "cut_ms", now.Sub(r.cutSince).Milliseconds(), "broken_ways", r.countBroken(now))
	r.cutSince = time.Time{}
	r.notify(false)
}

func (r *Reach) notify(cut bool) {
	if r.OnCut != nil {
		go r.OnCut(cut)
	}
}

// Sent records that a request is sent on a direct connection.
func (r *Reach) Sent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt = r.Time.Now()
}

// Failed records that a direct connection to a server did not come up. silent tells that nothing was
// answered.
func (r *Reach) Failed(address string, silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	w := r.way(now, address)
	if w.failedAt.IsZero() {
		r.Logger.Info("server not connected", "address", address, "silent", silent, "last_contact_ms", now.Sub(r.contactAt).Milliseconds())
	}
	w.failedAt, w.silent = now, silent
	r.update(now, address, w)
}

// ReachedByOther records that another node connected to a server.
func (r *Reach) ReachedByOther(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	w := r.way(now, address)
	w.aroundAt = now
	r.update(now, address, w)
}

// way returns what is known about the way to a server. The caller holds mu.
func (r *Reach) way(now time.Time, address string) *way {
	if r.ways == nil {
		r.ways = make(map[string]*way)
	}
	for known, w := range r.ways {
		if now.Sub(w.failedAt) > forgetTime && now.Sub(w.aroundAt) > aroundTime {
			delete(r.ways, known)
		}
	}
	if r.ways[address] == nil {
		r.ways[address] = new(way)
	}
	return r.ways[address]
}

// isBroken reports whether another node connects to the server and this one does not.
func (w *way) isBroken(now time.Time) bool {
	return !w.failedAt.IsZero() && !w.aroundAt.IsZero() && now.Sub(w.aroundAt) <= aroundTime
}

// update logs a way that broke, and decides whether the node is cut. The caller holds mu.
func (r *Reach) update(now time.Time, address string, w *way) {
	if w.isBroken(now) && !w.broken {
		w.broken = true
		r.Logger.Warn("server reached through other nodes only", "address", address, "silent", w.silent)
	}
	if !r.cutSince.IsZero() || now.Sub(r.contactAt) < cutSilence {
		return
	}
	if broken := r.countBroken(now); broken >= min(cutWays, max(r.Servers(), 1)) {
		r.cutSince = now
		r.Logger.Warn("cut from all servers", "broken_ways", broken, "last_contact_ms", now.Sub(r.contactAt).Milliseconds())
		r.notify(true)
	}
}

func (r *Reach) countBroken(now time.Time) int {
	broken := 0
	for _, w := range r.ways {
		if w.isBroken(now) {
			broken++
		}
	}
	return broken
}

// Cut reports whether the node is cut from all servers.
func (r *Reach) Cut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.cutSince.IsZero()
}

// route tells how to connect to a server.
type route struct {
	direct bool // directly
	around bool // through other nodes at once, not only once the direct connection is late
}

// routeTo returns how to connect to a server now.
func (r *Reach) routeTo(address string) route {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	w := r.ways[address]
	switch {
	case w != nil && w.isBroken(now):
		return route{direct: now.Sub(w.failedAt) > retryDirectTime, around: true}
	case !r.cutSince.IsZero():
		return route{direct: true, around: true}
	}
	return route{direct: true}
}

// doubtsRefusal reports whether a refused connection, which no other node confirmed, may be due to this
// node's own ways: others failed as well a moment ago and no server was heard since.
func (r *Reach) doubtsRefusal(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	others := 0
	for other, w := range r.ways {
		if other == address {
			continue
		}
		if w.isBroken(now) {
			return true
		}
		if w.failedAt.After(r.contactAt) && now.Sub(w.failedAt) <= failureTime {
			others++
		}
	}
	return others >= cutWays-1
}

// silentFor returns how long no server was heard directly.
func (r *Reach) silentFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Time.Since(r.contactAt)
}

// HeardSince reports whether a server was heard directly since t.
func (r *Reach) HeardSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contactAt.After(t)
}

// mayBeCut reports whether a way is broken and no server was heard directly since.
func (r *Reach) mayBeCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	for _, w := range r.ways {
		if w.isBroken(now) && w.failedAt.After(r.contactAt) {
			return true
		}
	}
	return false
}

// unanswered reports whether a request was sent a while ago and no server was heard directly since.
func (r *Reach) unanswered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentAt.After(r.contactAt) && r.Time.Since(r.sentAt) < forgetTime && r.Time.Since(r.contactAt) > probeSilence
}

// brokenWays returns the addresses of servers to which the way is broken, the one whose direct connection
// failed longest ago first.
func (r *Reach) brokenWays() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Time.Now()
	var list []string
	for address, w := range r.ways {
		if w.isBroken(now) {
			list = append(list, address)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return r.ways[a].failedAt.Compare(r.ways[b].failedAt) })
	return list
}
