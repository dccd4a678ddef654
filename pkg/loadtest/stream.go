package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// headerLastEvent tells after which event a stream goes on.
const headerLastEvent = "Last-Event-Id"

// retryPause is the pause between two attempts of a caller.
const retryPause = 50 * time.Millisecond

// maxLeaveEvents is the most events after which a caller leaves its node.
const maxLeaveEvents = 4

// errLeft means that the caller closed the connection, to take the stream up elsewhere.
var errLeft = errors.New("the caller left the node")

// stream is one stream of a caller.
type stream struct {
	options *Options
	name    string
	random  *rand.Rand
	started time.Time
	began   string // ID of the attempt that brought the first event; empty: none did
	lastID  string
	node    string // of the last attempt

	leavesAfter int // events after which the caller leaves its first node; zero: it does not
	outcome
}

// outcome is what the caller got.
type outcome struct {
	bad        bool // its prompt has Options.BadPart
	passing    bool // it is for Options.PassingModel
	atFirst    bool // its first attempt brought an event
	events     int
	whole      bool
	refused    bool // the last attempt was refused
	takenUp    bool
	goneOn     bool
	disordered bool
	short      bool            // it looked whole with another number of events than Options.Events
	same       map[string]bool // values of Options.SameField
	first      time.Duration   // until the first event
	left       bool            // the caller closed its connection and took the stream up elsewhere
	cut        bool            // a connection ended without an answer though the caller's time was not up
	lastAt     time.Time       // of the last event
	pause      time.Duration   // the longest between two events
}

// read sends attempts until the stream is whole.
func (s *stream) read(ctx context.Context) outcome {
	s.started, s.same = time.Now(), make(map[string]bool)
	for attempt := range max(s.options.Attempts, 1) {
		left := s.options.Deadline - time.Since(s.started)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		before := s.events
		s.takenUp = s.takenUp || before > 0
		err := s.try(ctx, fmt.Sprintf("%s-%d", s.name, attempt), left)
		s.whole = err == nil && !s.refused
		s.cut = s.cut || s.isCut(ctx, err)
		s.goneOn = s.goneOn || before > 0 && s.events > before
		s.atFirst = s.atFirst || attempt == 0 && s.events > 0
		if s.whole {
			break
		}
		if !errors.Is(err, errLeft) {
			time.Sleep(retryPause)
		}
	}
	s.short = s.whole && s.options.Events > 0 && s.events != s.options.Events
	return s.outcome
}

// deadlineMargin is how long before the end of its caller's time a node may end a request: clocks and links differ.
const deadlineMargin = 200 * time.Millisecond

// isCut reports whether an attempt that a node took ended without an answer though the caller's time was not up.
func (s *stream) isCut(ctx context.Context, err error) bool {
	if err == nil || errors.Is(err, errLeft) || ctx.Err() != nil || time.Since(s.started) > s.options.Deadline-deadlineMargin {
		return false
	}
	var failed *net.OpError
	return !errors.As(err, &failed) || failed.Op != "dial"
}

// try sends one attempt to a random node, and reads its events. An error means that the stream broke off.
func (s *stream) try(ctx context.Context, id string, left time.Duration) error {
	o := s.options
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	s.node = s.nextNode()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.node+o.Path, s.body())
	if err != nil {
		return err
	}
	for name, values := range o.Header {
		r.Header[name] = values
	}
	if o.PartsHeader != "" {
		r.Header.Set(o.PartsHeader, s.parts())
	}
	if s.passing {
		r.Header.Set(o.PassingHeader, o.PassingModel)
	}
	r.Host = o.Host
	r.Header.Set(o.IDHeader, id)
	r.Header.Set(o.DeadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	if s.began != "" {
		r.Header.Set(headerLastEvent, s.lastID)
		r.Header.Set(o.ResumesHeader, s.began)
	}
	response, err := o.Client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if s.refused = response.StatusCode != http.StatusOK; s.refused {
		return nil
	}
	return s.readEvents(response.Body, id)
}

// body returns the body of an attempt.
func (s *stream) body() io.Reader {
	text := s.options.Body + s.name
	if padding := s.options.UploadBytes - len(text); padding > 0 {
		text += strings.Repeat(" ", padding)
	}
	return strings.NewReader(text)
}

// nextNode returns a random node; after the caller has left one, another.
func (s *stream) nextNode() string {
	nodes := s.options.Nodes
	if s.left {
		nodes = slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == s.node })
	}
	return nodes[s.random.IntN(len(nodes))]
}

// partTokens is the length of each part of a prompt.
const partTokens = 100

// parts returns the parts of the stream's prompt.
func (s *stream) parts() string {
	ids := []string{s.options.SharedPart, s.name}
	if s.bad {
		ids = []string{s.options.SharedPart, s.options.BadPart, s.name}
	}
	var list []string
	for _, id := range ids {
		if id != "" {
			list = append(list, fmt.Sprintf("%s:%d", id, partTokens))
		}
	}
	return strings.Join(list, ",")
}

// readEvents reads the events of an attempt.
func (s *stream) readEvents(body io.Reader, attempt string) error {
	id, data := "", ""
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "" && id != "":
			s.add(id, data, attempt)
			id, data = "", ""
			if s.events == s.leavesAfter && !s.left {
				s.left = true
				return errLeft
			}
		}
	}
	return lines.Err()
}

// add records an event.
func (s *stream) add(id, data, attempt string) {
	if s.events == 0 {
		s.first, s.began = time.Since(s.started), attempt
	} else {
		s.pause = max(s.pause, time.Since(s.lastAt))
	}
	s.lastAt = time.Now()
	if n, err := strconv.Atoi(id); err != nil || n != s.events+1 {
		s.disordered = true
	}
	s.events++
	s.lastID = id
	if value, found := s.sameValue(data); found {
		s.same[value] = true
	}
}

// sameValue returns what the event's data has in common with all events of its software version.
func (s *stream) sameValue(data string) (string, bool) {
	switch s.options.SameField {
	case "":
		return "", false
	case "data":
		return data, true
	}
	var fields map[string]any
	if json.Unmarshal([]byte(data), &fields) != nil {
		return "", false // not an object: it tells nothing
	}
	value, found := fields[s.options.SameField]
	return fmt.Sprint(value), found
}
