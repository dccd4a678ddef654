package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// RemoteError is the error with which a peer's handler answered a call.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "peer answered: " + e.Text
}

// Client implements Transport over TCP. It keeps one connection per address.
type Client struct {
	config  Config
	workers conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	clock   func() time.Time // used for back-offs

	mutex sync.Mutex
	links map[string]*link
}

// NewClient returns a client. It connects to an address when there is a message to
// send.
func NewClient(config Config) *Client {
	config = config.withDefaults()
	config.TLS = clientTLS(config.TLS)
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config,
		ctx:    ctx,
		cancel: cancel,
		clock:  time.Now,
		links:  make(map[string]*link),
	}
}

var _ Transport = (*Client)(nil)

// Call implements Transport. If ctx ends before the message is written, the error
// wraps ErrUnreachable and the peer never receives the message.
func (c *Client) Call(ctx context.Context, address string, message Message) (Message, error) {
	name, err := nameOf(message)
	if err != nil {
		return nil, err
	}
	call := &outgoing{message: message, typeName: name, reply: make(chan reply, 1)}
	if !c.enqueue(address, call) {
		return nil, errors.Wrapf(ErrUnreachable, "%s to %s", name, address)
	}
	select {
	case answered := <-call.reply:
		return answered.message, errors.Wrapf(answered.err, "%s to %s", name, address)
	case <-ctx.Done():
	}
	if call.withdraw() {
		return nil, errors.Wrapf(ErrUnreachable, "%s to %s not sent: %v", name, address, ctx.Err())
	}
	call.state.Store(itemAbandoned)
	return nil, errors.Wrapf(ErrUnknownOutcome, "%s to %s: %v", name, address, ctx.Err())
}

// Send implements Transport. A message whose type is not registered is logged and
// dropped.
func (c *Client) Send(address string, message Message) {
	name, err := nameOf(message)
	if err != nil {
		c.config.Logger.Error("message dropped", "error", err)
		return
	}
	c.enqueue(address, &outgoing{message: message, typeName: name})
}

// Close closes all connections. Pending calls fail.
func (c *Client) Close() error {
	c.mutex.Lock()
	c.cancel()
	links := c.links
	c.links = make(map[string]*link)
	c.mutex.Unlock()
	for _, link := range links {
		link.failQueue(errors.Wrap(ErrUnreachable, "closed"))
	}
	c.workers.Wait()
	return nil
}

// enqueue queues a message at the link of its address, which it creates and starts
// if needed. It returns whether the message was accepted.
func (c *Client) enqueue(address string, item *outgoing) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	target, exists := c.links[address]
	if !exists {
		if len(c.links) >= c.config.Limits.Links {
			c.dropInactive()
		}
		if len(c.links) >= c.config.Limits.Links {
			return false
		}
		target = &link{client: c, address: address, wake: make(chan struct{}, 1)}
		c.links[address] = target
	}
	accepted, start := target.add(item, c.clock())
	if start {
		c.workers.Go(target.run)
	}
	return accepted
}

// Connections returns the number of addresses that the client is connected to or
// connecting to.
func (c *Client) Connections() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, link := range c.links {
		if link.active() {
			count++
		}
	}
	return count
}

// dropInactive removes the links that have neither a connection nor a back-off.
func (c *Client) dropInactive() {
	now := c.clock()
	for address, link := range c.links {
		if link.inactive(now) {
			delete(c.links, address)
		}
	}
}

// States of an outgoing message.
const (
	itemQueued    int32 = iota
	itemTaken           // being written, or written
	itemWithdrawn       // the caller gave up before it was written
	itemAbandoned       // the caller gave up after it was written
)

// outgoing is a message to be sent.
type outgoing struct {
	message  Message
	typeName string
	reply    chan reply // nil unless the message is a call
	state    atomic.Int32
}

// reply is the result of a call.
type reply struct {
	message Message
	err     error
}

// take claims the message for writing. It returns false if the caller gave up.
func (o *outgoing) take() bool {
	return o.state.CompareAndSwap(itemQueued, itemTaken)
}

// withdraw takes the message back before it is written. It returns false if it may
// have been written already.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(itemQueued, itemWithdrawn)
}

// finish delivers the result of a call.
func (o *outgoing) finish(message Message, err error) {
	if o.reply != nil {
		o.reply <- reply{message: message, err: err}
	}
}
