// Package upstream sends requests to engines over pooled connections. Each
// request has a connection to itself and is written once, never retried. Errors
// carry the stage that the request had reached.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Config limits the connections to engines. All fields except Dial must be set.
type Config struct {
	ConnectTimeout    time.Duration // for establishing a connection
	WriteTimeout      time.Duration // for writing a request
	StallTimeout      time.Duration // for each read of an answer's body
	IdleTimeout       time.Duration // after which an idle connection is closed
	MaxConnsPerEngine int           // open connections to one engine
	// Dial opens a connection. If nil, TCP with ConnectTimeout is used.
	Dial func(address string) (net.Conn, error)
}

// Stage is the progress of a request when it failed.
type Stage uint8

// Stages of a request, in order.
const (
	StageConnect Stage = iota + 1 // no byte was sent
	StageSent                     // at least one byte was sent; no answer header was received
	StageAnswer                   // the answer's header was received
)

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	cause error
}

// Error returns the stage and the cause as text.
func (e *Error) Error() string {
	switch e.Stage {
	case StageConnect:
		return "upstream: not sent: " + e.cause.Error()
	case StageSent:
		return "upstream: sent, no answer: " + e.cause.Error()
	default:
		return "upstream: answer broke off: " + e.cause.Error()
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// StageOf returns the stage at which err happened. For errors of other types it
// returns StageSent, which leaves open whether the request was run.
func StageOf(err error) Stage {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Stage
	}
	return StageSent
}

// Client holds the connections to all engines. It is safe for concurrent use.
type Client struct {
	config Config

	mutex sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client that connects on demand.
func NewClient(config Config) *Client {
	if config.Dial == nil {
		config.Dial = func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, config.ConnectTimeout)
		}
	}
	return &Client{config: config, hosts: make(map[string]*fasthttp.HostClient)}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, host := range c.hosts {
		host.CloseIdleConnections()
	}
}

// host returns the connection pool for the engine at address.
func (c *Client) host(address string) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	host, known := c.hosts[address]
	if !known {
		c.removeUnusedHosts()
		host = c.newHost(address)
		c.hosts[address] = host
	}
	return host
}

// removeUnusedHosts removes the pools without connections.
func (c *Client) removeUnusedHosts() {
	for address, host := range c.hosts {
		if host.ConnsCount() == 0 {
			delete(c.hosts, address)
		}
	}
}

// newHost returns a connection pool that never retries a request.
func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		Dial:                      c.dial,
		MaxConns:                  c.config.MaxConnsPerEngine,
		MaxIdleConnDuration:       c.config.IdleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		ConnPoolStrategy: fasthttp.LIFO,
	}
}

// dial opens a connection that counts the bytes written.
func (c *Client) dial(address string) (net.Conn, error) {
	raw, err := c.config.Dial(address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, stallTimeout: c.config.StallTimeout}, nil
}

// Send writes request to the engine at address and waits until firstByteBy for
// the header of the answer. When ctx ends, the connection is closed, also while
// the body is read. The caller must close the answer.
func (c *Client) Send(ctx context.Context, address string, request *fasthttp.Request, firstByteBy time.Time) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Stage: StageConnect, cause: err}
	}
	answer, err := c.connect(address)
	if err != nil {
		return nil, &Error{Stage: StageConnect, cause: err}
	}
	answer.stopAbort = context.AfterFunc(ctx, answer.conn.abort)
	if err := answer.exchange(request, firstByteBy, c.config.WriteTimeout); err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		stage := StageConnect
		if answer.conn.sent() {
			stage = StageSent
		}
		answer.Close(false)
		return nil, &Error{Stage: stage, cause: err}
	}
	return answer, nil
}

// connect returns an idle connection that is still usable, or opens a new one.
func (c *Client) connect(address string) (*Answer, error) {
	host := c.host(address)
	for {
		pooled, err := host.AcquireConn(c.config.ConnectTimeout, false)
		if err != nil {
			return nil, err
		}
		engineConn, isOurs := pooled.Conn().(*conn)
		if !isOurs {
			host.CloseConn(pooled)
			return nil, errors.Errorf("upstream: connection of type %T", pooled.Conn())
		}
		if engineConn.used && engineConn.isStale() {
			host.CloseConn(pooled)
			continue
		}
		engineConn.begin()
		return &Answer{
			conn: engineConn,
			finish: func(reuse bool) {
				if reuse {
					host.ReleaseConn(pooled)
				} else {
					host.CloseConn(pooled)
				}
			},
		}, nil
	}
}

// Answer is the answer of an engine, from which the body is read. It must not be
// used concurrently.
type Answer struct {
	Response  *fasthttp.Response // header without body
	conn      *conn
	reader    *bufio.Reader
	body      bodyReader
	ended     bool             // the body was read to its end
	stopAbort func() bool      // stops the watch on the context
	finish    func(reuse bool) // releases or closes the connection
}
