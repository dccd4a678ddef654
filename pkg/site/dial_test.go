package site

import (
	"testing"
	"time"
)

// TestServerSilentForASecondLosesItsConnections guards against connections that a pause of a sound server ends.
func TestServerSilentForASecondLosesItsConnections(t *testing.T) {
	const silence = 1500 * time.Millisecond // of a server that goes on
	if unacknowledgedTimeout <= silence {
		t.Errorf("data without acknowledgement ends a connection after %v", unacknowledgedTimeout)
	}
	if unanswered := givesUpAfter() - keepAliveIdle; unanswered <= silence {
		t.Errorf("a resting connection ends %v after its first probe", unanswered)
	}
}

// givesUpAfter returns when the kernel ends a connection on which nothing was received: at the first probe that is
// due when the time limit for unacknowledged data has passed, if one was sent before.
func givesUpAfter() time.Duration {
	at := keepAliveIdle
	for at += keepAliveInterval; at < unacknowledgedTimeout; {
		at += keepAliveInterval
	}
	return at
}
