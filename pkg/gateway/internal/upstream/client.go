// Package upstream sends requests to engines over pooled connections. Each
// request is written once and on a connection that it has to itself; nothing
// is repeated. Errors tell how far a request came.
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

// Config bounds the connections to engines. All fields must be set.
type Config struct {
	ConnectTimeout    time.Duration // for a connection to stand
	WriteTimeout      time.Duration // for a request to be written
	StallTimeout      time.Duration // between two reads of an answer's body
	IdleTimeout       time.Duration // after which an unused connection closes
	MaxConnsPerEngine int
	// Dial opens a connection; by TCP if nil.
	Dial func(address string) (net.Conn, error)
}

// Stage tells how far a request came.
type Stage uint8

// The stages, in order.
const (
	StageConnect Stage = iota + 1 // no byte left this process
	StageSent                     // some byte was sent, no answer came
	StageAnswer                   // the answer's header came
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	cause error
}

// Error describes the failure.
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

// StageOf returns the stage at which err happened. An error of another kind
// counts as sent, which claims the least.
func StageOf(err error) Stage {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Stage
	}
	return StageSent
}

// Client holds the connections to all engines. Safe for concurrent use.
type Client struct {
	config Config

	mutex sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	if config.Dial == nil {
		config.Dial = func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, config.ConnectTimeout)
		}
	}
	return &Client{config: config, hosts: make(map[string]*fasthttp.HostClient)}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, host := range c.hosts {
		host.CloseIdleConnections()
	}
}

// host returns the connections to the engine at address.
func (c *Client) host(address string) *fasthttp.HostClient {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	host, known := c.hosts[address]
	if !known {
		c.dropUnused()
		host = c.newHost(address)
		c.hosts[address] = host
	}
	return host
}

// dropUnused forgets engines to which no connection stands.
func (c *Client) dropUnused() {
	for address, host := range c.hosts {
		if host.ConnsCount() == 0 {
			delete(c.hosts, address)
		}
	}
}

// newHost returns a pool of connections that never repeats a request.
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

// dial opens a connection that counts what is written.
func (c *Client) dial(address string) (net.Conn, error) {
	raw, err := c.config.Dial(address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, stall: c.config.StallTimeout}, nil
}

// Send writes request to the engine at address and waits for the header of its
// answer until firstByteBy. When ctx ends, the connection closes. The answer
// must be closed.
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

// connect takes an idle connection that still stands, or opens one.
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
		if engineConn.used && engineConn.stale() {
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

// Answer is the answer of an engine; its body is read from it. It is for one
// goroutine.
type Answer struct {
	Response  *fasthttp.Response // header only
	conn      *conn
	reader    *bufio.Reader
	body      bodyReader
	ended     bool // the body was read to its end
	stopAbort func() bool
	finish    func(reuse bool)
}
