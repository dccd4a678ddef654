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

// Values of Retry-After where the refusal has none.
const (
	noSettingsRetry = 2 * time.Second
	claimRetry      = time.Second
	stoppingRetry   = time.Second
)

// claimOnce claims the idempotency key of an unsafe request from the keepers.
// It returns the kept answer of an earlier run, an error if the request may not
// run now, or neither if the claim was granted.
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
	ctx, cancel := context.WithDeadline(c.callerContext, c.request.Deadline)
	defer cancel()
	waitStart := c.gateway.config.Now()
	decision := claims.Claim(ctx, claim)
	c.record.waitTime += c.gateway.config.Now().Sub(waitStart)
	if decision.Verdict == keeper.VerdictGranted {
		c.claim = &claim
		c.decision = decision
		return nil, nil
	}
	return answerRepeat(decision)
}

// digest returns a hash of the endpoint and body. Keepers use it to detect a
// key that is reused for another request.
func (c *call) digest() [32]byte {
	hash := sha256.New()
	hash.Write([]byte(c.endpoint.path))
	hash.Write([]byte{0})
	hash.Write(c.body)
	return [32]byte(hash.Sum(nil))
}

// answerRepeat returns the answer or error for a request whose claim was not
// granted.
func answerRepeat(decision keeper.Decision) (*keeper.Answer, *APIError) {
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

// claimRefused returns the error for an unsafe request that may not run now.
func claimRefused(reason traffic.RefusalReason, message string, notRun bool, retry time.Duration) *APIError {
	return fromRefusal(&traffic.Refusal{Reason: reason, Message: message, NotRun: notRun, RetryAfter: retry})
}

// replay sends the kept answer of an earlier run.
func (c *call) replay(ctx *fiber.Ctx, kept *keeper.Answer) error {
	c.record.replayed = true
	c.end(traffic.OutcomeServed, nil)
	ctx.Set(HeaderReplayed, "true")
	ctx.Set(fiber.HeaderContentType, kept.ContentType)
	return ctx.Status(kept.Status).Send(kept.Body)
}

// isClaimValid reports whether the claim of an unsafe request is still valid.
// After the node was frozen or the request waited too long, the keepers may have
// forgotten the claim, and sending the request could run it twice.
func (c *call) isClaimValid() bool {
	return c.claim == nil || c.decision.StillValid(c.gateway.config.Now())
}

// claimExpired returns the error for an unsafe request whose claim has expired.
func claimExpired() *APIError {
	return claimRefused(traffic.ReasonUnavailable, "the claim on the key became too old before the request could be sent; it was not run", true, claimRetry)
}

// completeClaim stores the answer of a granted claim at the keepers, in the
// background.
func (c *call) completeClaim(answer keeper.Answer) {
	if c.claim == nil {
		return
	}
	if len(answer.Body) > c.gateway.config.Limits.KeptAnswerBytes {
		answer.Body = nil
	}
	claim := *c.claim
	c.gateway.callKeepers(func(ctx context.Context, claims keeper.Claims) {
		claims.Complete(ctx, claim, answer)
	})
}

// releaseClaim releases a granted claim if the request certainly did not run.
func (c *call) releaseClaim(notRun bool) {
	if c.claim == nil || !notRun {
		return
	}
	claim := *c.claim
	c.gateway.callKeepers(func(ctx context.Context, claims keeper.Claims) {
		claims.Release(ctx, claim)
	})
}

// callKeepers runs fn in the background, with the timeout for calls to keepers.
func (g *Gateway) callKeepers(fn func(context.Context, keeper.Claims)) {
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), g.config.Timeouts.Keepers)
		defer cancel()
		fn(ctx, g.config.Claims)
	})
}
