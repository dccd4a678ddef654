package backend

import (
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// departed keeps what servers said of themselves that are not listed: their rows may lapse while the platform's store
// is away, or be read in parts, and the same lives are back then. Answers to requests under way go on telling of them
// meanwhile, and so do nodes that list a server sooner than this one. The zero value is empty. The directory's mu
// guards it.
type departed struct {
	lives map[string]departedLife // by ID
}

// departedLife is what is kept of one life.
type departedLife struct {
	address  string    // empty: it was not listed here yet
	at       time.Time // when it was listed last, or another node told of it
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
	if d.room(now) {
		d.lives[m.ID] = departedLife{m.Address, now, m.pressure}
	}
}

// room forgets lives that are over and tells whether there is room for one more.
func (d *departed) room(now time.Time) bool {
	for id, life := range d.lives {
		if now.Sub(life.at) > departedTime {
			delete(d.lives, id)
		}
	}
	if d.lives == nil {
		d.lives = make(map[string]departedLife)
	}
	return len(d.lives) < mostDeparted
}

// tell takes in what another node believes of a life that is not listed here, and returns what it changed.
func (d *departed) tell(now time.Time, server string, b backpressure.Belief) Heard {
	life, kept := d.lives[server]
	if !kept {
		if !d.room(now) {
			return Heard{Server: server}
		}
		life = departedLife{pressure: new(pressure)}
	}
	life.at = now
	d.lives[server] = life
	return life.pressure.take(now, server, func(s *backpressure.State) backpressure.Change { return s.Tell(b) })
}

// take returns what a server that is listed anew said, if it is the same life.
func (d *departed) take(now time.Time, s *Server) *pressure {
	life, kept := d.lives[s.ID]
	delete(d.lives, s.ID)
	if !kept || life.address != "" && life.address != s.Address || now.Sub(life.at) > departedTime {
		return new(pressure)
	}
	return life.pressure
}
