package backpressure

import (
	"testing"
	"time"
)

// TestBrittleServiceGetsMoreThanItRuns guards against rates that rejections do not lower, or never recover.
func TestBrittleServiceGetsMoreThanItRuns(t *testing.T) {
	var b Brittle
	now := time.Now()
	if _, limited := b.Limit(now, 4); limited {
		t.Error("a service that says nothing has a limit")
	}
	b.Ran(100 * time.Millisecond)
	if b.Observe(now, now, 3) != BrittleSet || b.Observe(now, now, 3) != 0 {
		t.Error("the change is not told once")
	}
	full, limited := b.Limit(now, 4)
	if !limited || full != brittleUse*4/0.1 {
		t.Errorf("limit %v", full)
	}
	for range 3 { // requests that were on their way are one rejection
		b.Rejected(now)
	}
	if got, _ := b.Limit(now, 4); got != full*rejectedFactor {
		t.Errorf("limit %v after a rejection, %v before", got, full)
	}
	for range 100 {
		now = now.Add(reduceInterval)
		b.Rejected(now)
	}
	if got, _ := b.Limit(now, 4); got <= 0 {
		t.Errorf("limit %v after many rejections", got)
	}
	if got, _ := b.Limit(now.Add(time.Minute), 4); got != full {
		t.Errorf("limit %v a minute later, want %v", got, full)
	}
}

// TestBrittleServiceStaysLimited guards against limits that outlast what servers say.
func TestBrittleServiceStaysLimited(t *testing.T) {
	var b Brittle
	now := time.Now()
	b.Observe(now, now.Add(time.Second), 3)
	if b.Observe(now.Add(time.Millisecond), now.Add(2*time.Second), 0) != 0 {
		t.Error("a response that was overtaken ends it")
	}
	if b.Observe(time.Time{}, now.Add(2*time.Second), 0) != 0 {
		t.Error("a response to an unknown request ends it")
	}
	if b.Observe(now.Add(2*time.Second), now.Add(3*time.Second), 0) != BrittleEnded {
		t.Error("a later response does not end it")
	}
	if _, limited := b.Limit(now.Add(3*time.Second), 4); limited {
		t.Error("still limited")
	}
}
