package loadtest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts a node that answers each attempt with the events after the last one up to the next break, every third
// one, which tell the software version that version returns.
func serve(t *testing.T, version func(r *http.Request) string, skip int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // zero if missing: from the first event
		for i := last + 1; i <= 9; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"v\": %q}\n\n", i+skip*last, version(r))
			_ = http.NewResponseController(w).Flush()
			if i%3 == 0 && i < 9 {
				panic(http.ErrAbortHandler)
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func options(node string) Options {
	return Options{Nodes: []string{node}, Path: "/", PerSecond: 100, Duration: 100 * time.Millisecond, Deadline: 5 * time.Second, Attempts: 3,
		IDHeader: "X-Id", DeadlineHeader: "X-Deadline", ResumesHeader: "X-Resumes", SameField: "v"}
}

func TestViolationsAreNotCounted(t *testing.T) {
	one := func(*http.Request) string { return "v1" }
	byAttempt := func(r *http.Request) string { return "v" + r.Header.Get("Last-Event-Id") }
	for name, row := range map[string]struct {
		version           func(*http.Request) string
		skip              int
		mixed, disordered bool
	}{
		"one version":  {one, 0, false, false},
		"two versions": {byAttempt, 0, true, false},
		"lost events":  {one, 1, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Run(t.Context(), options(serve(t, row.version, row.skip)))
			if err != nil || got.Sent == 0 || got.Begun != got.Sent || got.TakenUp != got.Sent || got.GoneOn != got.Sent {
				t.Fatalf("%+v, %v", got, err)
			}
			if got.Mixed > 0 != row.mixed || got.Disordered > 0 != row.disordered {
				t.Errorf("%+v", got)
			}
		})
	}
}

func TestAttemptThatBroughtTheFirstEventIsNotNamed(t *testing.T) {
	named := make(chan string, 100)
	node := serve(t, func(r *http.Request) string {
		if r.Header.Get("Last-Event-Id") != "" {
			named <- r.Header.Get("X-Resumes") + " by " + r.Header.Get("X-Id")
		}
		return "v1"
	}, 0)
	o := options(node)
	o.Duration = 10 * time.Millisecond
	if _, err := Run(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	close(named)
	for text := range named {
		first, by, _ := strings.Cut(text, " by ")
		if !strings.HasSuffix(first, "-0") || strings.TrimSuffix(first, "-0") != by[:len(by)-2] {
			t.Errorf("%s", text)
		}
	}
}

func TestBadOptionsAreReportedTogether(t *testing.T) {
	_, err := Run(t.Context(), Options{Attempts: 2})
	for _, fault := range []string{"no node", "no path", "no rate", "no duration", "no deadline", "no header for IDs"} {
		if err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%v lacks %q", err, fault)
		}
	}
}

func TestStreamsWithABadPartAreCountedAsSound(t *testing.T) {
	var mu sync.Mutex
	sent := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		parts := strings.Split(r.Header.Get("X-Parts"), ",")
		mu.Lock()
		sent[strings.Join(parts[:len(parts)-1], ",")]++
		mu.Unlock()
		if slices.Contains(parts, "bad:100") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n")
	}))
	t.Cleanup(server.Close)
	o := options(strings.TrimPrefix(server.URL, "http://"))
	o.PartsHeader, o.SharedPart, o.BadPart, o.BadShare, o.Attempts = "X-Parts", "shared", "bad", 0.5, 1
	got, err := Run(t.Context(), o)
	if err != nil || got.Bad == 0 || got.Bad == got.Sent || got.BadRefused != got.Bad || got.SoundBegunAtFirst != got.Sent-got.Bad {
		t.Fatalf("%+v, %v", got, err)
	}
	if sent["shared:100"] != got.Sent-got.Bad || sent["shared:100,bad:100"] != got.Bad || len(sent) != 2 {
		t.Errorf("parts sent: %v, for %+v", sent, got)
	}
	o.PartsHeader = ""
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "no header for the parts of prompts") {
		t.Errorf("without a header: %v", err)
	}
}

// Requests for a model that comes and goes must not be counted as those beside them, and one that is cut off as it
// goes must be seen.
func TestStreamsForAModelThatComesAndGoesAreCountedApart(t *testing.T) {
	for name, cuts := range map[string]bool{"refused while it is not listed": false, "cut off as it goes": true} {
		t.Run(name, func(t *testing.T) {
			var passing, passed atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Model") == "passing" && passing.Add(1)%2 == 0 {
					if cuts {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(http.StatusNotFound)
					return
				}
				if r.Header.Get("X-Model") == "stays" {
					passed.Add(1)
				}
				_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n")
			}))
			t.Cleanup(server.Close)
			o := options(strings.TrimPrefix(server.URL, "http://"))
			o.Header = http.Header{"X-Model": {"stays"}}
			o.PassingHeader, o.PassingModel, o.PassingShare = "X-Model", "passing", 0.5
			o.Attempts, o.Duration, o.CutsViolate = 1, 300*time.Millisecond, true
			got, err := Run(t.Context(), o)
			if err != nil || got.Passing < 2 || got.Passing == got.Sent || got.Passing != int(passing.Load()) || got.Sent-got.Passing != int(passed.Load()) {
				t.Fatalf("%+v, %v", got, err)
			}
			gone := got.Passing / 2
			if got.PassingWhole != got.Passing-gone || got.Whole != got.Sent-gone || cuts && got.Cut != gone || !cuts && got.PassingRefused != gone {
				t.Errorf("%+v", got)
			}
			if got.Violations() > 0 != cuts {
				t.Errorf("%d violations: %+v", got.Violations(), got)
			}
			o.PassingHeader = ""
			if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "no header for the model that comes and goes") {
				t.Errorf("without a header: %v", err)
			}
		})
	}
}

func TestCutsAndPausesAreNotCounted(t *testing.T) {
	const pause = 300 * time.Millisecond
	event := func(w http.ResponseWriter, i int) {
		fmt.Fprintf(w, "id: %d\ndata: {}\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
	for name, row := range map[string]struct {
		serve func(w http.ResponseWriter, r *http.Request)
		cut   bool
		pause time.Duration // at least
	}{
		"whole":   {func(w http.ResponseWriter, _ *http.Request) { event(w, 1); event(w, 2) }, false, 0},
		"silent":  {func(w http.ResponseWriter, _ *http.Request) { event(w, 1); time.Sleep(pause); event(w, 2) }, false, pause},
		"cut":     {func(w http.ResponseWriter, _ *http.Request) { event(w, 1); panic(http.ErrAbortHandler) }, true, 0},
		"closed":  {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, 0},
		"refused": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, false, 0},
		"its time was up": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the caller left
			event(w, 1)
			<-r.Context().Done()
		}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(row.serve))
			t.Cleanup(server.Close)
			o := options(strings.TrimPrefix(server.URL, "http://"))
			o.Attempts, o.Duration, o.Deadline = 1, 50*time.Millisecond, 2*time.Second
			got, err := Run(t.Context(), o)
			if err != nil || got.Sent == 0 || got.Cut > 0 != row.cut || row.cut && got.Cut != got.Sent {
				t.Fatalf("%+v, %v", got, err)
			}
			if got.Violations() != 0 || time.Duration(got.PauseMS)*time.Millisecond < row.pause.Truncate(time.Millisecond) {
				t.Errorf("%d violations, longest pause %d ms", got.Violations(), got.PauseMS)
			}
			o.CutsViolate = true
			if got, err = Run(t.Context(), o); err != nil || got.Violations() > 0 != row.cut {
				t.Errorf("as violations: %+v, %v", got, err)
			}
		})
	}
}

func TestNodeThatDoesNotListenCutsStreams(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	o := options(strings.TrimPrefix(server.URL, "http://"))
	o.Duration = 50 * time.Millisecond
	if got, err := Run(t.Context(), o); err != nil || got.Sent == 0 || got.Cut != 0 {
		t.Errorf("%+v, %v", got, err)
	}
}

// Guards against callers that leave their node, and whose streams are not taken up at another one, or count as cut off.
func TestCallersThatLeaveTakeTheirStreamsUpElsewhere(t *testing.T) {
	var mu sync.Mutex
	nodesOf := map[string]map[string]bool{} // nodes by the attempt that brought a stream's first event
	seen := func(node string) func(*http.Request) string {
		return func(r *http.Request) string {
			mu.Lock()
			defer mu.Unlock()
			began := r.Header.Get("X-Resumes")
			if began == "" {
				began = r.Header.Get("X-Id")
			}
			if nodesOf[began] == nil {
				nodesOf[began] = map[string]bool{}
			}
			nodesOf[began][node] = true
			return "v1"
		}
	}
	for _, share := range []float64{0, 1} {
		clear(nodesOf)
		o := options(serve(t, seen("a"), 0))
		o.Nodes = append(o.Nodes, serve(t, seen("b"), 0))
		o.LeaveShare, o.Attempts = share, 5
		got, err := Run(t.Context(), o)
		if err != nil || got.Whole != got.Sent || got.Violations() > 0 {
			t.Fatalf("%+v, %v", got, err)
		}
		if want := int(share) * got.Sent; got.Left != want {
			t.Errorf("%d of %d callers left, want %d", got.Left, got.Sent, want)
		}
		for began, nodes := range nodesOf {
			if share == 1 && len(nodes) != 2 {
				t.Errorf("stream %s was at one node", began)
			}
		}
	}
	o := options("127.0.0.1:1")
	o.LeaveShare = 1
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "no second node") {
		t.Errorf("one node for callers that leave: %v", err)
	}
}

// Guards against streams of two versions that the tool doesn't see if they break off at one node and go on at another.
func TestStreamsOfCallersThatLeaveAreSeenAsMixed(t *testing.T) {
	version := func(v string) func(*http.Request) string { return func(*http.Request) string { return v } }
	o := options(serve(t, version("v1"), 0))
	o.Nodes = append(o.Nodes, serve(t, version("v2"), 0))
	o.LeaveShare, o.Attempts = 1, 5
	got, err := Run(t.Context(), o)
	if err != nil || got.Sent == 0 || got.Mixed != got.Sent {
		t.Errorf("%+v, %v", got, err)
	}
}
