package gateway

import (
	"fmt"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/traffic"
)

// checkQuarantine returns a refusal if the request is quarantined for crashing
// engines. Each node counts only the crashes that it saw itself, so a crashing
// request crashes three engines per node; without the quarantine, every repeat of
// it would crash at least one more.
func (c *call) checkQuarantine() *APIError {
	if c.gateway.quarantine.Standing(c.gateway.config.Now(), c.fingerprint) != quarantine.Quarantined {
		return nil
	}
	return fromRefusal(&traffic.Refusal{
		Reason:  traffic.ReasonQuarantined,
		Message: fmt.Sprintf("engines ended when they ran this request; it is not run for up to %v", quarantine.Lifetime),
		NotRun:  true,
	})
}

// recordCrash records that an engine crashed while it ran the request, before the
// caller got any part of the answer. It reports whether the request may be
// retried on another engine: a suspected request gets only one engine each time
// that a caller sends it.
func (c *call) recordCrash(server string, round int) bool {
	run := quarantine.Run{Request: c.fingerprint, Service: string(c.model.Service), Server: server, Round: round}
	change := c.gateway.quarantine.Merge(c.gateway.config.Now(), run.CrashEvidence())
	c.gateway.config.Logger.Warn("engine crashed while running a request", "request_id", c.record.requestID, "fingerprint", c.fingerprint.String(),
		"server", server, "ended_under_it", change.Servers(), "standing", change.Now.String())
	return change.Now == quarantine.Free
}

// recordAnswered records that an engine started to answer the request without
// crashing.
func (c *call) recordAnswered() {
	c.gateway.quarantine.Completed(c.gateway.config.Now(), c.fingerprint)
}
