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

// Authenticator checks the keys of callers. Safe for concurrent use.
type Authenticator interface {
	// Authenticate returns the name of the caller that owns key, and false if
	// nobody does. It compares in constant time and does not keep key.
	Authenticate(key []byte) (caller string, known bool)
}

// Catalog is one revision of the models that callers may ask for. *tree.Tree
// is one.
type Catalog interface {
	Model(name api.ModelName) (tree.Model, bool)
	Models() []tree.Model
	Revision() tree.Revision
}

// Limits bound what callers and engines can take up. A zero field selects its
// default.
type Limits struct {
	BodyBytes        int // of a request
	HeaderBytes      int // of a request
	AnswerBytes      int // of an answer that is not streamed
	EventBytes       int // of one event of a stream
	KeptAnswerBytes  int // of an answer kept for a repeat of an unsafe request
	Connections      int // of all callers
	ConnectionsPerIP int
	ConnsPerEngine   int
	Resumes          int // of one broken answer
	Moves            int // of streams to other replicas, at once; negative: none
	MoveTries        int // of one stream
	MoveBytes        int // of a stream that is moved
}

// Timeouts bound each step of a request. A zero field selects its default.
type Timeouts struct {
	Read           time.Duration // of a caller's request
	Write          time.Duration // of a part of an answer, to a caller
	Idle           time.Duration // of a caller's connection between requests
	Connect        time.Duration // to an engine
	EngineWrite    time.Duration // of a request, to an engine
	EngineStall    time.Duration // between two events of a stream
	ResumePause    time.Duration // before the second and later resumptions of an answer
	EngineIdle     time.Duration // of an engine's connection between requests
	WholeAnswer    time.Duration // after the deadline, longest for an answer that is not streamed
	WholeStart     time.Duration // part of WholeAnswer that every answer gets
	Token          time.Duration // part of WholeAnswer for each token asked for
	FirstToken     time.Duration // deadline of a request for which nothing gives one
	HangUpInterval time.Duration // between two looks for callers that left
	MoveStep       time.Duration // for an export or import
	MovePause      time.Duration // between two tries to move a stream
	TurnAway       time.Duration // of a planned stop, in which new requests get a refusal
	Keepers        time.Duration // for a claim's completion or release
}

// Config is what a gateway is made of.
type Config struct {
	Node          string // this node's name, for logs
	Region        string // of this node, for the names of cells
	Dispatcher    traffic.Dispatcher
	Catalog       func() Catalog // the settings in force; nil while there are none
	Claims        keeper.Claims  // nil: requests that are unsafe to repeat are refused
	Authenticator Authenticator  // nil: every caller is "anonymous"
	Logger        hclog.Logger
	Metrics       prometheus.Registerer // nil: none are registered
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
	DefaultRead           = 30 * time.Second
	DefaultWrite          = 30 * time.Second
	DefaultIdle           = 2 * time.Minute
	DefaultConnect        = 2 * time.Second
	DefaultEngineWrite    = 10 * time.Second
	DefaultEngineStall    = 30 * time.Second
	DefaultResumePause    = 100 * time.Millisecond
	DefaultEngineIdle     = 30 * time.Second
	DefaultWholeAnswer    = 5 * time.Minute
	DefaultWholeStart     = 10 * time.Second
	DefaultToken          = 250 * time.Millisecond
	DefaultFirstToken     = 30 * time.Second
	DefaultHangUpInterval = 100 * time.Millisecond
	DefaultMoveStep       = 5 * time.Second
	DefaultMovePause      = time.Second
	DefaultTurnAway       = 300 * time.Millisecond
	DefaultKeepers        = 2 * time.Second
)

// check reports all faults of the configuration.
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
	t.WholeStart = cmp.Or(t.WholeStart, DefaultWholeStart)
	t.Token = cmp.Or(t.Token, DefaultToken)
	t.FirstToken = cmp.Or(t.FirstToken, DefaultFirstToken)
	t.HangUpInterval = cmp.Or(t.HangUpInterval, DefaultHangUpInterval)
	t.MoveStep = cmp.Or(t.MoveStep, DefaultMoveStep)
	t.MovePause = cmp.Or(t.MovePause, DefaultMovePause)
	t.TurnAway = cmp.Or(t.TurnAway, DefaultTurnAway)
	t.Keepers = cmp.Or(t.Keepers, DefaultKeepers)
	return t
}
