package keeper

import (
	"fmt"
	"strconv"
	"time"
)

// caller repeats a key through random nodes, now and then twice at once.
func (s *simulation) caller(key string) {
	for {
		node := s.nodes[s.random.IntN(simNodes)]
		s.after(0, func() { s.on(node, node.lives(), func() { s.claim(node, key) }) })
		if !s.chance(30) {
			break
		}
	}
	s.after(s.between(200*time.Millisecond, 4*time.Second), func() { s.caller(key) })
}

// simClaim drives one attempt as Client does.
type simClaim struct {
	*simulation
	node    *simNode
	attempt *attempt
	done    bool
}

func (s *simulation) claim(node *simNode, key string) {
	if node.known.Version == 0 {
		return
	}
	s.attempts++
	claim := Claim{Key: Key{Cell: simCell, Value: key}, Attempt: strconv.Itoa(s.attempts), Retention: simRetention}
	c := &simClaim{simulation: s, node: node, attempt: newAttempt(s.now, node.known, claim)}
	c.attempt.ablation = s.ablation
	lives := node.lives()
	s.after(simClaimTimeout, func() {
		s.on(node, lives, func() {
			if !c.done {
				c.done = true
				c.tell(c.attempt.releaseRequest())
			}
		})
	})
	c.step()
}

func (c *simClaim) tell(request any) {
	for _, ref := range c.attempt.configuration.Members {
		c.ask(c.node, ref, request, func(any) {})
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
			c.tell(c.attempt.releaseRequest())
		}
		c.attempt.nextRound()
		lives := c.node.lives()
		c.after(c.between(time.Millisecond, 50*time.Millisecond), func() { c.on(c.node, lives, c.step) })
		return
	}
	c.done = true
	if decision.Verdict != VerdictGranted {
		if decision.Verdict == VerdictAnswered {
			c.kept++
		}
		c.tell(c.attempt.releaseRequest())
		return
	}
	c.dispatchLater(decision)
}

func (c *simClaim) askNext() {
	for _, i := range c.attempt.next() {
		round := c.attempt.round
		c.ask(c.node, c.attempt.configuration.Members[i], c.attempt.request(), func(reply any) {
			c.attempt.take(i, reply.(ClaimReply))
			c.step()
		})
		c.after(simCallTimeout, func() {
			c.on(c.node, c.node.lives(), func() {
				c.attempt.fail(i, round)
				c.step()
			})
		})
	}
}

// dispatchLater sends the request on, in some cases after a freeze.
func (c *simClaim) dispatchLater(decision Decision) {
	delay := c.between(0, 50*time.Millisecond)
	if c.chance(10) {
		delay = c.between(0, 200*time.Second)
	}
	lives := c.node.lives()
	c.after(delay, func() {
		c.on(c.node, lives, func() { c.dispatch(decision) })
	})
}

func (c *simClaim) dispatch(decision Decision) {
	claim := c.attempt.claim
	final := ReleaseRequest{Key: claim.Key, Attempt: claim.Attempt, Round: lastRound}
	if !decision.StillValid(c.now) && !c.ablation.noGrantAge {
		c.tell(final)
		return
	}
	if c.chance(15) { // surely not run
		c.tell(final)
		return
	}
	c.runKey(claim)
	if c.ablation.releaseAlways {
		c.tell(final)
		return
	}
	if c.chance(70) {
		lives := c.node.lives()
		c.after(c.between(0, 10*time.Second), func() {
			c.on(c.node, lives, func() { c.tell(CompleteRequest{Claim: claim, Answer: Answer{Status: 200}}) })
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
