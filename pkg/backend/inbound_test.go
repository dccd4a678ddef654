package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// memberThatGets returns a member whose connections bring what answer writes, after the first request.
func memberThatGets(answer func(w io.Writer)) *Member {
	return newMember(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			serve(far, "")
			answer(far)
		}()
		return near, nil
	})
}

// Guards against a connection that reads a head, or what comes in its place, without a bound.
func TestHeadsAreBounded(t *testing.T) {
	for name, again := range map[string]string{
		"line": "a", "lines": "X: a\r\n", "status line": "HTTP/1.1 200 ", "informational heads": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		begin := "HTTP/1.1 200 OK\r\nX-Begin: "
		if strings.HasPrefix(again, "HTTP") {
			begin = ""
		}
		m := memberThatGets(func(w io.Writer) {
			_, err := io.WriteString(w, begin)
			for err == nil {
				_, err = io.WriteString(w, strings.Repeat(again, 100))
			}
		})
		_, err := m.Send(t.Context(), &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}, func() error { return nil })
		if !errors.Is(err, ErrNoAnswer) {
			t.Errorf("%s: %v", name, err)
		}
		if got := ReceivedBytes(err); got == 0 || got > maxHeadBytes+readBufferBytes {
			t.Errorf("%s: the error tells %d bytes", name, got)
		}
		for openConnections(m) > 0 { // the read loop closes the connection after it has passed the error on
			time.Sleep(time.Millisecond)
		}
	}
}

// openConnections returns the number of open connections to a server.
func openConnections(m *Member) int {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.pool.open
}

// Guards against a bound that counts what belongs to the body, or to an earlier head.
func TestBoundOfHeadsSparesBodies(t *testing.T) {
	lines := strings.Repeat("\n", 2*maxHeadBytes)
	answer := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", maxHeadBytes/2) + "\r\nContent-Length: 32768\r\n\r\n" + lines
	m := newMember(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go serve(far, answer, answer, answer)
		return near, nil
	})
	for range 3 {
		if got := exchangeWith(t, m); got != lines {
			t.Fatalf("%d bytes of %d", len(got), len(lines))
		}
		waitIdle(t, m)
	}
}

// Guards against heads of many short lines, each of which takes far more memory than it has bytes.
func TestLinesOfHeadsAreBounded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X:\r\n", maxHeadLines+1) + "Content-Length: 0\r\n\r\n"
	m := memberThatGets(func(w io.Writer) { _, _ = io.WriteString(w, head) })
	_, err := m.Send(t.Context(), &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}, func() error { return nil })
	if !errors.Is(err, ErrNoAnswer) || !strings.Contains(err.Error(), errHeadTooLong.Error()) {
		t.Fatal(err)
	}
}

// Guards against heads that stay short of their end and keep the memory of many short lines.
func TestLinesOfUnfinishedHeadsAreBounded(t *testing.T) {
	begin := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X:\r\n", (readBufferBytes+maxHeadBytes/2)/len("X:\r\n"))
	m := memberThatGets(func(w io.Writer) { _, _ = io.WriteString(w, begin) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := m.Send(ctx, &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}, func() error { return nil })
	if !errors.Is(err, ErrMalformed) || ReceivedBytes(err) > 2*readBufferBytes {
		t.Fatal(err)
	}
}

// Guards against a response to another request that is skipped for as long as it lasts.
func TestSkippedResponsesAreBounded(t *testing.T) {
	m := memberThatGets(func(w io.Writer) {
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n")
		for err == nil {
			_, err = w.Write(make([]byte, 1<<20))
		}
	})
	message := &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n"), IsAnswer: func(http.Header) bool { return false }}
	_, err := m.Send(t.Context(), message, func() error { return nil })
	if !errors.Is(err, ErrNoAnswer) || !strings.Contains(err.Error(), errForeignTooLong.Error()) {
		t.Fatal(err)
	}
}

// Guards against requests that are sent on connections on which more than the response had come.
func TestConnectionsWithSurplusBytesAreNotReused(t *testing.T) {
	for answer, usable := range map[string]bool{good: true, good + "surplus": false} {
		near, far := net.Pipe()
		go serve(far, answer)
		c, err := newMember(func(context.Context, string) (net.Conn, error) { return near, nil }).pool.connect(t.Context(), false, false)
		if err != nil {
			t.Fatal(err)
		}
		x := &exchange{message: &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")},
			answers: make(chan headerResult, 1), done: make(chan bool, 1), reserved: make(chan bool, 1)}
		a, err := c.exchangeMessage(t.Context(), x)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(a); err != nil {
			t.Fatal(err)
		}
		a.Close()
		if got := <-x.reserved; got != usable {
			t.Errorf("%q: usable %v", answer, got)
		}
	}
}

// Guards against a server that crashed and is taken for one that lives, as the last it sent was malformed.
func TestBUDGETOfServersThatEndWithinMalformedAnswers(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{"no answer\r\n", "HTTP/1.1 200 OK\r\nno header\r\n\r\n", chunked + "no size\r\n"} {
		for _, ends := range []bool{true, false} {
			m := newMember(func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					serve(far, text)
					if ends {
						far.Close()
					}
				}()
				return near, nil
			})
			a, err := m.Send(t.Context(), &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n")}, func() error { return nil })
			if err == nil {
				_, err = io.ReadAll(a)
				a.Close()
			}
			if err == nil || errors.Is(err, ErrMalformed) == ends {
				t.Errorf("%q, the server ends %v: %v", text, ends, err)
			}
		}
	}
}
