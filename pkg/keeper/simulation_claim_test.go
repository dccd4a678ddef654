package keeper

import (
	"fmt"
	"strconv"
	"time"
)

// repeatClaims claims a key again and again through random nodes, sometimes several
// times concurrently.
func (s *simulation) repeatClaims(key string) {
	for {
		node := s.nodes[s.random.IntN(simNodes)]
		s.after(0, func() { s.on(node, node.incarnationCheck(), func() { s.claim(node, key) }) })
		if !s.chance(30) {
			break
		}
	}
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { s.repeatClaims(key) })
}

// simClaim runs one attempt in the way that Client does.
type simClaim struct {
	*simulation
	node    *simNode
	attempt *attempt
	done    bool
}

func (s *simulation) claim(node *simNode, key string) {
	if node.configuration.Version == 0 {
		return
	}
	s.attempts++
	claim := Claim{Key: Key{Cell: simCell, Value: key}, Attempt: strconv.Itoa(s.attempts), Retention: simRetention}
	c := &simClaim{simulation: s, node: node, attempt: newAttempt(s.now, node.configuration, claim)}
	c.attempt.ablation = s.ablation
	stillAlive := node.incarnationCheck()
	s.after(simClaimTimeout, func() {
		s.on(node, stillAlive, func() {
			if !c.done {
				c.done = true
				c.broadcast(c.attempt.releaseRequest())
			}
		})
	})
	c.step()
}

func (c *simClaim) broadcast(request any) {
	for _, ref := range c.attempt.configuration.Members {
		c.call(c.node, ref, request, func(any) {})
	}
}

func (c *simClaim) step() {
	if c.done {
		return
	}
	state, decision := c.attempt.result()
	switch state {
	case progressWaiting:
		c.askNext()
		return
	case progressSplit:
		if !c.attempt.keepsGrants() {
			c.broadcast(c.attempt.releaseRequest())
		}
		c.attempt.nextRound()
		stillAlive := c.node.incarnationCheck()
		c.after(c.between(time.Millisecond, 50*time.Millisecond), func() { c.on(c.node, stillAlive, c.step) })
		return
	}
	c.done = true
	if decision.Verdict != VerdictGranted {
		if decision.Verdict == VerdictAnswered {
			c.answered++
		}
		c.broadcast(c.attempt.releaseRequest())
		return
	}
	c.dispatchLater(decision)
}

func (c *simClaim) askNext() {
	for _, i := range c.attempt.nextMembers() {
		round := c.attempt.round
		c.call(c.node, c.attempt.configuration.Members[i], c.attempt.request(), func(reply any) {
			c.attempt.recordReply(i, reply.(ClaimReply))
			c.step()
		})
		c.after(simCallTimeout, func() {
			c.on(c.node, c.node.incarnationCheck(), func() {
				c.attempt.recordFailure(i, round)
				c.step()
			})
		})
	}
}

// dispatchLater forwards the granted request after a delay, which may be longer
// than the grant is valid.
func (c *simClaim) dispatchLater(decision Decision) {
	delay := c.between(0, 50*time.Millisecond)
	if c.chance(10) {
		delay = c.between(0, 200*time.Second)
	}
	stillAlive := c.node.incarnationCheck()
	c.after(delay, func() {
		c.on(c.node, stillAlive, func() { c.dispatch(decision) })
	})
}

func (c *simClaim) dispatch(decision Decision) {
	claim := c.attempt.claim
	final := ReleaseRequest{Key: claim.Key, Attempt: claim.Attempt, Round: lastRound}
	if !decision.StillValid(c.now) && !c.ablation.noGrantAge {
		c.broadcast(final)
		return
	}
	if c.chance(15) { // the request certainly did not run
		c.broadcast(final)
		return
	}
	c.runKey(claim)
	if c.ablation.releaseAlways {
		c.broadcast(final)
		return
	}
	if c.chance(70) {
		stillAlive := c.node.incarnationCheck()
		c.after(c.between(0, 10*time.Second), func() {
			c.on(c.node, stillAlive, func() { c.broadcast(CompleteRequest{Claim: claim, Answer: Answer{Status: 200}}) })
		})
	}
}

func (s *simulation) runKey(claim Claim) {
	key := claim.Key.Value
	s.runs++
	s.log("%s runs for attempt %s", key, claim.Attempt)
	if last, ran := s.lastRun[key]; ran && s.now.Sub(last) < simRetention {
		s.fault = fmt.Sprintf("%s ran twice within %v", key, s.now.Sub(last))
	}
	s.lastRun[key] = s.now
}
