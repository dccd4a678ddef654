package keeper

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
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

// Close waits for the calls under way. No other method is called at the same
// time.
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
	claiming := &claiming{client: c, attempt: newAttempt(c.clock(), configuration, claim)}
	decision := claiming.decide(ctx)
	if decision.Verdict == VerdictGranted && !decision.StillValid(c.clock()) {
		decision = Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
	if decision.Verdict != VerdictGranted {
		claiming.release(ctx)
	}
	return decision
}

// claiming is one call of Claim under way.
type claiming struct {
	client   *Client
	attempt  *attempt
	released atomic.Uint32 // the last round whose grants were given back
}

func (c *claiming) decide(ctx context.Context) Decision {
	for {
		state, decision := c.runRound(ctx)
		switch state {
		case progressDecided:
			return decision
		case progressWaiting:
			return c.attempt.undecided()
		}
		if !c.attempt.keepsGrants() {
			c.release(ctx)
		}
		if !pause(ctx, c.attempt.round) {
			return c.attempt.undecided()
		}
		c.attempt.nextRound()
	}
}

// release gives the grants so far back. A grant that arrives later is given
// back by ask: its keeper may have seen the release before the claim.
func (c *claiming) release(ctx context.Context) {
	c.released.Store(c.attempt.round)
	c.client.tell(ctx, c.attempt.configuration.Members, c.attempt.releaseRequest())
}

// memberReply is what became of one call.
type memberReply struct {
	index int
	reply ClaimReply
	err   error
}

// runRound asks members until the round is decided or split. It returns
// progressWaiting if the context ends first.
func (c *claiming) runRound(ctx context.Context) (progress, Decision) {
	attempt := c.attempt
	replies := make(chan memberReply, len(attempt.configuration.Members))
	for {
		if state, decision := attempt.result(); state != progressWaiting {
			return state, decision
		}
		for _, i := range attempt.next() {
			c.ask(ctx, i, replies)
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
func (c *claiming) ask(ctx context.Context, index int, replies chan<- memberReply) {
	member := c.attempt.configuration.Members[index]
	request := c.attempt.request()
	release := c.attempt.releaseRequest()
	ctx = context.WithoutCancel(ctx)
	c.client.background.Go(func() {
		message, err := c.client.call(ctx, member, request)
		reply, ok := message.(ClaimReply)
		if err == nil && !ok {
			err = errUnexpectedReply
		}
		replies <- memberReply{index: index, reply: reply, err: err}
		if reply.Outcome == OutcomeGranted && c.released.Load() >= request.Round {
			c.client.tell(ctx, []api.NodeRef{member}, release)
		}
	})
}

func (c *Client) call(ctx context.Context, member api.NodeRef, message peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.caller.Call(ctx, member.PeerAddress, message)
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
	told := c.tell(ctx, configuration.Members, message)
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

// tell sends a message to members in the background and returns a channel that
// gets each success or failure.
func (c *Client) tell(ctx context.Context, members []api.NodeRef, message peer.Message) <-chan bool {
	told := make(chan bool, len(members))
	ctx = context.WithoutCancel(ctx)
	for _, member := range members {
		c.background.Go(func() {
			_, err := c.call(ctx, member, message)
			told <- err == nil
		})
	}
	return told
}
