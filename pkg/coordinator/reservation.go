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

// reservedReady returns when the model that the server is kept for should be ready.
func (s *serverState) reservedReady(now time.Time, load time.Duration) time.Time {
	free := now
	if s.busy != nil {
		free = latest(now, s.busy.readyAt)
	}
	return free.Add(load)
}
