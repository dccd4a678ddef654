package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// line is the part of a request's log line that is used here.
type line struct {
	Message  string  `json:"@message"`
	Outcome  string  `json:"outcome"`
	Reason   string  `json:"reason"`
	Status   int     `json:"status"`
	First    float64 `json:"first_ms"`
	Took     float64 `json:"ms"`
	Target   float64 `json:"target_ms"`
	Waited   float64 `json:"waited_ms"`
	WaitFor  string  `json:"waited_for"`
	Left     float64 `json:"left_ms"`   // remaining at the end, of the time limit set by caller and route
	Given    float64 `json:"caller_ms"` // time limit set by the caller; zero if not logged
	Pause    float64 `json:"pause_ms"`
	PauseMax float64 `json:"pause_target_ms"`
	Tries    []struct {
		Verdict string `json:"verdict"`
	} `json:"tries"`
}

// class is a class of requests in the site file.
type class struct {
	Name   string  `toml:"name"`
	Target float64 `toml:"aim_ms"`
	Whole  float64 `toml:"deadline_ms"`
	Worth  float64 `toml:"worth"`
	Late   float64 `toml:"late_worth"`
}

// returnShare separates first attempts from retries: if the caller's remaining time is below this
// share of its whole time limit, an earlier attempt of the same request was refused.
const returnShare = 0.97

// before returns how much earlier the caller's first attempt was; zero for a first attempt.
func (l *line) before(c *class) float64 {
	given := cmp.Or(l.Given, l.Took+l.Left)
	if given >= returnShare*c.Whole {
		return 0
	}
	return c.Whole - given
}

// loss returns how much of its worth the request of a line lost, with its time counted from the
// caller's first attempt. A first attempt that was refused counts as no loss yet: the caller's next
// attempt decides.
func (l *line) loss(c *class) float64 {
	before := l.before(c)
	switch {
	case l.Status == http.StatusUnauthorized:
		return 0 // requests without a valid key have no worth
	case l.Outcome == "refused" && (before == 0 || l.Given == 0) && len(l.Tries) == 0:
		return 0 // refused before the caller's time limit was read, or at the first attempt
	case l.Outcome != "served" || l.Status >= 400:
		return c.Worth
	case before+l.First <= l.Target && !l.paused():
		return 0
	default:
		return c.Worth - c.Late
	}
}

// paused reports whether the stream paused for too long between two events.
func (l *line) paused() bool { return l.PauseMax > 0 && l.Pause > l.PauseMax }

// cause returns the reason why a request lost worth.
func (l *line) cause(c *class) string {
	end := "late"
	switch {
	case l.Outcome == "refused":
		end = "refused (" + l.Reason + ")"
	case l.Outcome != "served":
		end = l.Outcome
	case l.Status >= 400:
		return fmt.Sprintf("the server's %d", l.Status)
	case l.before(c)+l.First <= l.Target && len(l.Tries) > 1:
		return "paused, after an attempt that ended " + l.Tries[0].Verdict
	case l.before(c)+l.First <= l.Target:
		return "paused at the server"
	}
	if l.before(c) > 0 {
		end = "came back, " + end
	}
	switch {
	case l.Waited > l.Target/4 || len(l.Tries) == 0:
		return end + ", waited for " + cmp.Or(l.WaitFor, "nothing")
	case len(l.Tries) > 1:
		return end + ", after an attempt that ended " + l.Tries[0].Verdict
	default:
		return end + ", at the server"
	}
}

// item is the loss by one cause.
type item struct {
	requests int
	loss     float64
}

// split is a breakdown of the losses by class of requests and cause.
type split struct {
	owed   map[string]float64
	lost   map[string]float64 // by the bench's own count
	causes map[string]map[string]item
}

func newSplit() split {
	return split{owed: make(map[string]float64), lost: make(map[string]float64), causes: make(map[string]map[string]item)}
}

// count adds the loss of a request.
func (s split) count(c *class, l *line) {
	loss := l.loss(c)
	if loss <= 0 {
		return
	}
	s.put(c.Name, l.cause(c), item{1, loss})
}

func (s split) put(class, cause string, more item) {
	if s.causes[class] == nil {
		s.causes[class] = make(map[string]item)
	}
	i := s.causes[class][cause]
	s.causes[class][cause] = item{i.requests + more.requests, i.loss + more.loss}
}

// add adds another split.
func (s split) add(other split) {
	for name, owed := range other.owed {
		s.owed[name] += owed
		s.lost[name] += other.lost[name]
	}
	for name, causes := range other.causes {
		for cause, i := range causes {
			s.put(name, cause, i)
		}
	}
}

// print prints the causes of loss of each class, largest first, as shares of the worth of all
// requests.
func (s split) print(w io.Writer) {
	owed := 0.0
	for _, v := range s.owed {
		owed += v
	}
	type row struct {
		class, cause string
		item
	}
	var rows []row
	for name := range s.owed {
		reported := 0.0
		for cause, i := range s.causes[name] {
			rows = append(rows, row{name, cause, i})
			reported += i.loss
		}
		rows = append(rows, row{name, "without a line", item{0, s.lost[name] - reported}})
	}
	slices.SortFunc(rows, func(a, b row) int {
		return cmp.Or(cmp.Compare(b.loss, a.loss), cmp.Compare(a.class, b.class), cmp.Compare(a.cause, b.cause))
	})
	for _, r := range rows {
		fmt.Fprintf(w, "%.4f  %-18s %5d  %s\n", r.loss/owed, r.class, r.requests, r.cause)
	}
}
