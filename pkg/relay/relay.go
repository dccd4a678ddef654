// Package relay forwards HTTP requests from callers to servers along configured routes and returns
// the answers. It does not interpret what is asked: a model is a requirement of a request that a
// server meets or not.
//
// The files follow the path of a request:
//
//   - relay.go: entry point
//   - call.go: route lookup, limits and the outgoing message
//   - body.go: reading the body
//   - access.go: authentication of the tenant
//   - quota.go: the tenant's quota
//   - choose.go: waiting for a server and choosing one with the plug-ins of package routing
//   - affinity.go: the replica that a request prefers
//   - cold.go: limits for servers that have just started
//   - backoff.go: servers that asked for a back-off
//   - hold.go: whether a request without a server is held or refused
//   - place.go: admission at overloaded servers
//   - slots.go: servers that limit their request rate
//   - attempt.go: sending a request, and what a failed attempt allows
//   - run.go: one run of a request at a server
//   - hedge.go: a second run beside one whose server is silent
//   - quarantine.go: requests that crash servers
//   - version.go: streams continue at the software version that they began at
//   - buffered.go, partial.go, stream.go, events.go: passing answers on
//   - unframed.go: callers that get streams without framing
//   - refuse.go: answers of the relay itself
//   - budget.go, slack.go: the retry budget
//   - stopping.go, duration.go: requests that a planned stop would cut off
//   - cancel.go: ending requests before a planned stop
//   - migrate.go, resume.go: moving a stream from a server that leaves
//   - backup.go: copying a running stream to a second server in advance
//   - record.go: log line and metrics
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
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/traffic/routing"
)

// Headers are the names, in canonical form, of the headers that callers, the relay and servers
// exchange.
type Headers struct {
	RequestID string // identifies one attempt of a caller; servers repeat it
	Deadline  string // milliseconds that the sender waits for the answer
	Seal      string // a server's signature of its answer
	Expect    string // the server that a request is meant for
	NotRun    string // set by a server that did not run the request
	Model     string // the model that the request needs
	LastEvent string // event after which a stream continues
	Resumes   string // request ID of the caller's attempt that brought the first event of the stream that continues
	Priority  string // 0 is the most urgent
	Tenant    string // the tenant on whose behalf the request is made
	Tokens    string // token count of the prompt and the maximum to generate
	Parts     string // prompt parts that requests share
	Origin    string // where the copy is from with which a request continues
	Backup    string // the server that receives copies of the running request
	Likely    string // the caller's estimate of the tokens generated
	// Reserved holds headers that only the system sets. They are removed from callers' requests.
	Reserved map[string]bool
}

// setByRelay reports whether the relay itself sets a header on requests to servers.
func (h *Headers) setByRelay(name string) bool {
	switch name {
	case h.Deadline, h.Expect, h.Origin, h.Backup, h.LastEvent, h.Priority, h.Tenant:
		return true
	}
	return h.Reserved[name]
}

// LoadRequest asks for a model that a request needs and no server is known to hold.
type LoadRequest struct {
	Service   string
	Need      backend.Need
	Priority  int // 0 is the most urgent
	Deadline  time.Time
	RequestID string
	Missing   string // server that reported that it does not hold the model
	Gone      bool   // the missing server refused the connection
	Bound     bool   // only servers of one software version can serve the request
	Software  string // the version, if Bound
	// Short is a server that holds the model but rejects requests, so that another replica is
	// needed.
	Short    string
	ShortFor time.Duration // how long Short is expected to reject requests
}

// LoadStatus is what is known about a load request.
type LoadStatus struct {
	Server  string        // server that already holds the model; empty: none
	ReadyIn time.Duration // expected time until the model is ready; zero: unknown
	Age     time.Duration // age of this information
	Silence time.Duration // with an error: for how long no coordinator has answered
}

// ModelLoader has models loaded on request. RequestLoad does not wait for the load. With an error, the status is what is
// known from before.
type ModelLoader interface {
	RequestLoad(ctx context.Context, w LoadRequest) (LoadStatus, error)
}

// Relay serves callers' requests. Set the exported fields before the first request; zero values
// select the defaults named below.
type Relay struct {
	Headers Headers
	Node    string // name of this node
	Zone    string
	Regions map[string]string // the region of each zone; nil: unknown
	Time    clock.Clock
	Routes  func() *route.Table // returns nil while no table is known
	Keys    KeyAge
	Quotas  Quotas // tenants' quotas; not enforced if nil
	Servers *backend.Directory
	Answers *memory.Budget // bounds what is held of answers; unlimited if nil
	Loader  ModelLoader
	// Quarantine keeps requests that crash servers away from them; not enforced if nil.
	Quarantine Quarantine
	// Lineage knows at which software version streams began. If nil, streams that callers take up go on at
	// any server.
	Lineage Lineage
	// SoleVersion returns the software version that serves a service alone; the zero value if none is known
	// to. If nil, none is.
	SoleVersion func(service string) lineage.SoleVersion
	// ConfirmSole is SoleVersion as it holds at a moment after the call, by the platform's store; nil: what SoleVersion returns always does.
	ConfirmSole func(ctx context.Context, service string) (lineage.SoleVersion, error)
	// ListsAll reports whether this node knows all servers; nil: it does.
	ListsAll func() bool
	// Identify returns a probe that finds out whether a server is the incarnation that its record describes;
	// nil, or if it is nil: nothing but the server's name can tell.
	Identify func(m *backend.Member) *backend.Probe
	// Mover moves running streams; none move if nil.
	Mover Mover
	// DrainTime is the time for which a leaving server is guaranteed to serve; zero: unknown.
	DrainTime time.Duration
	// Slots grants send slots at servers that limit their requests. If nil, the node uses its local
	// ration alone.
	Slots Slots
	// Places decides where and when requests go to overloaded servers; the node decides alone if
	// nil.
	Places Places
	Nodes  func() int // nodes that share the retry budget, zero while unknown; 1 if nil
	Budget BudgetConfig
	// Bodies bounds what the bodies of requests hold; unlimited if nil.
	Bodies         *memory.Budget
	Lender         Lender    // lends retries when this node's share is spent; may be nil
	BudgetStart    time.Time // when this node's slack began to fill; the first request if zero
	Logger         hclog.Logger
	Metrics        *Metrics                                           // not counted if nil
	RequestArrived func(service string, n backend.Need, priority int) // called for each request; may be nil

	splits  route.Splitter
	budgets budgets
	mixes   mixes
	borrowing
	streams     streamTable
	coldRation  backpressure.Ration // limits requests to cold servers
	localSlots  backpressure.Ration // limits requests to rate-limited servers while nobody grants slots
	placeQueues placeQueues         // requests that wait for places at brittle servers
	active      activeRequests
	inFlight    atomic.Int64
	stop        atomic.Pointer[stopPlan]
	durations   durations

	mu      sync.Mutex // guards random and chooser
	random  *rand.Rand
	chooser *routing.Chooser
}

// InFlight returns the number of requests in progress.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	c := &call{relay: r, w: w, http: hr, request: request{arrived: r.Time.Now()}}
	c.limitWrites(defaultTimeout)
	defer c.discardUnread()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	defer c.finish()
	defer c.answerAfterPanic()
	if !c.accept() {
		return
	}
	ctx, end := context.WithCancelCause(hr.Context())
	defer end(nil)
	r.active.add(c, end)
	defer r.active.remove(c)
	ctx, cancel := context.WithTimeoutCause(ctx, c.timeLeft(), errDeadline)
	defer cancel()
	if c.bindToOrigin(ctx) && c.admit(ctx) {
		c.serve(ctx)
	}
}
