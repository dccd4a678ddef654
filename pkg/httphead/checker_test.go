package httphead_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"martenwheel.dev/pkg/httphead"
)

// checkAll checks a text in pieces of the given size and returns the error of the last one.
func checkAll(text []byte, size int) (err error) {
	var c httphead.Checker
	for len(text) > 0 && err == nil {
		n := min(size, len(text))
		err = c.Check(text[:n])
		text = text[n:]
	}
	return err
}

// Guards against a verdict that depends on how the bytes arrive, or on what follows a head.
func TestVerdictDependsOnThePieces(t *testing.T) {
	const head = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nFoo: x\r\n\r\n"
	for text, sound := range map[string]bool{
		head:                     true,
		head + "Foo Bar\x00\n\n": true, // a body
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nFoo : x\r\n\r\n":                   false,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1<<20):     false, // a line without end
	} {
		for size := 1; size <= len(head); size++ {
			if err := checkAll([]byte(text), size); (err == nil) != sound {
				t.Errorf("%.60q in pieces of %d: %v", text, size, err)
			}
		}
	}
}

// FuzzCheckedHeadIsReadAsItStands guards against heads that pass and that net/http reads as something else.
func FuzzCheckedHeadIsReadAsItStands(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nFoo: x\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.0 200\nFoo:\n\n", "HTTP/1.1 200 OK\r\nFoo : x\r\n\r\n",
		"HTTP/1.1 200 OK\r\n Foo: x\r\n\r\n", "HTTP/1.1 200 OK\r\nFoo: x\r\n y\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 \xe9\r\nFoo: \xe9\r\n\r\n", "HTTP/1.1 200 OK\r\nFoo: x\ry\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		err := checkAll(text, len(text)+1)
		if bytewise := checkAll(text, 1); (err == nil) != (bytewise == nil) {
			t.Fatalf("%v, but %v byte by byte", err, bytewise)
		}
		response, readErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
		if err != nil || readErr != nil {
			return
		}
		if line, _, _ := bytes.Cut(text, []byte{'\n'}); !strings.HasPrefix(string(line[len("HTTP/1.x "):]), response.Status[:3]) ||
			response.StatusCode < 100 || response.StatusCode > 599 || response.ProtoMajor != 1 {
			t.Errorf("%q was read as status %d of %s", line, response.StatusCode, response.Proto)
		}
		names := 0
		for name, values := range response.Header {
			names += len(values)
			if !httphead.IsToken([]byte(name)) || strings.ContainsAny(strings.Join(values, ""), "\r\n\x00") {
				t.Errorf("field %q: %q", name, values)
			}
		}
		head, _, _ := strings.Cut(strings.ReplaceAll(string(text), "\r\n", "\n"), "\n\n")
		if lines := strings.Count(head, "\n"); names > lines {
			t.Errorf("%d fields of %d lines", names, lines)
		}
	})
}
