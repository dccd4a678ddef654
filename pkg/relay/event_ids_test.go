package relay

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against an ID of any length that is sent to the next server.
func TestFAULTOfEventIDsOfAnyLength(t *testing.T) {
	id := strings.Repeat("9", 200_000)
	longID := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "30d52\r\nid: "+id+"\ndata: piece\n\n\r\n") // 200,018 bytes
		time.Sleep(50 * time.Millisecond)                                       // a reset may take away what has not been read
		resetConnection(conn)
	}
	s := newSite(t, streamRoute(true), events(3, 8, longID), events(8, 8, nil))
	s.relay.Servers.Snapshot().Member("server-1").Failed(time.Now())
	got := s.post("id", "x")
	if got.err != nil || got.body != eventsText(1, 8) {
		t.Errorf("the caller got %d bytes: %.200q, %v", len(got.body), got.body, got.err)
	}
	arrived := s.arrivals()
	if len(arrived) != 2 || arrived[1].lastEvent != "3" {
		t.Errorf("the servers got %d requests, the last after the event %.20q", len(arrived), arrived[len(arrived)-1].lastEvent)
	}
}

// Guards against a limit that falls within an event, or that an ID that a caller may send back meets.
func TestScanEventsWithLongIDs(t *testing.T) {
	const first = "id: 1\ndata: x\n\n"
	longest := "id: " + strings.Repeat("9", maxEventIDBytes)
	for name, row := range map[string]struct {
		b    string
		want wholeEvents
	}{
		"the longest": {first + longest + "\n\n", wholeEvents{len(first + longest + "\n\n"), 2, longest[len("id: "):]}},
		"too long":    {first + longest + "9\n\n" + first, wholeEvents{len(first), 1, "1"}},
		"spaces":      {"id: " + strings.Repeat(" ", maxEventIDBytes) + "1\n\n", wholeEvents{len(longest + "1\n\n"), 1, "1"}},
	} {
		if got := scanEvents([]byte(row.b)); got != row.want {
			t.Errorf("%s: %d bytes, %d events, ID of %d bytes", name, got.size, got.count, len(got.lastID))
		}
	}
}
