package backend

import (
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// departed keeps what servers said of themselves that are not listed any more: their rows may lapse while the
// platform's store is away, or be read in parts, and the same lives are back then. Answers to requests under way
// go on telling of them meanwhile. The zero value is empty. The directory's mu guards it.
type departed struct {
	lives map[string]departedLife // by ID
}

// departedLife is what is kept of one life.
type departedLife struct {
	address  string
	at       time.Time // when it was listed last
	pressure *pressure
}

const (
	// departedTime is how long a life is kept: as long as what it may have asked for.
	departedTime = backpressure.MostRest
	// mostDeparted bounds the lives that are kept.
	mostDeparted = 4096
)

// keep keeps what a server said that has just left the list, if it asked for anything or may do so yet.
func (d *departed) keep(now time.Time, m *Member) {
	if m.InFlight() == 0 && !m.pressure.asking.Load() {
		return
	}
	for id, life := range d.lives {
		if now.Sub(life.at) > departedTime {
			delete(d.lives, id)
		}
	}
	if len(d.lives) >= mostDeparted {
		return
	}
	if d.lives == nil {
		d.lives = make(map[string]departedLife)
	}
	d.lives[m.ID] = departedLife{m.Address, now, m.pressure}
}

// take returns what a server that is listed anew said, if it is the same life.
func (d *departed) take(now time.Time, s *Server) *pressure {
	life, kept := d.lives[s.ID]
	delete(d.lives, s.ID)
	if !kept || life.address != s.Address || now.Sub(life.at) > departedTime {
		return new(pressure)
	}
	return life.pressure
}
