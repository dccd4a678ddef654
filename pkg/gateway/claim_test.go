package gateway

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/keeper"
)

// TestClaimVerdicts checks the answer for each verdict other than granted, and
// that the request does not reach the dispatcher.
func TestClaimVerdicts(t *testing.T) {
	kept := &keeper.Answer{Status: 200, ContentType: "application/json", Body: []byte(`{"id":"kept"}`)}
	cases := []struct {
		name     string
		decision keeper.Decision
		status   int
		code     string
		notRun   bool
		retry    string
	}{
		{"answered", keeper.Decision{Verdict: keeper.VerdictAnswered, Answer: kept}, 200, "", false, ""},
		{"answer not kept", keeper.Decision{Verdict: keeper.VerdictAnswered, Answer: &keeper.Answer{Status: 200}}, 409, codeAnswerNotKept, false, ""},
		{"in doubt", keeper.Decision{Verdict: keeper.VerdictInDoubt}, 409, "outcome_unknown", false, ""},
		{"running", keeper.Decision{Verdict: keeper.VerdictRunning, RetryAfter: 1500 * time.Millisecond}, 409, "idempotency_key_in_use", false, "2"},
		{"another body", keeper.Decision{Verdict: keeper.VerdictMismatch}, 422, "idempotency_key_mismatch", true, ""},
		{"no quorum", keeper.Decision{Verdict: keeper.VerdictNoQuorum}, 503, "unavailable", true, "1"},
		{"no verdict", keeper.Decision{}, 409, "outcome_unknown", false, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &fakeDispatcher{}
			claims := newFakeClaims(test.decision)
			_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: claims})
			got := chat(t, url, chatBody("slots", "a", false), map[string]string{HeaderIdempotencyKey: "key-1"})
			if got.status != test.status || got.header.Get("Retry-After") != test.retry {
				t.Fatalf("status %d, retry after %q, body %s", got.status, got.header.Get("Retry-After"), got.body)
			}
			if len(dispatcher.requests) != 0 || claims.released != 0 || len(claims.completed) != 0 {
				t.Errorf("%d dispatched, %d released, %d completed", len(dispatcher.requests), claims.released, len(claims.completed))
			}
			claim := claims.claims[0]
			if claim.Key != (keeper.Key{Cell: "booking@uy-south", Caller: anonymous, Value: "key-1"}) || claim.Retention != time.Minute {
				t.Errorf("claim %+v", claim)
			}
			if test.status == 200 {
				if string(got.body) != string(kept.Body) || got.header.Get(HeaderReplayed) != "true" {
					t.Errorf("replayed %s", got.body)
				}
				return
			}
			if apiError := apiErrorOf(t, got); apiError.Code != test.code || apiError.NotRun != test.notRun {
				t.Errorf("error %+v", apiError)
			}
		})
	}
}

// TestLapsedClaim checks that a request whose claim has expired, for example
// because the node was frozen, is not sent to an engine, and that the claim is
// released.
func TestLapsedClaim(t *testing.T) {
	engineServer := startEngine(t, 1)
	claims := newFakeClaims(keeper.Decision{Verdict: keeper.VerdictGranted, DispatchBefore: time.Now().Add(-time.Second)})
	_, url := startGateway(t, Config{Dispatcher: engineServer.dispatcher(), Claims: claims})
	got := chat(t, url, chatBody("slots", "a", false), map[string]string{HeaderIdempotencyKey: "key-1"})
	if apiError := apiErrorOf(t, got); got.status != 503 || !apiError.NotRun || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d, error %+v", got.status, apiError)
	}
	<-claims.notified
	if claims.released != 1 || engineServer.requests() != 0 {
		t.Errorf("%d released, %d requests reached the engine", claims.released, engineServer.requests())
	}
}

// TestClaimCompleted checks that the answer of an unsafe request is kept unless it
// is too large, and that such a request is not run without keepers.
func TestClaimCompleted(t *testing.T) {
	for _, stream := range []bool{false, true} {
		for _, limit := range []int{0, 10} {
			engineServer := startEngine(t, 4)
			claims := newGrantingClaims()
			_, url := startGateway(t, Config{Dispatcher: engineServer.dispatcher(), Claims: claims, Limits: Limits{KeptAnswerBytes: limit}})
			got := chat(t, url, chatBody("slots", "a", stream), map[string]string{HeaderIdempotencyKey: "k"})
			<-claims.notified
			want := string(got.body)
			if limit > 0 {
				want = ""
			}
			if answer := claims.completed[0]; string(answer.Body) != want || answer.Status != 200 || answer.ContentType != got.header.Get("Content-Type") {
				t.Errorf("stream %t, limit %d: kept %+v", stream, limit, answer)
			}
		}
	}
	_, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}})
	got := chat(t, url, chatBody("slots", "a", false), map[string]string{HeaderIdempotencyKey: "k"})
	if apiError := apiErrorOf(t, got); got.status != 503 || !apiError.NotRun {
		t.Errorf("without keepers: status %d, error %+v", got.status, apiError)
	}
}
