package coordinator

import "time"

// reservation reserves a server for the model for which memory is being freed on it: otherwise other models would take
// the memory, and it would have to be freed for each again.
type reservation struct {
	model string
	until time.Time
}

// reservationTime is how long a reservation lasts: enough for an unload, which waits for running requests, and the
// plan after it.
const reservationTime = 8 * time.Second

// reservedFor returns the model that the server is reserved for, empty if there is none.
func (s *serverState) reservedFor(now time.Time) string {
	if now.After(s.reserved.until) {
		return ""
	}
	return s.reserved.model
}

// reservedFreeAt returns when a reserved server can start the load of its model.
func (s *serverState) reservedFreeAt(now time.Time) time.Time {
	if s.busy != nil {
		return latest(now, s.busy.readyAt)
	}
	return now
}
