package gateway

import (
	"cmp"
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// Authenticator checks the API keys of callers. It is safe for concurrent use.
type Authenticator interface {
	// Authenticate returns the name of the caller that owns key, or false if
	// the key is unknown. It compares in constant time and does not retain key.
	Authenticate(key []byte) (caller string, known bool)
}

// Catalog is one revision of the models that callers may ask for. *tree.Tree
// implements it.
type Catalog interface {
	Model(name api.ModelName) (tree.Model, bool)
	Models() []tree.Model
	Revision() tree.Revision
}

// Limits bounds the resources that callers and engines can use. A zero field
// selects its default.
type Limits struct {
	BodyBytes        int // maximum size of a request body
	HeaderBytes      int // maximum size of a request header
	AnswerBytes      int // maximum size of an answer that is not streamed
	HeldAnswerBytes  int // maximum size of all these answers at once, from their first byte until callers have them
	EventBytes       int // maximum size of one stream event
	KeptAnswerBytes  int // maximum size of an answer kept for repeats of an unsafe request
	Connections      int // open connections of all callers
	ConnectionsPerIP int // open connections from one IP address
	ConnsPerEngine   int // connections to one engine
	Resumes          int // resume attempts for one broken answer
	Moves            int // streams moved to other replicas at a time; negative: moves are off
	MoveTries        int // move attempts per stream
	MoveBytes        int // maximum size of an exported stream
}

// Timeouts bounds each step of a request. A zero field selects its default.
type Timeouts struct {
	Read                time.Duration // reading a caller's request
	Write               time.Duration // each write of an answer to a caller
	Idle                time.Duration // caller connection without a request
	Connect             time.Duration // connecting to an engine
	EngineWrite         time.Duration // writing a request to an engine
	EngineStall         time.Duration // gap between two events of a stream
	ResumePause         time.Duration // wait before the second and later resume attempts of an answer
	EngineIdle          time.Duration // engine connection without a request
	WholeAnswer         time.Duration // longest time after the deadline for an answer that is not streamed
	WholeAnswerBase     time.Duration // fixed part of the time for an answer that is not streamed
	WholeAnswerPerToken time.Duration // added to WholeAnswerBase for each requested token, up to WholeAnswer
	FirstToken          time.Duration // deadline if neither the request nor the model sets one
	HangUpInterval      time.Duration // interval of the checks for callers that hung up
	MoveStep            time.Duration // one export or import
	MovePause           time.Duration // wait between two attempts to move a stream
	RefuseNew           time.Duration // how long Drain answers new requests with a refusal before it closes connections
	Keepers             time.Duration // completing or releasing a claim
}

// Config configures a gateway. Dispatcher, Catalog and Region are required.
type Config struct {
	Node          string // name of this node, for logs
	Region        string // region of this node, part of cell names
	Dispatcher    traffic.Dispatcher
	Catalog       func() Catalog // returns the current models, nil before the first settings arrive
	Claims        keeper.Claims  // nil: requests that are unsafe to repeat are refused
	Authenticator Authenticator  // nil: every caller is "anonymous"
	Logger        hclog.Logger
	Metrics       prometheus.Registerer // nil: metrics are not registered
	Now           func() time.Time      // nil: time.Now
	TLS           *tls.Config           // nil: plain HTTP
	Limits        Limits
	Timeouts      Timeouts
}

// Defaults of Limits.
const (
	DefaultBodyBytes        = 4 << 20
	DefaultHeaderBytes      = 16 << 10
	DefaultAnswerBytes      = 16 << 20
	DefaultHeldAnswerBytes  = 256 << 20
	DefaultEventBytes       = 1 << 20
	DefaultKeptAnswerBytes  = keeper.MaxKeptAnswer
	DefaultConnections      = 16384
	DefaultConnectionsPerIP = 4096
	DefaultConnsPerEngine   = 4096
	DefaultResumes          = 3
	DefaultMoves            = 4
	DefaultMoveTries        = 2
	DefaultMoveBytes        = 16 << 20
)

// Defaults of Timeouts.
const (
	DefaultRead                = 30 * time.Second
	DefaultWrite               = 30 * time.Second
	DefaultIdle                = 2 * time.Minute
	DefaultConnect             = 2 * time.Second
	DefaultEngineWrite         = 10 * time.Second
	DefaultEngineStall         = 30 * time.Second
	DefaultResumePause         = 100 * time.Millisecond
	DefaultEngineIdle          = 30 * time.Second
	DefaultWholeAnswer         = 5 * time.Minute
	DefaultWholeAnswerBase     = 10 * time.Second
	DefaultWholeAnswerPerToken = 250 * time.Millisecond
	DefaultFirstToken          = 30 * time.Second
	DefaultHangUpInterval      = 100 * time.Millisecond
	DefaultMoveStep            = 5 * time.Second
	DefaultMovePause           = time.Second
	DefaultRefuseNew           = 300 * time.Millisecond
	DefaultKeepers             = 2 * time.Second
)

// check returns an error that lists all faults of the configuration.
func (c Config) check() error {
	var found findings.List
	if c.Dispatcher == nil {
		found.Addf("gateway config", "Dispatcher is missing")
	}
	if c.Catalog == nil {
		found.Addf("gateway config", "Catalog is missing")
	}
	if c.Region == "" {
		found.Addf("gateway config", "Region is missing")
	}
	return found.Err()
}

// withDefaults returns the configuration with every optional field set.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	c.Limits = c.Limits.withDefaults()
	c.Timeouts = c.Timeouts.withDefaults()
	return c
}

func (l Limits) withDefaults() Limits {
	l.BodyBytes = cmp.Or(l.BodyBytes, DefaultBodyBytes)
	l.HeaderBytes = cmp.Or(l.HeaderBytes, DefaultHeaderBytes)
	l.AnswerBytes = cmp.Or(l.AnswerBytes, DefaultAnswerBytes)
	l.HeldAnswerBytes = cmp.Or(l.HeldAnswerBytes, DefaultHeldAnswerBytes)
	l.EventBytes = cmp.Or(l.EventBytes, DefaultEventBytes)
	l.KeptAnswerBytes = cmp.Or(l.KeptAnswerBytes, DefaultKeptAnswerBytes)
	l.Connections = cmp.Or(l.Connections, DefaultConnections)
	l.ConnectionsPerIP = cmp.Or(l.ConnectionsPerIP, DefaultConnectionsPerIP)
	l.ConnsPerEngine = cmp.Or(l.ConnsPerEngine, DefaultConnsPerEngine)
	l.Resumes = cmp.Or(l.Resumes, DefaultResumes)
	l.Moves = cmp.Or(l.Moves, DefaultMoves)
	l.Moves = max(l.Moves, 0)
	l.MoveTries = cmp.Or(l.MoveTries, DefaultMoveTries)
	l.MoveBytes = cmp.Or(l.MoveBytes, DefaultMoveBytes)
	return l
}

func (t Timeouts) withDefaults() Timeouts {
	t.Read = cmp.Or(t.Read, DefaultRead)
	t.Write = cmp.Or(t.Write, DefaultWrite)
	t.Idle = cmp.Or(t.Idle, DefaultIdle)
	t.Connect = cmp.Or(t.Connect, DefaultConnect)
	t.EngineWrite = cmp.Or(t.EngineWrite, DefaultEngineWrite)
	t.EngineStall = cmp.Or(t.EngineStall, DefaultEngineStall)
	t.ResumePause = cmp.Or(t.ResumePause, DefaultResumePause)
	t.EngineIdle = cmp.Or(t.EngineIdle, DefaultEngineIdle)
	t.WholeAnswer = cmp.Or(t.WholeAnswer, DefaultWholeAnswer)
	t.WholeAnswerBase = cmp.Or(t.WholeAnswerBase, DefaultWholeAnswerBase)
	t.WholeAnswerPerToken = cmp.Or(t.WholeAnswerPerToken, DefaultWholeAnswerPerToken)
	t.FirstToken = cmp.Or(t.FirstToken, DefaultFirstToken)
	t.HangUpInterval = cmp.Or(t.HangUpInterval, DefaultHangUpInterval)
	t.MoveStep = cmp.Or(t.MoveStep, DefaultMoveStep)
	t.MovePause = cmp.Or(t.MovePause, DefaultMovePause)
	t.RefuseNew = cmp.Or(t.RefuseNew, DefaultRefuseNew)
	t.Keepers = cmp.Or(t.Keepers, DefaultKeepers)
	return t
}
