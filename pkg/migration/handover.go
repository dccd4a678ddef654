package migration

// Step is the next action for a stream whose server, the source, broke it off.
type Step uint8

// The steps. RunAgain, GiveUp and Completed end the handover.
const (
	ResumeAtTarget Step = iota // send the request to the target, which continues from its copy
	ResumeAtSource             // send the request to the source, which stopped and still holds the run's memory
	Stop                       // ask the source to stop the run, if it still executes it, and to copy the rest
	RunAgain                   // run the request again on another server and continue after the last event sent
	GiveUp                     // end the caller's answer as incomplete
	Completed                  // the stream was served to its end
)

// Outcome is the result of a step.
type Outcome uint8

// The outcomes.
const (
	Done        Outcome = iota // Stop: the source stopped and copied the rest; other steps: the stream was served to its end
	Kept                       // Stop: the source stopped and holds the run's memory, but could not copy the rest
	NoRun                      // Stop: the source does not run the request, or no longer does
	Refused                    // the server refused and did nothing
	NotSent                    // nothing was sent, which shows nothing of the server and its runs
	Ended                      // Stop: the source's process has ended, and the run with it
	Unreachable                // Stop: nothing was sent, as there is no sign of the source here or at other nodes
	NoAnswer                   // outcome unknown: the server may have acted or may still act
	StreamBroke                // the stream broke after some events
)

// Handover is the state machine that moves a stream from its source to a target. Continuing from
// a copy counts as the same run: a copy can be used once, at either end, and servers refuse a
// second use without running the request. Two things must never happen: the source executes the
// run while the target continues it, or a request that may run only once is sent without a copy.
// Set the exported fields before the first call. In the zero value there is no copy, and the request
// may not run again.
type Handover struct {
	Copied      bool // the target has a complete or partial copy
	Kept        bool // the source holds the run's memory under the copy's handle
	Stopped     bool // the source is known to have stopped the run
	MayStop     bool // the source can be asked to stop, and there is time for it
	MayReturn   bool // the source still accepts requests
	MayRunAgain bool // the request may run more than once

	used         bool // the copy has been used, so it cannot be used again
	served       bool // the stream was served to its end
	refusedStops int  // number of Stop calls that the source refused
	unreachable  int  // number of the latest Stop calls in a row that found no sign of the source
	triedSource  bool // the request was sent to the source again
	triedTarget  bool // the request was sent to the target
}

// maxRefusedStops bounds the Stop calls to a source that refuses them. Calls without an answer, or that can't be sent, are repeated for as
// long as MayStop is set: a stop has no other effect if it is carried out twice, or late.
const maxRefusedStops = 3

// minUnreachable is how many Stop calls in a row have to find no sign of the source before its run counts as over for this node: a single
// connection may be late.
const minUnreachable = 2

// Next returns the next step. Call RecordOutcome with its outcome before the next call.
func (h *Handover) Next() Step {
	switch {
	case h.served:
		return Completed
	case h.used || !h.Copied && !h.Kept:
		return h.fallback()
	case !h.mayUseCopy() && h.MayStop && h.refusedStops < maxRefusedStops:
		return Stop
	case !h.mayUseCopy(): // the source may still execute the run
		return h.fallback()
	case h.Copied && !h.triedTarget:
		return ResumeAtTarget
	case h.Kept && h.MayReturn && !h.triedSource:
		return ResumeAtSource
	}
	return h.fallback()
}

// mayUseCopy reports whether the source certainly executes the run no more, or is out of reach for all that is known.
func (h *Handover) mayUseCopy() bool { return h.Stopped || h.unreachable >= minUnreachable }

// fallback returns the step to take when no copy can be used.
func (h *Handover) fallback() Step {
	if h.MayRunAgain {
		return RunAgain
	}
	return GiveUp
}

// RecordOutcome records the outcome of a step.
func (h *Handover) RecordOutcome(s Step, o Outcome) {
	switch s {
	case Stop:
		h.recordStop(o)
	case ResumeAtTarget:
		h.triedTarget = true
		h.recordResume(o)
	case ResumeAtSource:
		h.triedSource = true
		h.recordResume(o)
	}
}

// recordStop records the outcome of a Stop call.
func (h *Handover) recordStop(o Outcome) {
	if o == Unreachable {
		h.unreachable++
		return
	}
	h.unreachable = 0
	switch o {
	case Done:
		h.Stopped, h.Copied, h.Kept = true, true, true
	case Kept:
		h.Stopped, h.Kept = true, true
	case NoRun, Ended:
		h.Stopped = true
	case Refused:
		h.refusedStops++
	}
}

// recordResume records the outcome of a request that was to continue from the copy.
func (h *Handover) recordResume(o Outcome) {
	switch o {
	case Done:
		h.served, h.used = true, true
	case StreamBroke:
		h.used = true
	}
}

// HasUnusedCopy reports whether a copy that was never used may still occupy memory.
func (h *Handover) HasUnusedCopy() bool { return (h.Copied || h.Kept) && !h.used }

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	names := [...]string{"done", "kept at the source", "no run", "refused", "not sent", "ended", "unreachable", "no answer", "broke off"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// String returns the name of the step for logs.
func (s Step) String() string {
	names := [...]string{"go on there", "go back", "stop", "run anew", "give up", "over"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
