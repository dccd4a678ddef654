// Package relay carries any HTTP request from a caller to one of the servers
// that its route leads to, and the answer back. It knows nothing of what is
// asked: models are needs of a request that servers hold or not.
//
// A request's way, by file: relay.go takes it in; call.go finds its route and
// bounds; access.go finds the tenant in whose name it is made and quota.go charges it;
// choose.go waits for a server, by the plug-ins of package routing, and affinity.go tells which
// of them the request prefers; cold.go spares servers that have just started; prospect.go decides
// whether one that finds none is held or refused; place.go has it take its turn where servers are crowded, slots.go
// where they limit what they take; attempt.go sends it and
// decides what a failure allows; quarantine.go keeps it from servers if it ends them; whole.go
// and stream.go pass the answer on; refuse.go gives the relay's own answers; budget.go and
// slack.go bound repeats; ending.go ends what a stop would cut off; rides.go and moves.go move a
// stream whose server leaves, insurance.go has copies made of one beforehand;
// record.go logs and counts the end.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/traffic/routing"
)

// Headers are the names of the headers that callers, the relay and servers
// speak, in canonical form.
type Headers struct {
	RequestID string // of one attempt of a caller; servers repeat it
	Deadline  string // milliseconds that the sender waits
	Seal      string // a server's signature of its answer
	Expect    string // the server that a request is for
	NotRun    string // a server did not run the request
	Model     string // what the request needs
	LastEvent string // event after which a stream goes on
	Priority  string // 0 is the most urgent
	Tenant    string // in whose name a request is made
	Tokens    string // of a request: of its prompt, and the most that it generates
	Parts     string // of a prompt, shared among requests
	Origin    string // of a request that goes on from a copy: where the copy is from
	Backup    string // of a request: the server that gets copies of what it runs
	Likely    string // of a request: the caller's guess of the tokens that it generates
	// Reserved are those that the system alone sets: what callers send under these names
	// does not go on.
	Reserved map[string]bool
}

// sets tells whether the relay itself sets a header of what goes to servers.
func (h *Headers) sets(name string) bool {
	switch name {
	case h.Deadline, h.Expect, h.Origin, h.Backup, h.LastEvent, h.Priority, h.Tenant:
		return true
	}
	return h.Reserved[name]
}

// Wish is a model that a request needs and no server is known to hold.
type Wish struct {
	Service   string
	Need      backend.Need
	Priority  int // 0 is the most urgent
	Deadline  time.Time
	RequestID string
	Missing   string // server that said that it does not hold it
	Gone      bool   // the missing server refused the connection
	// Short is a server that holds it and turns requests away, so that another one is to hold it as well.
	Short    string
	ShortFor time.Duration // for which it does so, as known
}

// Outlook is what is known of a wish.
type Outlook struct {
	Server  string        // that holds it by now; empty: none yet
	ReadyIn time.Duration // expected; zero: not known
	Age     time.Duration // of this word
}

// Waker has models loaded. Wake does not wait for the load.
type Waker interface {
	Wake(ctx context.Context, w Wish) (Outlook, error)
}

// Relay serves callers. Set the fields before the first request; the zero
// values of those marked so select defaults.
type Relay struct {
	Headers Headers
	Node    string // name of this node
	Zone    string
	Regions map[string]string // the region of each zone; nil: not known
	Time    clock.Clock
	Routes  func() *route.Table // nil while none is known
	Keys    KeyAge
	Quotas  Quotas // of tenants; not kept if nil
	Servers *backend.Directory
	Waker   Waker
	// Quarantine keeps requests that end servers from them; none are kept if nil.
	Quarantine Quarantine
	// Mover moves running streams; none move if nil.
	Mover Mover
	// DrainTime is how long a server that leaves surely goes on serving; zero: not known.
	DrainTime time.Duration
	// Slots gives out when requests go to servers that limit them; the node goes by its ration alone if nil.
	Slots Slots
	// Places decides where and when requests go to crowded servers; the node chooses alone if nil.
	Places  Places
	Nodes   func() int // that share the budget of repeats, zero while not known; 1 if nil
	Budget  BudgetConfig
	Lender  Lender    // of repeats when this node's share is spent; may be nil
	Began   time.Time // since when this node's account of repeats fills; the first request if zero
	Logger  hclog.Logger
	Metrics *Metrics                                           // not counted if nil
	Arrived func(service string, n backend.Need, priority int) // told of each request; may be nil

	splits  route.Splitter
	budgets budgets
	mixes   mixes
	borrowing
	rides    rides
	cold     backpressure.Ration // of cold servers
	alone    backpressure.Ration // of servers with a limit, while nobody gives out slots
	endings  endings
	inFlight atomic.Int64
	stop     atomic.Pointer[stopPlan]

	mu      sync.Mutex // guards what choosing needs
	random  *rand.Rand
	chooser *routing.Chooser
}

// stopPlan says what a stopping relay still takes.
type stopPlan struct {
	streamsUntil time.Time // new streams would be cut off after it
	until        time.Time // nothing new is sent after it
}

// streamShare is the part of a stop's time in which streams are still begun.
const streamShare = 0.3

// lastAnswers is the time at the end of a stop for the answers under way.
const lastAnswers = 1200 * time.Millisecond

// Stop begins a planned stop that ends after grace: each connection closes with
// its next answer, and what can't be served to its end any more is refused.
func (r *Relay) Stop(grace time.Duration) {
	now := r.Time.Now()
	r.stop.Store(&stopPlan{
		streamsUntil: now.Add(time.Duration(streamShare * float64(grace))),
		until:        now.Add(grace - lastAnswers),
	})
}

// stopped tells whether a stop keeps a request from being sent.
func (r *Relay) stopped(kind route.Kind, fresh bool) bool {
	plan := r.stop.Load()
	if plan == nil {
		return false
	}
	now := r.Time.Now()
	return now.After(plan.until) || fresh && kind == route.Stream && now.After(plan.streamsUntil)
}

// InFlight returns the number of requests under way.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	c := &call{relay: r, w: w, http: hr, request: request{arrived: r.Time.Now()}}
	if r.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	defer c.finish()
	if !c.accept() {
		return
	}
	ctx, end := context.WithCancelCause(hr.Context())
	defer end(nil)
	r.endings.add(c, end)
	defer r.endings.remove(c)
	ctx, cancel := context.WithTimeoutCause(ctx, c.left(), errDeadline)
	defer cancel()
	if c.admit(ctx) {
		c.serve(ctx)
	}
}
