package coordinator

import "time"

// reservation keeps a server for the model that room is made for on it: other models
// would take the room, and each would have to be made room for again.
type reservation struct {
	model string
	until time.Time
}

// reservationTime is how long a reservation lasts: an unload, which waits for the
// requests that run, and the plan after it.
const reservationTime = 8 * time.Second

// reservedFor returns the model that the server is kept for, empty if there is none.
func (s *serverState) reservedFor(now time.Time) string {
	if now.After(s.reserved.until) {
		return ""
	}
	return s.reserved.model
}

// reservedFree returns when the server that is kept for a model may load it.
func (s *serverState) reservedFree(now time.Time) time.Time {
	if s.busy != nil {
		return latest(now, s.busy.readyAt)
	}
	return now
}
