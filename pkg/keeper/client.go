package keeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
)

// DefaultCallTimeout bounds one call of a keeper.
const DefaultCallTimeout = time.Second

// Caller sends a message to a node and waits for its answer. It never sends
// one twice. A peer.Transport is one.
type Caller interface {
	Call(ctx context.Context, address string, message peer.Message) (peer.Message, error)
}

// Configurations returns the newest configuration of a cell that this node
// knows; false if it knows none. It is called from many goroutines.
type Configurations func(cell api.CellName) (Configuration, bool)

// Client is the router's side. It implements Claims.
type Client struct {
	caller         Caller
	configurations Configurations
	clock          func() time.Time
	callTimeout    time.Duration
	background     conc.WaitGroup
}

// NewClient returns a client. Its calls of keepers end after callTimeout, or
// DefaultCallTimeout if that is 0.
func NewClient(caller Caller, configurations Configurations, clock func() time.Time, callTimeout time.Duration) *Client {
	if callTimeout == 0 {
		callTimeout = DefaultCallTimeout
	}
	return &Client{caller: caller, configurations: configurations, clock: clock, callTimeout: callTimeout}
}

// Close waits for the calls under way.
func (c *Client) Close() {
	c.background.Wait()
}

// Claim implements Claims. The claim's attempt must be unique among all nodes
// and for ever: who repeats one is taken for a message that came twice.
func (c *Client) Claim(ctx context.Context, claim Claim) Decision {
	configuration, known := c.configurations(claim.Key.Cell)
	if !known {
		return Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
	attempt := newAttempt(c.clock(), configuration, claim)
	decision := c.decide(ctx, attempt)
	if decision.Verdict == VerdictGranted && !decision.StillValid(c.clock()) {
		decision = Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
	if decision.Verdict != VerdictGranted {
		c.tell(ctx, configuration, attempt.releaseRequest())
	}
	return decision
}

func (c *Client) decide(ctx context.Context, attempt *attempt) Decision {
	for {
		state, decision := c.runRound(ctx, attempt)
		switch state {
		case progressDecided:
			return decision
		case progressWaiting:
			return attempt.undecided()
		}
		c.tell(ctx, attempt.configuration, attempt.releaseRequest())
		if !pause(ctx, attempt.round) {
			return attempt.undecided()
		}
		attempt.nextRound()
	}
}

// memberReply is what became of one call.
type memberReply struct {
	index int
	reply ClaimReply
	err   error
}

// runRound asks members until the round is decided or split. It returns
// progressWaiting if the context ends first.
func (c *Client) runRound(ctx context.Context, attempt *attempt) (progress, Decision) {
	replies := make(chan memberReply, len(attempt.configuration.Members))
	for {
		for _, i := range attempt.next() {
			c.ask(ctx, attempt.configuration.Members[i], i, attempt.request(), replies)
		}
		if state, decision := attempt.result(); state != progressWaiting {
			return state, decision
		}
		select {
		case <-ctx.Done():
			return progressWaiting, Decision{}
		case got := <-replies:
			if got.err != nil {
				attempt.fail(got.index, attempt.round)
			} else {
				attempt.take(got.index, got.reply)
			}
		}
	}
}

// ask calls a keeper in the background. The call goes on when the claim is
// decided, so that all keepers learn of it.
func (c *Client) ask(ctx context.Context, member api.NodeRef, index int, request ClaimRequest, replies chan<- memberReply) {
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.callTimeout)
		defer cancel()
		message, err := c.caller.Call(ctx, member.PeerAddress, request)
		reply, ok := message.(ClaimReply)
		if err == nil && !ok {
			err = errUnexpectedReply
		}
		replies <- memberReply{index: index, reply: reply, err: err}
	})
}

// pause waits a random time that grows with the round, and is false if the
// context ends first.
func pause(ctx context.Context, round uint32) bool {
	longest := firstRoundPause << round
	timer := time.NewTimer(firstRoundPause + rand.N(longest))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Complete implements Claims. It returns when a majority knows the answer, the
// context ends or all calls did.
func (c *Client) Complete(ctx context.Context, claim Claim, answer Answer) {
	if len(answer.Body) > MaxKeptAnswer {
		answer.Body = nil
	}
	c.tellMajority(ctx, claim.Key.Cell, CompleteRequest{Claim: claim, Answer: answer})
}

// Release implements Claims. It returns like Complete.
func (c *Client) Release(ctx context.Context, claim Claim) {
	request := ReleaseRequest{Key: claim.Key, Attempt: claim.Attempt, Round: lastRound}
	c.tellMajority(ctx, claim.Key.Cell, request)
}

func (c *Client) tellMajority(ctx context.Context, cell api.CellName, message peer.Message) {
	configuration, known := c.configurations(cell)
	if !known {
		return
	}
	told := c.tell(ctx, configuration, message)
	done := 0
	for range configuration.Members {
		select {
		case <-ctx.Done():
			return
		case success := <-told:
			if success {
				done++
			}
		}
		if done >= configuration.majority() {
			return
		}
	}
}

// tell sends a message to all members in the background and returns a channel
// that gets each success or failure.
func (c *Client) tell(ctx context.Context, configuration Configuration, message peer.Message) <-chan bool {
	told := make(chan bool, len(configuration.Members))
	for _, member := range configuration.Members {
		c.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.callTimeout)
			defer cancel()
			_, err := c.caller.Call(ctx, member.PeerAddress, message)
			told <- err == nil
		})
	}
	return told
}
