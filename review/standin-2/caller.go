package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is what a caller sends.
type request struct {
	id, path, model string
	tokens          string // of the prompt, and the most out
	parts           string
	body            string
	deadline        time.Duration
}

// reply is what a caller gets.
type reply struct {
	status int
	seal   string
	text   string
	events int
	err    error // the connection ended without a whole answer
}

// host is the host of all routes.
const host = "site.example"

// ask sends a request to a node on a new connection and reads the answer.
func ask(rec *record, p *node, q request) reply {
	rec.add("sent      %s to %s: POST %s, model %s", q.id, p.name, q.path, q.model)
	a := exchange(p, q)
	rec.add("answered  %s by %s: status %d, %d events, whole %t, error %v", q.id, p.name, a.status, a.events, a.status > 0 && a.err == nil, a.err)
	return a
}

func exchange(p *node, q request) reply {
	conn, err := net.DialTimeout("tcp", p.front(), time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.path, host, wire("attempt"), q.id, wire("deadline"), q.deadline.Milliseconds())
	if q.model != "" {
		fmt.Fprintf(&b, "%s: %s\r\n%s: %s\r\n%s: %s\r\n", wire("model"), q.model, wire("tokens"), q.tokens, wire("prompt parts"), q.parts)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return reply{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return reply{err: err}
	}
	text, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, seal: r.Header.Get(wire("seal")), text: string(text), events: strings.Count(string(text), "\n\n"), err: err}
}
