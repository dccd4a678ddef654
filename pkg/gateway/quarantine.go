package gateway

import (
	"fmt"

	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/traffic"
)

// quarantined refuses a request under which engines ended. Each node goes by what it saw
// itself: a request that ends engines ends three at each node that it comes to, where without
// it each try ends one or more, for ever.
func (c *call) quarantined() *APIError {
	if c.gateway.quarantine.Standing(c.gateway.config.Now(), c.fingerprint) != quarantine.Quarantined {
		return nil
	}
	return fromRefusal(&traffic.Refusal{
		Reason:  traffic.ReasonQuarantined,
		Message: fmt.Sprintf("engines ended when they ran this request; it is not run for up to %v", quarantine.Lifetime),
		NotRun:  true,
	})
}

// engineEnded notes that an engine ended while the request ran on it, before the caller got
// any of its answer. It tells whether the request may go to another engine: one that is
// suspected runs at one engine in each try.
func (c *call) engineEnded(server string, round int) bool {
	run := quarantine.Run{Request: c.fingerprint, Service: string(c.model.Service), Server: server, Round: round}
	change := c.gateway.quarantine.Merge(c.gateway.config.Now(), run.CrashEvidence())
	c.gateway.config.Logger.Warn("engine ended under request", "request_id", c.record.requestID, "fingerprint", c.fingerprint.String(),
		"server", server, "ended_under_it", change.Servers(), "standing", change.Now.String())
	return change.Now == quarantine.Free
}

// ran notes that an engine ran the request, or began to and lives.
func (c *call) ran() {
	c.gateway.quarantine.Completed(c.gateway.config.Now(), c.fingerprint)
}
