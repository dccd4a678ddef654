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

// DefaultCallTimeout is the default timeout of one call to a keeper.
const DefaultCallTimeout = time.Second

// Caller sends a message to a node and waits for its answer. It never sends a
// message twice. A peer.Transport implements it.
type Caller interface {
	Call(ctx context.Context, address string, message peer.Message) (peer.Message, error)
}

// Configurations returns the newest configuration of a cell that this node
// knows, and false if it knows none. It must be safe for concurrent use.
type Configurations func(cell api.CellName) (Configuration, bool)

// Client claims keys at the keepers of a cell. It implements Claims.
type Client struct {
	caller         Caller
	configurations Configurations
	clock          func() time.Time
	callTimeout    time.Duration
	background     conc.WaitGroup
}

// NewClient returns a client. Its calls to keepers time out after callTimeout, or
// after DefaultCallTimeout if that is 0.
func NewClient(caller Caller, configurations Configurations, clock func() time.Time, callTimeout time.Duration) *Client {
	if callTimeout == 0 {
		callTimeout = DefaultCallTimeout
	}
	return &Client{caller: caller, configurations: configurations, clock: clock, callTimeout: callTimeout}
}

// Close waits for pending calls. No other method may be called at the same time.
func (c *Client) Close() {
	c.background.Wait()
}

// Claim implements Claims. The claim's attempt must be unique across all nodes
// and never be reused: keepers take a repeated attempt for a duplicate message.
func (c *Client) Claim(ctx context.Context, claim Claim) Decision {
	configuration, known := c.configurations(claim.Key.Cell)
	if !known {
		return Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
	call := &claimCall{client: c, attempt: newAttempt(c.clock(), configuration, claim)}
	decision := call.decide(ctx)
	if decision.Verdict == VerdictGranted && !decision.StillValid(c.clock()) {
		decision = Decision{Verdict: VerdictNoQuorum, RetryAfter: retryNoQuorum}
	}
	if decision.Verdict != VerdictGranted {
		call.release(ctx)
	}
	return decision
}

// claimCall is the state of one call of Claim.
type claimCall struct {
	client   *Client
	attempt  *attempt
	released atomic.Uint32 // last round whose grants were released
}

func (c *claimCall) decide(ctx context.Context) Decision {
	for {
		state, decision := c.runRound(ctx)
		switch state {
		case progressDecided:
			return decision
		case progressWaiting:
			return c.attempt.noMajorityDecision()
		}
		if !c.attempt.keepsGrants() {
			c.release(ctx)
		}
		if !pause(ctx, c.attempt.round) {
			return c.attempt.noMajorityDecision()
		}
		c.attempt.nextRound()
	}
}

// release gives back the grants of all rounds so far. A grant that arrives later
// is released by ask, because its keeper may have received the release before the
// claim.
func (c *claimCall) release(ctx context.Context) {
	c.released.Store(c.attempt.round)
	c.client.broadcast(ctx, c.attempt.configuration.Members, c.attempt.releaseRequest())
}

// memberReply is the result of one call to a member.
type memberReply struct {
	index int
	reply ClaimReply
	err   error
}

// runRound asks members until the round is decided or split. It returns
// progressWaiting if the context ends first.
func (c *claimCall) runRound(ctx context.Context) (progress, Decision) {
	attempt := c.attempt
	replies := make(chan memberReply, len(attempt.configuration.Members))
	for {
		if state, decision := attempt.result(); state != progressWaiting {
			return state, decision
		}
		for _, i := range attempt.nextMembers() {
			c.ask(ctx, i, replies)
		}
		select {
		case <-ctx.Done():
			return progressWaiting, Decision{}
		case got := <-replies:
			if got.err != nil {
				attempt.recordFailure(got.index, attempt.round)
			} else {
				attempt.recordReply(got.index, got.reply)
			}
		}
	}
}

// ask calls a keeper in the background. The call continues after the claim is
// decided, so that all keepers receive it.
func (c *claimCall) ask(ctx context.Context, index int, replies chan<- memberReply) {
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
			c.client.broadcast(ctx, []api.NodeRef{member}, release)
		}
	})
}

func (c *Client) call(ctx context.Context, member api.NodeRef, message peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.caller.Call(ctx, member.PeerAddress, message)
}

// pause waits for a random time that grows with the round. It returns false if
// the context ends first.
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

// Complete implements Claims. It returns when a majority has the answer, when all
// calls ended, or when the context ends.
func (c *Client) Complete(ctx context.Context, claim Claim, answer Answer) {
	if len(answer.Body) > MaxKeptAnswer {
		answer.Body = nil
	}
	c.broadcastToMajority(ctx, claim.Key.Cell, CompleteRequest{Claim: claim, Answer: answer})
}

// Release implements Claims. It returns under the same conditions as Complete.
func (c *Client) Release(ctx context.Context, claim Claim) {
	request := ReleaseRequest{Key: claim.Key, Attempt: claim.Attempt, Round: lastRound}
	c.broadcastToMajority(ctx, claim.Key.Cell, request)
}

func (c *Client) broadcastToMajority(ctx context.Context, cell api.CellName, message peer.Message) {
	configuration, known := c.configurations(cell)
	if !known {
		return
	}
	results := c.broadcast(ctx, configuration.Members, message)
	done := 0
	for range configuration.Members {
		select {
		case <-ctx.Done():
			return
		case success := <-results:
			if success {
				done++
			}
		}
		if done >= configuration.majority() {
			return
		}
	}
}

// broadcast sends a message to members in the background. The returned channel
// receives whether each call succeeded.
func (c *Client) broadcast(ctx context.Context, members []api.NodeRef, message peer.Message) <-chan bool {
	results := make(chan bool, len(members))
	ctx = context.WithoutCancel(ctx)
	for _, member := range members {
		c.background.Go(func() {
			_, err := c.call(ctx, member, message)
			results <- err == nil
		})
	}
	return results
}
