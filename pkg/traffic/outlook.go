package traffic

import "time"

// outlook is what a waiting request may expect at a moment.
type outlook struct {
	now        time.Time
	ready      bool          // a replica serves
	loadedAt   time.Time     // when the next replica will be ready; zero: none or unknown
	running    int           // places in use, if ready
	perReplica int           // places of the replica that is being loaded
	hold       time.Duration // of a place; zero: not measured
	lastEnd    time.Time     // of a request that held a place
	firstToken time.Duration // from the place to the first token

	rejected   bool // the owner will not load the model
	loadFailed bool // though it had meant to
	retryAfter time.Duration
	message    string
}

// firstTokenAt estimates when a request with ahead others before it gets its
// first token, and false if that can't be told.
func (o outlook) firstTokenAt(ahead int) (time.Time, bool) {
	start, known := o.startAt(ahead)
	return start.Add(o.firstToken), known
}

// startAt estimates when the request gets its place.
func (o outlook) startAt(ahead int) (time.Time, bool) {
	if !o.ready {
		return o.startAfterLoad(ahead)
	}
	if o.hold == 0 {
		return time.Time{}, false
	}
	interval := o.hold / time.Duration(max(1, o.running))
	start := o.lastEnd.Add(time.Duration(ahead+1) * interval)
	if soonest := o.now.Add(time.Duration(ahead) * interval); start.Before(soonest) {
		start = soonest
	}
	if !o.loadedAt.After(o.now) || !o.loadedAt.Before(start) {
		return start, true
	}
	left := ahead + 1 - int(o.loadedAt.Sub(o.now)/interval) - o.perReplica
	if left <= 0 {
		return o.loadedAt, true
	}
	faster := o.hold / time.Duration(max(1, o.running+o.perReplica))
	return o.loadedAt.Add(time.Duration(left) * faster), true
}

// startAfterLoad is startAt for a model without a replica. A load that is
// overdue has no known end.
func (o outlook) startAfterLoad(ahead int) (time.Time, bool) {
	if !o.loadedAt.After(o.now) {
		return time.Time{}, false
	}
	rounds := ahead / max(1, o.perReplica)
	return o.loadedAt.Add(time.Duration(rounds) * o.hold), true
}

// judge returns the refusal of a request that can't get its first token by its
// deadline with ahead others before it, or nil if it may wait.
func (o outlook) judge(deadline time.Time, ahead int) *Refusal {
	if o.rejected {
		reason := ReasonNoCapacity
		if o.loadFailed {
			reason = ReasonLoadFailed
		}
		return &Refusal{Reason: reason, Message: o.message, RetryAfter: o.retryAfter}
	}
	expected, known := o.firstTokenAt(ahead)
	if !known || !expected.After(deadline) {
		return nil
	}
	return &Refusal{
		Reason:     ReasonDeadline,
		Message:    "the first token is expected " + expected.Sub(o.now).Round(time.Millisecond).String() + " from now, after the deadline",
		RetryAfter: max(minRetryAfter, expected.Sub(deadline)+o.margin()),
	}
}

// margin is the error of the expected start: places that were taken together
// come free together, up to one hold later than if they came free by turns.
func (o outlook) margin() time.Duration {
	if !o.ready {
		return 0
	}
	return o.hold
}

// drainedIn estimates the time until the requests that wait now have started.
func (o outlook) drainedIn(waiting int) time.Duration {
	start, known := o.startAt(waiting)
	if !known {
		return defaultRetryAfter
	}
	return max(minRetryAfter, start.Sub(o.now))
}

// Advice on when to come back where nothing better is known, and the least.
const (
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second
)
