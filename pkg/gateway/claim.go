package gateway

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/traffic"
)

// Advice on when to come back, where nobody gives one.
const (
	noSettingsRetry = 2 * time.Second
	claimRetry      = time.Second
	stoppingRetry   = time.Second
)

// claimOnce claims the right to run an unsafe request. It returns the kept
// answer of an earlier run, or an error if the request may not be run now.
func (c *call) claimOnce() (*keeper.Answer, *APIError) {
	claims := c.gateway.config.Claims
	if claims == nil {
		return nil, claimRefused(traffic.ReasonUnavailable, "this node can't run requests that are unsafe to repeat", true, 0)
	}
	claim := keeper.Claim{
		Key: keeper.Key{
			Cell:   api.MakeCellName(c.model.Service, c.gateway.config.Region),
			Caller: c.request.Caller,
			Value:  c.options.IdempotencyKey,
		},
		Digest:    c.digest(),
		Attempt:   c.request.ID,
		Retention: c.model.Settings.RepeatRetention,
	}
	ctx, cancel := context.WithDeadline(c.caller, c.request.Deadline)
	defer cancel()
	waitFrom := c.gateway.config.Now()
	decision := claims.Claim(ctx, claim)
	c.record.waited += c.gateway.config.Now().Sub(waitFrom)
	if decision.Verdict == keeper.VerdictGranted {
		c.claim = &claim
		c.decision = decision
		return nil, nil
	}
	return decideRepeat(decision)
}

// digest identifies what an unsafe request asks for.
func (c *call) digest() [32]byte {
	hash := sha256.New()
	hash.Write([]byte(c.endpoint.path))
	hash.Write([]byte{0})
	hash.Write(c.body)
	return [32]byte(hash.Sum(nil))
}

// decideRepeat tells what a caller gets whose claim was not granted.
func decideRepeat(decision keeper.Decision) (*keeper.Answer, *APIError) {
	retry := decision.RetryAfter
	if retry == 0 {
		retry = claimRetry
	}
	switch decision.Verdict {
	case keeper.VerdictAnswered:
		if decision.Answer != nil && decision.Answer.Body != nil {
			return decision.Answer, nil
		}
		refusal := claimRefused(traffic.ReasonKeyInUse, "the request with this key was run and answered; its answer was too large to be kept", false, 0)
		refusal.Code = codeAnswerNotKept
		return nil, refusal
	case keeper.VerdictRunning:
		return nil, claimRefused(traffic.ReasonKeyInUse, "the request with this key is being run", false, retry)
	case keeper.VerdictMismatch:
		return nil, claimRefused(traffic.ReasonKeyMismatch, "the key was used with another request; this one was not run", true, 0)
	case keeper.VerdictNoQuorum:
		return nil, claimRefused(traffic.ReasonUnavailable, "too few keepers answer; the request was not run", true, retry)
	default:
		refusal := claimRefused(traffic.ReasonOutcomeUnknown, "a request with this key was sent before; whether it was run is not known", false, 0)
		refusal.Status = fiber.StatusConflict
		refusal.Type = typeConflict
		return nil, refusal
	}
}

// claimRefused is the error for an unsafe request that may not be run now.
func claimRefused(reason traffic.RefusalReason, message string, notRun bool, retry time.Duration) *APIError {
	return fromRefusal(&traffic.Refusal{Reason: reason, Message: message, NotRun: notRun, RetryAfter: retry})
}

// replay answers with the kept answer of an earlier run.
func (c *call) replay(ctx *fiber.Ctx, kept *keeper.Answer) error {
	c.record.replayed = true
	c.end(traffic.OutcomeServed, nil)
	ctx.Set(HeaderReplayed, "true")
	ctx.Set(fiber.HeaderContentType, kept.ContentType)
	return ctx.Status(kept.Status).Send(kept.Body)
}

// mayStillRun tells whether the keepers still remember the claim of an unsafe
// request. A node that was frozen since the claim, or let the request wait too
// long, must not send it on.
func (c *call) mayStillRun() bool {
	return c.claim == nil || c.decision.StillValid(c.gateway.config.Now())
}

// claimLapsed is the error for an unsafe request whose claim is too old.
func claimLapsed() *APIError {
	return claimRefused(traffic.ReasonUnavailable, "the claim on the key became too old before the request could be sent; it was not run", true, claimRetry)
}

// completeClaim keeps the answer of a granted claim, in the background.
func (c *call) completeClaim(answer keeper.Answer) {
	if c.claim == nil {
		return
	}
	if len(answer.Body) > c.gateway.config.Limits.KeptAnswerBytes {
		answer.Body = nil
	}
	claim := *c.claim
	c.gateway.tellKeepers(func(ctx context.Context, claims keeper.Claims) {
		claims.Complete(ctx, claim, answer)
	})
}

// releaseClaim gives a granted claim back if the request surely did not run.
func (c *call) releaseClaim(notRun bool) {
	if c.claim == nil || !notRun {
		return
	}
	claim := *c.claim
	c.gateway.tellKeepers(func(ctx context.Context, claims keeper.Claims) {
		claims.Release(ctx, claim)
	})
}

// tellKeepers talks to the keepers in the background.
func (g *Gateway) tellKeepers(tell func(context.Context, keeper.Claims)) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeouts.Keepers)
		defer cancel()
		tell(ctx, g.config.Claims)
	})
}
