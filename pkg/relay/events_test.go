package relay

import (
	"bytes"
	"cmp"
	"testing"
	"time"
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

// FuzzEventScanner guards against events that are found otherwise when their stream arrives in many pieces.
func FuzzEventScanner(f *testing.F) {
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\nid: 3\rdata\r\r: c\n\n"), 1)
	f.Add([]byte("\r\n\r\n\r\r\n\n"), 3)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		if piece < 1 || piece > len(b) {
			return
		}
		want := scanEvents(b)
		var got wholeEvents
		var scanner eventScanner
		var kept []byte
		for rest := b; len(rest) > 0; {
			n := min(piece, len(rest))
			kept, rest = append(kept, rest[:n]...), rest[n:]
			found := scanner.scan(kept)
			kept = append([]byte(nil), kept[found.size:]...)
			got = wholeEvents{got.size + found.size, got.count + found.count, cmp.Or(found.lastID, got.lastID)}
		}
		if got != want {
			t.Errorf("%q in pieces of %d: %+v, whole %+v", b, piece, got, want)
		}
	})
}

// Guards against a stream whose cost grows with the square of the length of an event.
func TestLinesOfAnEventAreScannedOnce(t *testing.T) {
	var scanner eventScanner
	event := bytes.Repeat([]byte("data: x\n"), 1000)
	if found := scanner.scan(event); found.size != 0 || scanner.read != len(event) {
		t.Errorf("found %+v, %d of %d bytes were read", found, scanner.read, len(event))
	}
	event = append(event, "id: 9\n\nid: 10\n"...)
	if found := scanner.scan(event); found != (wholeEvents{len(event) - 7, 1, "9"}) || scanner.read != 7 {
		t.Errorf("found %+v, %d bytes of the next event were read", found, scanner.read)
	}
}

// Guards against lines whose cost grows with the square of their number, as no LF ends them.
func TestFAULTOfLinesThatEndWithCR(t *testing.T) {
	took := func(lines int) time.Duration {
		comments := bytes.Repeat([]byte(":\r"), lines)
		least := time.Hour
		for range 5 {
			began := time.Now()
			if isWithinEvent(comments) {
				t.Error("comments are an event")
			}
			least = min(least, time.Since(began))
		}
		return least
	}
	if few, many := took(8<<10), took(128<<10); many > 64*few {
		t.Errorf("%v for 16 times the lines that take %v", many, few)
	}
}

// Guards against lines that are read again with each piece of their event.
func TestLinesThatWereReadAreNotReadAgain(t *testing.T) {
	var scanner eventScanner
	event := bytes.Repeat([]byte("data: x\n"), 1000)
	scanner.scan(event)
	copy(event, bytes.Repeat([]byte{'\n'}, len(event))) // would be empty lines, which end events
	if found := scanner.scan(append(event, "data: y\n"...)); found.size != 0 {
		t.Errorf("found %+v", found)
	}
}
