package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// readAll returns copies of all events of source and the final error.
func readAll(source io.Reader, maxEvent int) ([]string, error) {
	reader := NewReader(source, maxEvent)
	var events []string
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

func TestNext(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		events []string
		err    error
	}{
		{"empty", "", nil, io.EOF},
		{"one", "data: a\n\n", []string{"data: a\n\n"}, io.EOF},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"data: a\r\n\r\n", "data: b\r\n\r\n"}, io.EOF},
		{"several lines", "event: x\ndata: a\n\n", []string{"event: x\ndata: a\n\n"}, io.EOF},
		{"comment", ": still here\n\ndata: a\n\n", []string{": still here\n\n", "data: a\n\n"}, io.EOF},
		{"cut in a line", "data: a\n\ndata: b", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"cut before the blank line", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"too large", "data: " + strings.Repeat("x", 10_000) + "\n\n", nil, ErrEventTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			events, err := readAll(strings.NewReader(test.stream), 9_000)
			if !errors.Is(err, test.err) || strings.Join(events, "|") != strings.Join(test.events, "|") {
				t.Errorf("events %q, error %v; want %q, %v", events, err, test.events, test.err)
			}
		})
	}
}

// TestSplits checks that events do not depend on how the bytes are split between
// reads.
func TestSplits(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20)
	properties := gopter.NewProperties(parameters)
	properties.Property("same events byte by byte and at once", prop.ForAll(
		func(lines []string) bool {
			stream := strings.Join(lines, "\n")
			whole, wholeErr := readAll(strings.NewReader(stream), 1<<20)
			split, splitErr := readAll(iotest.OneByteReader(strings.NewReader(stream)), 1<<20)
			return wholeErr == splitErr && strings.Join(whole, "|") == strings.Join(split, "|")
		},
		gen.SliceOf(gen.OneConstOf("", "", "data: x", "\r", "data: "+strings.Repeat("y", 9000), ": c")),
	))
	properties.TestingRun(t)
}

func TestData(t *testing.T) {
	cases := []struct {
		event string
		data  string
		found bool
	}{
		{"data: [DONE]\n\n", "[DONE]", true},
		{"data:x\r\n\r\n", "x", true},
		{"event: a\ndata: x\n\n", "x", true},
		{"data: x\ndata: y\n\n", "", true},
		{": comment\n\n", "", false},
		{"\n", "", false},
	}
	for _, test := range cases {
		data, found := Data([]byte(test.event))
		if string(data) != test.data || found != test.found {
			t.Errorf("Data(%q) = %q, %t", test.event, data, found)
		}
	}
}

// FuzzReader checks that the events together are a prefix of the stream, byte for
// byte.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{"", "data: a\n\n", "data: a\r\n\r\n: c\n\n", "\n\n\n", "\r\n\n", "data: [DONE]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := NewReader(iotest.HalfReader(bytes.NewReader(stream)), 1<<20)
		var joined []byte
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			Data(event)
			joined = append(joined, event...)
		}
		if !bytes.HasPrefix(stream, joined) {
			t.Errorf("events %q are not a prefix of %q", joined, stream)
		}
	})
}
