package relay

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/prompt"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tenant"
)

// errDeadline ends a request whose deadline passed.
var errDeadline = errors.New("relay: the time of the request is over")

// defaultTimeout applies to requests that neither the caller nor the route bounds.
const defaultTimeout = time.Minute

// maxCallerTime is what a longer deadline of a caller counts for, so that sums and multiples of it are times.
const maxCallerTime = 24 * time.Hour

// call is one request of a caller in progress.
type call struct {
	relay *Relay
	w     http.ResponseWriter
	http  *http.Request

	request
	progress
	migrationState
	hedging
	trial  *trial            // permission to run a suspected request; nil: not needed
	place  place             // admission at overloaded servers
	slot   slot              // send slot at a rate-limited server
	loan   backpressure.Slot // place that is lent to the request at a brittle server
	record record
}

// request is what the caller asks for and its limits, as accepted.
type request struct {
	arrived  time.Time
	deadline time.Time // when the whole answer must be complete

	table    *route.Table
	route    *route.Route
	tenant   *tenant.Tenant // on whose behalf it is made; nil: no tenant
	quotaReq quota.Request  // the request's cost in the tenant's quota, and what may delay it
	charged  bool           // the quota was charged for the request
	service  string
	engine   *route.Engine

	id          string
	target      string // path and query as received
	head        []byte // header lines that are forwarded
	body        []byte
	incoming    *memory.Incoming         // holds the body; nil: not read yet
	bodyEnded   bool                     // nothing of the body is left to read
	fingerprint quarantine.Fingerprint   // set after the body was read
	parts       []string                 // IDs of the parts of the prompt that other requests may share
	subjects    []quarantine.Fingerprint // of the request, and of parts
	need        backend.Need
	prompt      prompt.Prompt // only for requests to an engine
	affinityReq affinity.Request
}

// progress is the state of the attempts at servers so far.
type progress struct {
	tried          []string // servers that did not serve the request
	shortage       shortage // servers that could not serve it though they were believed to hold the model
	sends          int
	misses         int   // attempts in which no server ran the request
	runs           int   // servers that may have run it, but for those that crashed and don't count as attempts
	mayHaveRun     bool  // a server may have run it, also one that crashed
	unprovenRounds []int // by subject: rounds, with those in doubt, of the last attempt that broke although another node reached the server
	unrun          bool  // no server may have run it when the current attempt began
	headSent       bool
	passedOn       bool          // a part of an answer that is no stream was sent
	retryReserved  bool          // a retry was taken from the budget and not used yet
	lent           chan bool     // receives whether a retry was lent; nil: none is being borrowed
	pinned         bool          // the stream has events: only servers of one software version may continue it
	software       string        // the version, if pinned
	streamKeys     []lineage.Key // by which the caller may take the stream up; nil: it can't, or has not begun
	lastEvent      string        // ID of the last event sent to the caller, also by earlier attempts of the caller
}

// migrationState is the state of a stream that continues at another server.
type migrationState struct {
	handedOver  *activeStream // stream that the next server continues; nil: none
	breakErr    error         // why the source stopped sending
	resumption  resumption
	failedMoves int // targets that failed to continue it
}

// shortage names servers that could not serve a request. It is reported with a load request.
type shortage struct {
	server   string        // does not hold the model
	gone     bool          // server refused the connection
	short    string        // holds the model but rejects requests
	shortFor time.Duration // how long short is expected to reject requests
}

// accept reads and checks the request. If it returns false, the request was answered.
func (c *call) accept() bool {
	c.id = c.http.Header.Get(c.relay.Headers.RequestID)
	c.record.id = c.id
	age, after, keysValid := c.relay.Keys.check() // before reading the table, which may be newer
	c.record.keysAge = age
	c.table = c.relay.Routes()
	if c.table == nil || !c.relay.Servers.Known() {
		c.refuse(notReady)
		return false
	}
	c.target = c.http.RequestURI
	if !strings.HasPrefix(c.target, "/") {
		c.target = c.http.URL.RequestURI()
	}
	path, _, _ := strings.Cut(c.target, "?")
	c.route = c.table.Match(c.http.Host, path)
	if c.route == nil {
		c.refuse(noRoute)
		return false
	}
	if !keysValid && c.table.Tenants() != nil && !c.route.Public {
		c.refuse(refusal{http.StatusServiceUnavailable, reasonOldKeys, after})
		return false
	}
	if !c.identify() || !c.limitTime() || !c.readBody() {
		return false
	}
	c.identifySubjects()
	if c.quarantined() { // checked before any work is done
		c.refuseQuarantined()
		return false
	}
	if c.relay.stopped(c.route.Kind, true) {
		c.refuse(stopping)
		return false
	}
	c.resolve()
	c.unrun = true
	if c.stopTooNear(0) { // checked before the quota is charged
		c.refuse(stopping)
		return false
	}
	return true
}

// caller returns the address of the caller without its port.
func (c *call) caller() string {
	host, _, err := net.SplitHostPort(c.http.RemoteAddr)
	if err != nil {
		return c.http.RemoteAddr
	}
	return host
}

// limitTime determines the deadline of the request.
func (c *call) limitTime() bool {
	wait := c.route.Timeout
	if text := c.http.Header.Get(c.relay.Headers.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 || math.IsNaN(ms) {
			c.refuse(badDeadline)
			return false
		}
		timeout := time.Duration(min(ms*float64(time.Millisecond), float64(maxCallerTime)))
		c.record.callerTimeout = timeout
		if timeout > 0 && (wait <= 0 || timeout < wait) {
			wait = timeout
		}
	}
	if wait <= 0 {
		wait = defaultTimeout
	}
	c.deadline = c.arrived.Add(wait)
	c.limitWrites(wait)
	return true
}

// resolve determines what the request needs.
func (c *call) resolve() {
	c.useService(c.relay.splits.Pick(c.route))
	h := c.http.Header
	c.lastEvent = h.Get(c.relay.Headers.LastEvent)
	c.record.resumesAfter, c.record.resumes = c.lastEvent, h.Get(c.relay.Headers.Resumes)
	c.head = c.forwardedHead()
}

// useService sets the service and what the request needs of its servers.
func (c *call) useService(service string) {
	c.service, c.engine, c.need = service, nil, backend.Need{}
	if s := c.table.Service(service); s != nil {
		c.engine = s.Engine
	}
	if c.engine == nil {
		return
	}
	h := c.http.Header
	c.need = backend.ParseNeed(h.Get(c.relay.Headers.Model))
	c.prompt = prompt.Parse(prompt.Fields{Tokens: h.Get(c.relay.Headers.Tokens),
		Parts: h.Get(c.relay.Headers.Parts), ExpectedOutput: h.Get(c.relay.Headers.Likely)})
	c.computeAffinity()
}

// hopByHop holds the headers that belong to a single connection or that the relay writes itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// forwardedHead renders the header lines that are forwarded unchanged.
func (c *call) forwardedHead() []byte {
	dropped := connectionHeaders(c.http.Header)
	own := c.relay.Headers
	b := make([]byte, 0, 512)
	b = append(b, "Host: "+c.http.Host+"\r\n"...)
	for name, values := range c.http.Header {
		if hopByHop[name] || dropped[name] || own.setByRelay(name) || name == headerKey && c.table.Tenants() != nil {
			continue
		}
		for _, v := range values {
			b = appendHeader(b, name, v)
		}
	}
	if c.tenant != nil {
		b = appendHeader(b, own.Tenant, c.tenant.Name)
	}
	return b
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// message returns the request as it is sent to a server. The run continues from a copy of the given origin, if any, and is
// copied to backup; nil: it is not.
func (c *call) message(m *backend.Member, origin string, backup *backend.Member) *backend.Message {
	own := c.relay.Headers
	left := max(c.relay.Time.Until(c.deadline)-answerTime, time.Millisecond)
	head := make([]byte, 0, len(c.head)+160)
	head = append(head, c.head...)
	head = appendHeader(head, own.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	head = appendHeader(head, own.Expect, m.Instance())
	if c.lastEvent != "" {
		head = appendHeader(head, own.LastEvent, c.lastEvent)
	}
	if origin != "" {
		head = appendHeader(head, own.Origin, origin)
	}
	if backup != nil {
		head = appendHeader(head, own.Backup, backup.Address)
	}
	if c.engine != nil {
		head = appendHeader(head, own.Priority, strconv.Itoa(c.rank()))
	}
	return &backend.Message{
		Method: c.http.Method, Target: c.target, Head: head, Body: c.body, Probe: c.probe(m),
		IsAnswer: func(h http.Header) bool {
			id := h.Get(own.RequestID)
			return c.id == "" || id == "" || id == c.id
		},
	}
}

// answerTime is reserved for a server's own report that the deadline passed.
const answerTime = 10 * time.Millisecond

// lowestPriority is the least urgent priority that servers know.
const lowestPriority = 9

// timeLeft returns the time until the deadline; zero before the deadline is known.
func (c *call) timeLeft() time.Duration {
	if c.deadline.IsZero() {
		return 0
	}
	return c.relay.Time.Until(c.deadline)
}

// callerGone reports whether the caller closed the connection.
func (c *call) callerGone(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, errDeadline) && !errors.Is(cause, errStopping)
}
