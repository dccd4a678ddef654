package traffic

import "time"

// forecast is the state of a model from which the start of waiting requests is estimated.
type forecast struct {
	now             time.Time
	ready           bool          // whether a replica serves
	nextReadyAt     time.Time     // when the next replica will be ready; zero: none or unknown
	running         int           // slots in use, if ready
	slotsPerReplica int           // slots of the replica that is being loaded
	holdTime        time.Duration // mean time that a request holds its slot; zero: not measured
	lastEnd         time.Time     // when a request last released its slot
	firstToken      time.Duration // mean time from the grant to the first token

	rejected   bool // whether the owner will not load the model
	loadFailed bool // whether the owner had accepted the load before it rejected it
	retryAfter time.Duration
	message    string
}

// firstTokenAt estimates when a request with ahead others before it gets its
// first token; false if that is unknown.
func (f forecast) firstTokenAt(ahead int) (time.Time, bool) {
	start, known := f.startAt(ahead)
	return start.Add(f.firstToken), known
}

// startAt estimates when a request with ahead others before it gets its slot.
func (f forecast) startAt(ahead int) (time.Time, bool) {
	if !f.ready {
		return f.startAfterLoad(ahead)
	}
	if f.holdTime == 0 {
		return time.Time{}, false
	}
	interval := f.holdTime / time.Duration(max(1, f.running))
	start := f.lastEnd.Add(time.Duration(ahead+1) * interval)
	if soonest := f.now.Add(time.Duration(ahead) * interval); start.Before(soonest) {
		start = soonest
	}
	if !f.nextReadyAt.After(f.now) || !f.nextReadyAt.Before(start) {
		return start, true
	}
	left := ahead + 1 - int(f.nextReadyAt.Sub(f.now)/interval) - f.slotsPerReplica
	if left <= 0 {
		return f.nextReadyAt, true
	}
	faster := f.holdTime / time.Duration(max(1, f.running+f.slotsPerReplica))
	return f.nextReadyAt.Add(time.Duration(left) * faster), true
}

// startAfterLoad is startAt for a model without a replica. The end of an overdue load
// is unknown.
func (f forecast) startAfterLoad(ahead int) (time.Time, bool) {
	if !f.nextReadyAt.After(f.now) {
		return time.Time{}, false
	}
	rounds := ahead / max(1, f.slotsPerReplica)
	return f.nextReadyAt.Add(time.Duration(rounds) * f.holdTime), true
}

// refusal returns a refusal if a request with ahead others before it can't get its first
// token by its deadline, or nil if it may wait.
func (f forecast) refusal(deadline time.Time, ahead int) *Refusal {
	if f.rejected {
		reason := ReasonNoCapacity
		if f.loadFailed {
			reason = ReasonLoadFailed
		}
		return &Refusal{Reason: reason, Message: f.message, RetryAfter: f.retryAfter}
	}
	expected, known := f.firstTokenAt(ahead)
	if !known || !expected.After(deadline) {
		return nil
	}
	return &Refusal{
		Reason:     ReasonDeadline,
		Message:    "the first token is expected " + expected.Sub(f.now).Round(time.Millisecond).String() + " from now, after the deadline",
		RetryAfter: max(minRetryAfter, expected.Sub(deadline)+f.margin()),
	}
}

// margin returns the error of the expected start: slots that were taken at the same
// time are released at the same time, up to one hold time later than if they were
// released one after the other.
func (f forecast) margin() time.Duration {
	if !f.ready {
		return 0
	}
	return f.holdTime
}

// timeToDrain estimates the time until the given number of waiting requests have started.
func (f forecast) timeToDrain(waiting int) time.Duration {
	start, known := f.startAt(waiting)
	if !known {
		return defaultRetryAfter
	}
	return max(minRetryAfter, start.Sub(f.now))
}

// Bounds of Refusal.RetryAfter.
const (
	minRetryAfter     = 100 * time.Millisecond
	defaultRetryAfter = time.Second // if there is no estimate
)
