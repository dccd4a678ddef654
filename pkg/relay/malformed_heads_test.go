package relay

import (
	"net/http"
	"testing"

	"martenwheel.dev/pkg/route"
)

const (
	headerLines = "X-Id: {id}\r\nX-Seal: s\r\n"
	soundAnswer = "HTTP/1.1 200 OK\r\n" + headerLines + "Content-Length: 5\r\nConnection: close\r\n\r\nsound"
)

// badStatusLines are no status lines of HTTP/1.x with a status of 100 to 599.
var badStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 001 OK", "HTTP/1.1 042 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
	"HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20x OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 OK",
	"HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x01K", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "",
}

// Guards against an answer whose status is none, and that callers get, or behind which they get another one.
func TestMIXEDAnswerWithABadStatusIsPassedOn(t *testing.T) {
	for _, line := range badStatusLines {
		for form, answer := range map[string]string{
			"with a length":      headerLines + "Content-Length: 3\r\n\r\nbad",
			"without length":     headerLines + "\r\nbad",
			"before a sound one": headerLines + "\r\n" + soundAnswer,
			"an empty head":      "\r\n" + soundAnswer,
		} {
			expectMalformed(t, line+", "+form, line+"\r\n"+answer)
		}
	}
}

// expectMalformed checks that callers of routes of all kinds get no answer that a server sent, and that it is sought elsewhere.
func expectMalformed(t *testing.T, name, answer string) {
	t.Helper()
	for kind, r := range uploadRoutes {
		t.Run(name+", "+kind, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, r, raw(answer))
			if got := s.post("id", "x"); got.err == nil && got.status != http.StatusBadGateway {
				t.Errorf("MIXED: the caller got %d %q", got.status, got.body)
			}
		})
	}
	t.Run(name+", another server", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, route.Route{Kind: route.Safe, MaxAttempts: 2}, raw(answer), sealed(http.StatusOK, "good"))
		s.preferFirst()
		if got := s.post("id", "x"); got.err != nil || got.status != http.StatusOK || got.body != "good" {
			t.Errorf("the caller got %d %q, %v", got.status, got.body, got.err)
		}
	})
}

// Guards against sound answers that a strict reading of their status lines refuses.
func TestSoundStatusLinesAreRefused(t *testing.T) {
	const body = headerLines + "Content-Length: 5\r\n\r\nsound"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + body, "HTTP/1.1 200 \r\n" + body, "HTTP/1.1 200\r\n" + body, "HTTP/1.0 200 OK\r\n" + body, "HTTP/1.1 200 Alright, \xe9t\xe9\tit is\r\n" + body,
		"HTTP/1.1 200 OK\nX-Id: {id}\nX-Seal: s\nContent-Length: 5\n\nsound",
		"HTTP/1.1 100 Continue\r\n\r\n" + soundAnswer, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199\r\n\r\n" + soundAnswer,
	} {
		t.Run(answer, func(t *testing.T) {
			t.Parallel()
			expectSound(t, answer)
		})
	}
}

// expectSound checks that callers of routes of all kinds get an answer with the body "sound".
func expectSound(t *testing.T, answer string) {
	t.Helper()
	for kind, r := range uploadRoutes {
		s := newSite(t, r, raw(answer))
		if got := s.post("id", "x"); got.err != nil || got.status != http.StatusOK || got.body != "sound" {
			t.Errorf("%s: the caller got %d %q, %v", kind, got.status, got.body, got.err)
		}
	}
}

// badHeaderLines are no fields, or continue the line before in the obsolete way, for which RFC 9112 lets a gateway refuse them.
var badHeaderLines = []string{
	"Foo Bar: x", "Foo : x", "Foo\t: x", "Foo\tBar: x", "Foo\x00: x", "Foo\x01Bar: x", "\x1fFoo: x", "Foo\x7f: x", "F\xe9: x", `"Foo": x`, "Foo(1): x",
	": x", " : x", "Foo", " Foo: x", "\tFoo: x", " x", "X-Odd: a\x00b", "X-Odd: a\rb", "X-Odd: \x1b", "Content-Length : 3", "Content Length: 3", " Content-Length: 3",
	"Content-Encoding : gzip", "Transfer-Encoding : chunked", "Transfer Encoding: chunked", "X-Id : other", "Connection : close",
}

// Guards against an answer with a line that is no field, which callers get with that line or without what it says of the body.
func TestMIXEDAnswerWithABadFieldIsPassedOn(t *testing.T) {
	const status, body, chunks = "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n\r\nbad", "\r\n3\r\nbad\r\n0\r\n\r\n"
	for _, line := range badHeaderLines {
		for form, answer := range map[string]string{
			"first":          status + line + "\r\n" + headerLines + body,
			"last":           status + headerLines + line + "\r\n" + body,
			"bare line end":  status + headerLines + line + "\n" + body,
			"without length": status + headerLines + line + "\r\n\r\nbad",
			"before chunks":  status + headerLines + line + chunks,
			"before events":  status + headerLines + "Content-Type: text/event-stream\r\n" + line + "\r\n\r\n" + eventsText(1, 3),
			"early":          "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + soundAnswer,
		} {
			expectMalformed(t, line+", "+form, answer)
		}
	}
}

// Guards against the frames of chunks as a body: HTTP/1.0 has none, so that the framing is faulty (RFC 9112, section 6.1).
func TestMIXEDChunksOfHTTP10ArePassedOn(t *testing.T) {
	expectMalformed(t, "chunks", "HTTP/1.0 200 OK\r\n"+headerLines+"Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n")
	expectMalformed(t, "with a length", "HTTP/1.0 200 OK\r\n"+headerLines+"transfer-encoding: chunked\r\nContent-Length: 3\r\n\r\nbad")
}

// Guards against sound answers that a strict reading of their fields refuses.
func TestSoundFieldsAreRefused(t *testing.T) {
	for _, line := range []string{
		"Foo:x", "Foo:", "Foo: ", "foo_bar!#$%&'*+-.^`|~1: x", "Foo: a\tb  c \t ", "Foo: \xe9t\xe9", "Foo: a: b : c", `Foo: "a b"; c=d`, "Foo-: x", "1: x",
	} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			expectSound(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+headerLines+line+"\r\nContent-Length: 5\r\n\r\nsound")
			expectSound(t, "HTTP/1.1 200 OK\r\n"+headerLines+line+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n")
		})
	}
}
