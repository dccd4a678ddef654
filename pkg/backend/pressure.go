package backend

import (
	"net/http"
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// Heard is a change of what is believed of a server by a word of its own.
type Heard struct {
	Server string // the ID of its life
	Change backpressure.Change
	Word   backpressure.Word
	At     time.Time
}

// hear takes in what an answer of the server tells of it; sent is when its request began to be sent, zero
// if the answer is another request's.
func (c *Condition) hear(sent time.Time, r *http.Response) {
	if c.words == nil {
		return
	}
	w := c.words(r.StatusCode, r.Header)
	now := c.pool.time.Now()
	c.mu.Lock()
	change := c.pressure.Hear(sent, now, w)
	c.mu.Unlock()
	if change&backpressure.Left != 0 {
		c.sayLeaving(now)
		c.moved()
	}
	if change != 0 && c.heard != nil {
		c.heard(Heard{Server: c.id, Change: change, Word: w, At: now})
	}
}

// Rest returns for how much longer the server wants nothing from this node; zero: it takes requests.
func (c *Condition) Rest(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure.Rest(now)
}

// Limit returns how many requests a second the server takes from all nodes together, false if it names
// no limit.
func (c *Condition) Limit() (float64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure.Limit()
}

// Limited tells whether the server names a limit.
func (c *Condition) Limited() bool {
	_, limited := c.Limit()
	return limited
}
