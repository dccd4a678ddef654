package migration

// Step is what is done next with a stream that its server, the source, broke off.
type Step uint8

// Steps. After Anew, GiveUp and Over the handover has ended.
const (
	GoOnThere Step = iota // send the request to the target, which goes on from its copy
	GoBack                // send the request to the source, which stopped and keeps the run's memory
	Stop                  // have the source stop the run, if it still works on it, and copy the rest
	Anew                  // run it again elsewhere, from the last event
	GiveUp                // end the answer as broken
	Over                  // it was served
)

// Outcome is what became of a step.
type Outcome uint8

// Outcomes.
const (
	Done     Outcome = iota // of Stop: the source stopped and copied the rest; else: the stream came to its end
	Kept                    // of Stop: the source stopped and keeps the run's memory, but could not copy the rest
	NoRun                   // of Stop: the source does not run it (any more)
	Refused                 // surely nothing was done
	NotSent                 // no byte left: the server can't be reached
	NoAnswer                // it may have been done, or may be done later
	Broke                   // events came, then the stream broke
)

// Handover is a stream on its way from its source to a target. A run that goes on from a copy
// is the same run: a copy serves once, at either end, and servers refuse it otherwise without
// running the request. What must not happen is that the source works on while the target goes on,
// or that a request that may run once is sent without a copy. Set the exported fields; the zero
// value has nothing but the request itself.
type Handover struct {
	Copied  bool // the target has a copy, whole or in part
	Kept    bool // the source keeps the run's memory under the copy's handle
	Stopped bool // the source surely works on it no more
	MayStop bool // the source can be asked to stop
	MayBack bool // the source may still be sent requests
	MayAnew bool // the request may run again

	used     bool // the copy is used up
	served   bool // to its end
	stops    int  // calls to stop that were made
	wentBack bool // the source was sent the request again
	tried    bool // the target was sent the request
}

// maxStops bounds the calls that a source does not answer: two while the stream flows, one after it
// broke.
const maxStops = 3

// Next returns the next step. Its outcome is to be told before the next call.
func (h *Handover) Next() Step {
	switch {
	case h.served:
		return Over
	case h.used || !h.Copied && !h.Kept:
		return h.last()
	case !h.Stopped && h.MayStop && h.stops < maxStops:
		return Stop
	case !h.Stopped: // it may work on: whatever goes on elsewhere would run beside it
		return h.last()
	case h.Copied && !h.tried:
		return GoOnThere
	case h.Kept && h.MayBack && !h.wentBack:
		return GoBack
	}
	return h.last()
}

// last is the step when no copy helps.
func (h *Handover) last() Step {
	if h.MayAnew {
		return Anew
	}
	return GiveUp
}

// Told notes what became of a step.
func (h *Handover) Told(s Step, o Outcome) {
	switch s {
	case Stop:
		h.toldStop(o)
	case GoOnThere:
		h.tried = true
		h.toldRun(o)
	case GoBack:
		h.wentBack = true
		h.toldRun(o)
	}
}

// toldStop notes what became of a call to stop.
func (h *Handover) toldStop(o Outcome) {
	h.stops++
	switch o {
	case Done:
		h.Stopped, h.Copied, h.Kept = true, true, true
	case Kept:
		h.Stopped, h.Kept = true, true
	case NoRun, NotSent: // it broke off and has stopped, or can't be reached by anybody here
		h.Stopped = true
	}
}

// toldRun notes what became of a request that was to go on from the copy.
func (h *Handover) toldRun(o Outcome) {
	switch o {
	case Done:
		h.served, h.used = true, true
	case Broke:
		h.used = true
	}
}

// Unused tells whether the copy may still take up memory though nobody uses it.
func (h *Handover) Unused() bool { return (h.Copied || h.Kept) && !h.used }

// String names the outcome of a step in logs.
func (o Outcome) String() string {
	names := [...]string{"done", "kept at the source", "no run", "refused", "not sent", "no answer", "broke off"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// String names the step in logs.
func (s Step) String() string {
	names := [...]string{"go on there", "go back", "stop", "run anew", "give up", "over"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}
