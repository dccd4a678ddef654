package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"martenwheel.dev/pkg/traffic"
)

// waitForDisconnect returns a pause hook that signals paused and waits until the
// gateway closes the connection.
func waitForDisconnect(paused chan<- struct{}) func(*http.Request) {
	return func(r *http.Request) {
		paused <- struct{}{}
		<-r.Context().Done()
	}
}

// TestHangUpWhileQueued checks that the queued request of a caller that hangs up
// is cancelled and never reaches an engine.
func TestHangUpWhileQueued(t *testing.T) {
	engine := startEngine(t, 3)
	queued, left := make(chan struct{}), make(chan error, 1)
	dispatcher := engine.dispatcher()
	dispatcher.acquire = func(ctx context.Context, _ traffic.Request) error {
		close(queued)
		<-ctx.Done()
		left <- context.Cause(ctx)
		return &traffic.Refusal{Reason: traffic.ReasonCallerLeft, Message: "left", NotRun: true}
	}
	claims := newGrantingClaims()
	_, url := startGateway(t, Config{Dispatcher: dispatcher, Claims: claims})
	connection := dialRaw(t, url)
	_, _ = io.WriteString(connection, rawRequest(chatBody("slots", "ash", false), "Idempotency-Key: key\r\n"))
	<-queued
	_ = connection.Close()
	if cause := <-left; cause != errCallerHungUp {
		t.Errorf("the wait was cancelled with cause %v", cause)
	}
	checkReleased(t, claims, true)
	if engine.requests() != 0 {
		t.Error("the request ran")
	}
}

// TestHangUpWhileAnswered checks that a request is cancelled at the engine when
// its caller hangs up, before and after the first token, streamed or not.
func TestHangUpWhileAnswered(t *testing.T) {
	for _, test := range []struct {
		name    string
		stream  bool
		pauseAt int
	}{
		{"before the first token", true, 0},
		{"within the stream", true, 2},
		{"whole answer", false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := startEngine(t, 5)
			paused := make(chan struct{}, 1)
			hold := waitForDisconnect(paused)
			engine.pauseAt(test.pauseAt, hold)
			if !test.stream {
				engine.intercept = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
					hold(r)
					return true
				}
			}
			_, url := startGateway(t, Config{Dispatcher: engine.dispatcher()})
			connection := dialRaw(t, url)
			_, _ = io.WriteString(connection, rawRequest(chatBody("glaze-7b", "ash", test.stream), ""))
			<-paused
			_ = connection.Close()
			engine.waitCancelled(t, 1)
		})
	}
}

// TestHangUpUnsafe checks that an unsafe request that was sent continues after
// its caller hangs up, so that a repeat gets the answer.
func TestHangUpUnsafe(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			engine := startEngine(t, 5)
			paused, resume := make(chan struct{}, 1), make(chan struct{})
			hold := func(*http.Request) {
				paused <- struct{}{}
				<-resume
			}
			engine.pauseAt(2, hold)
			engine.intercept = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				if !stream {
					hold(r)
				}
				return false
			}
			claims := newGrantingClaims()
			g, url := startGateway(t, Config{Dispatcher: engine.dispatcher(), Claims: claims})
			connection := dialRaw(t, url)
			_, _ = io.WriteString(connection, rawRequest(chatBody("slots", "ash", stream), "Idempotency-Key: key\r\n"))
			<-paused
			_ = connection.Close()
			g.hangups.Poll()
			close(resume)
			<-claims.notified
			if len(claims.completed) != 1 || !strings.Contains(string(claims.completed[0].Body), "ash") {
				t.Fatalf("completed %+v", claims.completed)
			}
			if stream {
				checkStream(t, claims.completed[0].Body, "ash", 5)
			}
		})
	}
}
