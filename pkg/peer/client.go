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

// Error returns the peer's text.
func (e *RemoteError) Error() string {
	return "peer answered: " + e.Text
}

// Client is the Transport over TCP. It keeps one connection per address.
type Client struct {
	config  Config
	workers conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	clock   func() time.Time // of back-off

	mutex sync.Mutex
	links map[string]*link
}

// NewClient returns a Transport. It connects when there is a message to send.
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

// Call implements Transport. If ctx ends before the message is written, the
// error wraps ErrUnreachable, and the peer never sees the message.
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

// Send implements Transport. A message of a type that is not registered is
// logged and dropped.
func (c *Client) Send(address string, message Message) {
	name, err := nameOf(message)
	if err != nil {
		c.config.Logger.Error("message dropped", "error", err)
		return
	}
	c.enqueue(address, &outgoing{message: message, typeName: name})
}

// Close ends all connections. Calls under way fail.
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

// enqueue hands a message to the link of an address, starting it if needed.
func (c *Client) enqueue(address string, item *outgoing) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ctx.Err() != nil {
		return false
	}
	target, exists := c.links[address]
	if !exists {
		if len(c.links) >= c.config.Limits.Links {
			c.dropForgotten()
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

// Connections returns the number of addresses to which there is a connection
// or a try to make one.
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

// dropForgotten drops the links without a connection whose back-off is over.
func (c *Client) dropForgotten() {
	now := c.clock()
	for address, link := range c.links {
		if link.forgotten(now) {
			delete(c.links, address)
		}
	}
}

// The states of an outgoing message.
const (
	itemQueued    int32 = iota
	itemTaken           // being written or written
	itemWithdrawn       // before it was written
	itemAbandoned       // after it was written; the answer is not wanted
)

// outgoing is a message on its way, with reply set for a call.
type outgoing struct {
	message  Message
	typeName string
	reply    chan reply
	state    atomic.Int32
}

// reply is the outcome of a call.
type reply struct {
	message Message
	err     error
}

// take claims the message for writing. False means that the caller gave up.
func (o *outgoing) take() bool {
	return o.state.CompareAndSwap(itemQueued, itemTaken)
}

// withdraw takes the message back. False means that it may have been written.
func (o *outgoing) withdraw() bool {
	return o.state.CompareAndSwap(itemQueued, itemWithdrawn)
}

// finish gives a call its outcome.
func (o *outgoing) finish(message Message, err error) {
	if o.reply != nil {
		o.reply <- reply{message: message, err: err}
	}
}
