package peer

import (
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
)

// Defaults and limits of connections.
const (
	// DefaultDialTimeout bounds the connection, the TLS handshake and the hello.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout is how long a write may stall before the connection
	// is given up.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultIdleTimeout is how long an unused connection is kept.
	DefaultIdleTimeout = time.Minute
	// BriefIdleFactor divides the idle time-out of a connection that carried no
	// more than briefMessages messages: probes of nodes that are no neighbours
	// are not to pile up connections.
	BriefIdleFactor = 10
	briefMessages   = 4
	// DefaultPingInterval is how long nothing may arrive on a connection before
	// the peer is asked for a sign of life. After SilenceFactor of these
	// without any the connection is given up.
	DefaultPingInterval = 3 * time.Second
	// SilenceFactor multiplies the ping interval.
	SilenceFactor = 2
	// DefaultMaxConnections bounds the connections that a server keeps.
	DefaultMaxConnections = 2048
	// DefaultMaxLinks bounds the connections that a client keeps. Messages for
	// further addresses are not sent.
	DefaultMaxLinks = 1024
	// DefaultQueueLength bounds the messages that wait for one connection.
	DefaultQueueLength = 256
	// maxCallsPerConnection bounds the calls of one peer that are answered at
	// the same time; further ones wait in the connection.
	maxCallsPerConnection = 64
	// firstBackoff and longestBackoff bound the time for which a peer that
	// could not be reached is not tried again. It doubles with each failure,
	// and half of it is random.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// Config sets up a Server or a Client. Zero fields take the defaults.
type Config struct {
	Self     api.NodeRef   // told to peers; see Server.Self for its PeerAddress
	Address  string        // Server: IP:port to listen on; port 0 for any
	SourceIP string        // Client: local IP of connections; empty for any
	TLS      *tls.Config   // certificate, RootCAs and ClientCAs; nil: no TLS
	Counters *Counters     // may be shared; nil: own ones
	Logger   hclog.Logger  // nil: no logs
	Timeouts Timeouts      // see the defaults
	Limits   ServiceLimits // see the defaults
}

// Timeouts of connections.
type Timeouts struct {
	Dial  time.Duration
	Write time.Duration
	Idle  time.Duration
	Ping  time.Duration
}

// ServiceLimits bound what connections may use.
type ServiceLimits struct {
	Connections int // that a server keeps
	Links       int // that a client keeps
	QueueLength int // messages that wait for one connection
}

// withDefaults fills in the zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Timeouts.Dial, DefaultDialTimeout)
	setDefault(&c.Timeouts.Write, DefaultWriteTimeout)
	setDefault(&c.Timeouts.Idle, DefaultIdleTimeout)
	setDefault(&c.Timeouts.Ping, DefaultPingInterval)
	setDefault(&c.Limits.Connections, DefaultMaxConnections)
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
