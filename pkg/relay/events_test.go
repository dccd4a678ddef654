package relay

import (
	"bytes"
	"cmp"
	"testing"
)

func TestScanEvents(t *testing.T) {
	for b, want := range map[string]wholeEvents{
		"":                              {},
		"data: x":                       {},
		"data: x\n":                     {},
		"data: x\n\n":                   {9, 1, ""},
		"id: 7\r\ndata: x\r\n\r\ndata":  {18, 1, "7"},
		"id: 7\rdata: x\r\rdata: y\r\r": {24, 2, "7"},
		"id: 7\ndata: x\n\n: hello\n\nid:8\ndata\n": {24, 1, "7"},
		"data: x\r\n\r": {10, 1, ""},
		"\n\n":          {2, 0, ""},
	} {
		if got := scanEvents([]byte(b)); got != want {
			t.Errorf("%q: %+v, want %+v", b, got, want)
		}
	}
}

// FuzzScanEventsInPieces guards against events that are lost or counted twice where a read ends.
func FuzzScanEventsInPieces(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 3\rdata\r\r: c\n\n"), 5)
	f.Add([]byte("\r\n\r\n\r\r\n\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, at int) {
		if at < 0 || at > len(b) {
			return
		}
		whole := scanEvents(b)
		first := scanEvents(b[:at])
		second := scanEvents(bytes.Clone(b[first.size:]))
		if first.size+second.size != whole.size || first.count+second.count != whole.count {
			t.Errorf("%q in two pieces, cut at %d: %+v and %+v, whole %+v", b, at, first, second, whole)
		}
		if id := cmp.Or(second.lastID, first.lastID); id != whole.lastID {
			t.Errorf("%q in two pieces, cut at %d: last ID %q, whole %q", b, at, id, whole.lastID)
		}
	})
}
