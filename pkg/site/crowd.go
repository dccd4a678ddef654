package site

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/clock"
)

// Parts of the descriptors of the process that are not for files. The rest is for servers, other nodes and the store.
const (
	fileDescriptors = 200 // for files
	callersShare    = 0.625
	directoryShare  = 0.0625
	readinessShare  = 0.03125
	metricsShare    = 0.03125
	hellosShare     = 0.125 // for connections of other nodes before their hello
)

// minConns is the least number of connections of a listener.
const minConns = 8

// ConnLimits are the most connections that listeners keep at once; zero: unlimited.
type ConnLimits struct {
	Callers, Directory, Readiness, Metrics int
	Hellos                                 int // connections of other nodes before their hello
}

// NewConnLimits returns the limits of a process that may open a number of descriptors; zero: unlimited.
func NewConnLimits(descriptors int) ConnLimits {
	if descriptors <= 0 {
		return ConnLimits{}
	}
	free := float64(max(descriptors-fileDescriptors, descriptors/2))
	part := func(share float64) int { return max(int(share*free), minConns) }
	return ConnLimits{part(callersShare), part(directoryShare), part(readinessShare), part(metricsShare), part(hellosShare)}
}

// Limits of requests that are not callers'.
const (
	sideHeaderBytes = 16 << 10
	sideReadTime    = 10 * time.Second
	sideWriteTime   = 10 * time.Second
	sideIdleTime    = 10 * time.Second
)

// NewSideServer returns an HTTP server for small requests without a body, whose heads have to come within a time.
func NewSideServer(handler http.Handler, headerTime time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: sideHeaderBytes, ReadHeaderTimeout: headerTime, ReadTimeout: sideReadTime,
		WriteTimeout: sideWriteTime, IdleTimeout: sideIdleTime,
	}
}

// LimitConns returns a listener that keeps a number of connections at once; zero: any. For a new one beyond it the oldest is
// closed.
func LimitConns(inner net.Listener, most int, logger hclog.Logger) net.Listener {
	if most <= 0 {
		return inner
	}
	return &limitedListener{Listener: inner, most: most, logger: logger}
}

// limitedListener closes its oldest connections.
type limitedListener struct {
	net.Listener
	most   int
	logger hclog.Logger

	mu     sync.Mutex
	open   []*limitedConn // in the order in which they were accepted
	logged time.Time      // when a closed connection was last logged
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	from *limitedListener
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{conn, l}
	l.mu.Lock()
	var oldest *limitedConn
	if len(l.open) >= l.most {
		oldest = l.open[0]
	}
	l.open = append(l.open, c)
	report := oldest != nil && clock.Since(l.logged) >= acceptLogInterval
	if report {
		l.logged = clock.Now()
	}
	l.mu.Unlock()
	if report {
		l.logger.Warn("connections are closed for new ones", "address", l.Addr().String(), "most", l.most)
	}
	if oldest != nil {
		_ = oldest.Close() // its server closes it, too
	}
	return c, nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.from.mu.Lock()
	for i, other := range c.from.open {
		if other == c {
			c.from.open = append(c.from.open[:i], c.from.open[i+1:]...)
			break
		}
	}
	c.from.mu.Unlock()
	return c.Conn.Close()
}
