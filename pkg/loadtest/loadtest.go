// Package loadtest sends requests for streams to nodes at a rate, as callers do: a stream that breaks off is
// taken up at another node. It counts what the callers got, and what no caller may get: lost or repeated events,
// and streams of servers of two software versions. Callers that do not behave may run beside them.
package loadtest

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/httphead"
)

// Options are the parameters of a run. All but those said to be optional are required.
type Options struct {
	Nodes     []string // IP:port of each node's listener for callers
	Host      string   // of the route
	Path      string
	Body      string        // begins each request's body, which ends with its ID; optional
	Header    http.Header   // sent with each request; optional
	PerSecond float64       // streams that begin per second
	Duration  time.Duration // of the run, without the streams under way at its end
	Deadline  time.Duration // that a caller waits for a whole stream
	Attempts  int           // of a caller; 1 if not set

	IDHeader       string // name of the header with the ID of an attempt
	DeadlineHeader string // name of the header with the milliseconds that the caller waits
	ResumesHeader  string // name of the header with the ID of the attempt that brought a stream's first event

	// PartsHeader is the name of the header with the parts of a prompt, in order, as ID:TOKENS; optional. All prompts
	// begin with SharedPart and end with a part of their own. BadShare of them also have BadPart, which crashes the
	// servers of the test.
	PartsHeader string
	SharedPart  string
	BadPart     string
	BadShare    float64 // 0 to 1

	// PassingHeader is the name of the header with the model, in which PassingShare of the streams name PassingModel, one
	// that the operator lists and retires during the run; optional.
	PassingHeader string
	PassingModel  string
	PassingShare  float64 // 0 to 1

	// LeaveShare of the callers close the connection of their first attempt after one of its first events, and take the
	// stream up at another node at once: its servers may still work on it, and the node may know less than the first.
	LeaveShare float64 // 0 to 1

	// UploadBytes is the length to which bodies are padded, so that servers may answer before they have read them; optional.
	UploadBytes int
	// Events is how many events a whole stream has, so that a part that looks whole shows; zero: unknown.
	Events int

	// SameField is what all events of a stream have in common if they come from one software version: a field of the
	// JSON object in their data, or the data itself if it is "data"; optional.
	SameField string
	Unruly    Unruly // callers that do not behave; optional
	// CutsViolate makes each stream that is cut off though its time was not up a violation.
	CutsViolate bool
	Seed        uint64       // of the choice of nodes
	Client      *http.Client // optional
}

// Result counts streams.
type Result struct {
	Sent       int `json:"sent"`
	Begun      int `json:"begun"` // at least one event came
	Whole      int `json:"whole"`
	Refused    int `json:"refused"`        // ended by a refusal before any event
	TakenUp    int `json:"taken_up"`       // broke off and were taken up
	GoneOn     int `json:"gone_on"`        // of those, more events came
	Disordered int `json:"disordered"`     // lost or repeated an event
	Mixed      int `json:"two_version"`    // hold events of two software versions
	Left       int `json:"left,omitempty"` // their caller closed the connection and took them up elsewhere
	Short      int `json:"short"`          // looked whole with another number of events than Options.Events
	Cut        int `json:"cut"`            // a connection ended without a whole answer or a refusal though the caller's time was not up
	FirstMS    int `json:"first_ms"`       // mean time to the first event
	PauseMS    int `json:"pause_ms"`       // longest time between two events of a stream

	// Sound streams are those without Options.BadPart; the others are counted apart.
	SoundBegunAtFirst int `json:"sound_begun_at_first,omitempty"` // in their first attempt
	Bad               int `json:"bad,omitempty"`
	BadRefused        int `json:"bad_refused,omitempty"` // their last attempt was refused

	// Passing streams are those for Options.PassingModel.
	Passing        int `json:"passing,omitempty"`
	PassingWhole   int `json:"passing_whole,omitempty"`
	PassingRefused int `json:"passing_refused,omitempty"` // their last attempt was refused

	// Unruly counts the connections of callers that do not behave, by kind.
	Unruly map[string]*UnrulyCount `json:"unruly,omitempty"`

	cutsViolate bool
}

// Violations returns the number of streams that no caller may get.
func (r *Result) Violations() int {
	n := r.Disordered + r.Mixed + r.Short
	if r.cutsViolate {
		n += r.Cut
	}
	return n
}

// maxUploadBytes limits the bodies.
const maxUploadBytes = 64 << 20

// check returns all faults of the options.
func (o *Options) check() error {
	wrong := o.Unruly.faults(o.Nodes)
	maps.Copy(wrong, map[string]bool{
		"no node": len(o.Nodes) == 0, "no path": !strings.HasPrefix(o.Path, "/"), "no rate": o.PerSecond <= 0, "no duration": o.Duration <= 0,
		"no deadline": o.Deadline <= 0, "no header for IDs": o.IDHeader == "", "no header for deadlines": o.DeadlineHeader == "",
		"no header for the parts of prompts": o.PartsHeader == "" && o.BadShare > 0, "no part that crashes servers": o.BadPart == "" && o.BadShare > 0,
		"a share of bad parts beyond 0 to 1":          o.BadShare < 0 || o.BadShare > 1,
		"no header for the model that comes and goes": o.PassingHeader == "" && o.PassingShare > 0,
		"no model that comes and goes":                o.PassingModel == "" && o.PassingShare > 0,
		"a share of such requests beyond 0 to 1":      o.PassingShare < 0 || o.PassingShare > 1,
		"no header for streams that are taken up":     o.ResumesHeader == "" && o.Attempts > 1, "a negative number of attempts": o.Attempts < 0,
		"a share of callers that leave beyond 0 to 1": o.LeaveShare < 0 || o.LeaveShare > 1,
		"a negative number of events":                 o.Events < 0,
		"a body of less than 0 or more than 64 MiB":   o.UploadBytes < 0 || o.UploadBytes > maxUploadBytes,
		"no second node for callers that leave":       o.LeaveShare > 0 && len(o.Nodes) == 1,
		"no second attempt for callers that leave":    o.LeaveShare > 0 && o.Attempts == 1,
	})
	var faults []string
	for name, is := range wrong {
		if is {
			faults = append(faults, name)
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("load test: %s", strings.Join(faults, ", "))
	}
	return nil
}

// Run sends streams until the run's duration is over or ctx ends, and waits for those under way.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := o.check(); err != nil {
		return Result{}, err
	}
	if o.Client == nil {
		o.Client = &http.Client{Transport: httphead.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true})}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration+o.Deadline)
	defer cancel()
	var callers sync.WaitGroup
	var total totals
	var unruly unrulyTotals
	during, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	startUnruly(during, &o, &callers, &unruly)
	random := rand.New(rand.NewPCG(o.Seed, 1))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / o.PerSecond))
	defer ticker.Stop()
	for end := time.Now().Add(o.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		<-ticker.C
		s := &stream{options: &o, name: fmt.Sprintf("%x", random.Uint64()), random: rand.New(rand.NewPCG(o.Seed, random.Uint64()))}
		s.bad = s.random.Float64() < o.BadShare
		s.passing = o.PassingShare > 0 && s.random.Float64() < o.PassingShare
		if o.LeaveShare > 0 && s.random.Float64() < o.LeaveShare {
			s.leavesAfter = 1 + s.random.IntN(maxLeaveEvents)
		}
		callers.Go(func() { total.add(s.read(ctx)) })
	}
	callers.Wait()
	result := total.result()
	result.cutsViolate, result.Unruly = o.CutsViolate, unruly.kinds
	return result, nil
}

// totals sums up streams. It is safe for concurrent use.
type totals struct {
	mu    sync.Mutex
	sum   Result
	first time.Duration // of all streams that began
	pause time.Duration // the longest
}

func (t *totals) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sum.Sent++
	for count, happened := range map[*int]bool{
		&t.sum.Begun: o.events > 0, &t.sum.Whole: o.whole, &t.sum.Refused: o.events == 0 && o.refused, &t.sum.TakenUp: o.takenUp,
		&t.sum.GoneOn: o.goneOn, &t.sum.Disordered: o.disordered, &t.sum.Mixed: len(o.same) > 1, &t.sum.Short: o.short, &t.sum.Cut: o.cut, &t.sum.Left: o.left,
		&t.sum.SoundBegunAtFirst: !o.bad && o.atFirst, &t.sum.Bad: o.bad, &t.sum.BadRefused: o.bad && o.refused,
		&t.sum.Passing: o.passing, &t.sum.PassingWhole: o.passing && o.whole, &t.sum.PassingRefused: o.passing && o.refused,
	} {
		if happened {
			*count++
		}
	}
	t.first += o.first
	t.pause = max(t.pause, o.pause)
}

func (t *totals) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.sum
	if r.Begun > 0 {
		r.FirstMS = int((t.first / time.Duration(r.Begun)).Milliseconds())
	}
	r.PauseMS = int(t.pause.Milliseconds())
	return r
}
