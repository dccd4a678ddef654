package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// sendFor sends a request to a server that answers with a text, and returns status and body.
func sendFor(t *testing.T, answer string) (status int, body string, err error) {
	t.Helper()
	address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
		if readRequest(reader) {
			_, _ = io.WriteString(conn, answer)
		}
	})
	a, err := NewClient(testConfig()).Send(t.Context(), address, newRequest("x"), time.Now().Add(time.Second))
	if err != nil {
		return 0, "", err
	}
	defer a.Close(false)
	text, err := a.ReadAll(1 << 20)
	return a.Response.StatusCode(), string(text), err
}

// Guards against answers without a status, or with a line that is no field, that count as an engine's answer.
func TestMIXEDMalformedHeadIsAnAnswer(t *testing.T) {
	const status, body = "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n\r\nbad"
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 001 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1  200 OK\r\n",
		status + "Foo Bar: x\r\n", status + "Foo : x\r\n", status + " Foo: x\r\n", status + "Foo\x01: x\r\n", status + ": x\r\n", status + "X-Odd: a\x00b\r\n",
		status + "X-Odd: y\r\n Foo: x\r\n", status + "Transfer-Encoding : chunked\r\n", status + "Content-Length : 5\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		for form, rest := range map[string]string{
			"with a length": body, "without length": "\r\nbad", "chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
			"before a sound one": "\r\n" + status + body, "early": "\r\n" + status + body,
		} {
			answer := head + rest
			if form == "early" {
				answer = "HTTP/1.1 100 Continue\r\n\r\n" + answer
			}
			if got, body, err := sendFor(t, answer); err == nil {
				t.Errorf("MIXED: %q, %s: %d %q", head, form, got, body)
			}
		}
	}
}

// Guards against sound answers that a strict reading refuses.
func TestSoundHeadIsRefused(t *testing.T) {
	const body = "Content-Length: 5\r\n\r\nsound"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\n" + body, "HTTP/1.1 200\r\n" + body, "HTTP/1.0 200 OK\r\n" + body, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
		"HTTP/1.1 200 OK\r\nFoo:\r\nBar: \xe9\t1\r\n" + body, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsound",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n",
	} {
		if status, got, err := sendFor(t, answer); err != nil || status != 200 || got != "sound" {
			t.Errorf("%q: %d %q, %v", answer, status, got, err)
		}
	}
}

// Guards against a part of an answer without length that counts as whole, as its connection was reset under the request's upload.
func TestMIXEDResetUnderAnUploadLooksComplete(t *testing.T) {
	const uploadBytes = 4 << 20 // more than the buffers of a connection
	for _, after := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond} {
		address, _ := serve(t, func(conn net.Conn, reader *bufio.Reader) {
			if _, err := reader.ReadSlice('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(after)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		a, err := NewClient(testConfig()).Send(t.Context(), address, newRequest(strings.Repeat("u", uploadBytes)), time.Now().Add(time.Second))
		if err != nil {
			continue
		}
		if body, err := a.ReadAll(1 << 20); err == nil {
			t.Errorf("MIXED: %q is a whole answer", body)
		}
		a.Close(false)
	}
}
