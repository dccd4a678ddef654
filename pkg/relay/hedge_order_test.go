package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// Guards against events that are lost, repeated or joined when the first run and its hedge go on at the same moment.
func TestEventsOfTwoRunsAreMixed(t *testing.T) {
	t.Parallel()
	for i := range 80 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(i), 1))
			a, b := time.Duration(random.IntN(24))*time.Millisecond, time.Duration(random.IntN(12))*time.Millisecond
			last := 3 + random.IntN(4)
			split := random.IntN(20)
			part := func(w io.Writer, from int) {
				text := eventsText(from, last)
				n := min(split, len(text))
				_, _ = io.WriteString(w, text[:n])
				_ = http.NewResponseController(w.(http.ResponseWriter)).Flush()
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(w, text[n:])
			}
			first := func(w http.ResponseWriter, r *http.Request, s seen) {
				w.Header().Set(testHeaders.Seal, "seal-"+s.server)
				w.Header().Set(testHeaders.RequestID, s.id)
				_, _ = io.WriteString(w, eventsText(1, 2)+"id: 3\n"[:split%7])
				_ = http.NewResponseController(w).Flush()
				time.Sleep(soundSilence + a)
				text := eventsText(3, last)[split%7:]
				_, _ = io.WriteString(w, text)
			}
			second := func(w http.ResponseWriter, r *http.Request, s seen) {
				w.Header().Set(testHeaders.Seal, "seal-"+s.server)
				w.Header().Set(testHeaders.RequestID, s.id)
				n, _ := strconv.Atoi(s.lastEvent)
				time.Sleep(b)
				part(w, n+1)
			}
			s := newSite(t, streamRoute(true), first, second)
			s.preferFirst()
			if got := s.patientPost("id"); got.err != nil || got.body != eventsText(1, last) {
				t.Errorf("the caller got %q, %v", got.body, got.err)
			}
			if n := s.relay.Servers.Snapshot().Member("server-0").InFlight() + s.relay.Servers.Snapshot().Member("server-1").InFlight(); n != 4 {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Guards against runs that go on after the caller left.
func TestBothRunsGoOnAfterTheCallerLeft(t *testing.T) {
	t.Parallel()
	silent := func(w http.ResponseWriter, r *http.Request, s seen) {
		w.Header().Set(testHeaders.Seal, "seal-"+s.server)
		w.Header().Set(testHeaders.RequestID, s.id)
		if s.server == "server-0" {
			_, _ = io.WriteString(w, eventsText(1, 2))
			_ = http.NewResponseController(w).Flush()
		}
		<-r.Context().Done()
	}
	s := newSite(t, streamRoute(true), silent, silent)
	s.preferFirst()
	ctx, cancel := context.WithTimeout(t.Context(), soundSilence+400*time.Millisecond)
	defer cancel()
	r := s.request(ctx, http.MethodPost, "/p/x", "id", "x")
	r.Header.Set(testHeaders.Deadline, "5000")
	s.do(r)
	if len(s.arrivals()) != 2 {
		t.Fatal("no hedge")
	}
	for _, a := range s.arrivals() {
		select {
		case <-a.disconnected:
		case <-time.After(400 * time.Millisecond):
			t.Errorf("%s still works", a.server)
		}
	}
}
