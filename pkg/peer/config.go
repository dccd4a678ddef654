package peer

import (
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
)

// Defaults and limits for connections.
const (
	// DefaultDialTimeout is the time allowed for connecting, the TLS handshake
	// and the exchange of hellos together.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout is how long a write may stall before the connection
	// is closed.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = time.Minute
	// BriefIdleFactor divides the idle timeout of a connection that carried at
	// most briefMessages messages. Probes of nodes that are not neighbours would
	// otherwise accumulate connections.
	BriefIdleFactor = 10
	briefMessages   = 4
	// DefaultPingInterval is the interval between a client's pings on a connection.
	// A connection on which nothing arrives for more than SilenceFactor
	// intervals is closed.
	DefaultPingInterval = 3 * time.Second
	// SilenceFactor is the number of intervals without any received data that a
	// connection survives: ping intervals at the client, idle timeouts at the
	// server.
	SilenceFactor = 2
	// DefaultMaxConnections is the maximum number of connections of a server.
	DefaultMaxConnections = 2048
	// helloTime is how long a connection may always take for its hello. While as many as may be have none, the oldest one
	// gives way to a new one after this time.
	helloTime = 100 * time.Millisecond
	// helloPoll is the interval at which a server that waits for a hello looks again.
	helloPoll = 5 * time.Millisecond
	// DefaultMaxLinks is the maximum number of connections of a client. Messages to
	// further addresses are not sent.
	DefaultMaxLinks = 1024
	// DefaultQueueLength is the maximum number of messages that wait for one connection.
	DefaultQueueLength = 256
	// maxCallsPerConnection is the maximum number of calls of one peer that are handled
	// concurrently. At the limit, the server stops reading from the connection
	// until one of them is answered.
	maxCallsPerConnection = 64
	// firstBackoff and longestBackoff bound the wait before an unreachable peer
	// is tried again. It doubles with each failure, and half of it is random.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// Config configures a Server or a Client. Zero fields take the defaults.
type Config struct {
	Self     api.NodeRef  // identity sent to peers; see Server.Self for its PeerAddress
	Address  string       // Server: IP:port to listen on; port 0 means any free port
	SourceIP string       // Client: local IP of connections; empty means any
	TLS      *tls.Config  // certificate, RootCAs and ClientCAs; nil disables TLS
	Counters *Counters    // may be shared; nil means separate counters
	Logger   hclog.Logger // nil disables logging
	Timeouts Timeouts
	Limits   ServiceLimits
}

// Timeouts are the timeouts and intervals of connections.
type Timeouts struct {
	Dial  time.Duration // see DefaultDialTimeout
	Write time.Duration // see DefaultWriteTimeout
	Idle  time.Duration // see DefaultIdleTimeout
	Ping  time.Duration // see DefaultPingInterval
}

// ServiceLimits bounds the resources that connections use.
type ServiceLimits struct {
	Connections int // maximum number of connections of a server
	Hellos      int // maximum number of these that have sent no hello; zero: all of them
	Links       int // maximum number of connections of a client
	QueueLength int // maximum number of messages that wait for one connection
}

// withDefaults fills in the zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Timeouts.Dial, DefaultDialTimeout)
	setDefault(&c.Timeouts.Write, DefaultWriteTimeout)
	setDefault(&c.Timeouts.Idle, DefaultIdleTimeout)
	setDefault(&c.Timeouts.Ping, DefaultPingInterval)
	setDefault(&c.Limits.Connections, DefaultMaxConnections)
	setDefault(&c.Limits.Hellos, c.Limits.Connections)
	setDefault(&c.Limits.Links, DefaultMaxLinks)
	setDefault(&c.Limits.QueueLength, DefaultQueueLength)
	if c.Counters == nil {
		c.Counters = NewCounters()
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
