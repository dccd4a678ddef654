package httphead_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/httphead"
)

const uploadBytes = 4 << 20 // more than the buffers of a connection

func newClient() *http.Client {
	return &http.Client{Transport: httphead.NewTransport(&http.Transport{}), Timeout: 5 * time.Second}
}

// listen starts a server of raw answers, whose connection is answered once for each answer, and returns its URL.
func listen(t *testing.T, answer func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					answer(conn.(*net.TCPConn), request)
					if request.ContentLength > 0 {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// exchange sends a request and returns the answer's body.
func exchange(t *testing.T, client *http.Client, url, body string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// Guards against clients of the standard library that take malformed heads for answers, also on kept connections.
func TestTransportTakesMalformedHeadsForAnswers(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
	for head, whole := range map[string]bool{
		sound: true,
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + sound:                  true,
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nsound":                    false,
		"HTTP/1.1 200 OK\r\nFoo Bar: x\r\nContent-Length: 5\r\n\r\nsound":      false,
		"HTTP/1.1 200 OK\r\nA: b\r\n Foo: x\r\nContent-Length: 5\r\n\r\nsound": false,
	} {
		client := newClient()
		answers := []string{sound, head}
		url := listen(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, answers[0])
			answers = answers[1:]
		})
		if got, err := exchange(t, client, url, ""); err != nil || got != "sound" {
			t.Errorf("%q, %v", got, err)
		}
		if got, err := exchange(t, client, url, ""); (err == nil) != whole {
			t.Errorf("%q: %q, %v", head, got, err)
		}
		client.CloseIdleConnections()
	}
}

// Guards against a part of an answer that looks whole to clients of the standard library after a reset under their upload.
func TestMIXEDTransportTakesAResetForAnEnd(t *testing.T) {
	for _, after := range []time.Duration{0, 3 * time.Millisecond, 30 * time.Millisecond} {
		for range 6 {
			url := listen(t, func(conn *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(after)
				_ = conn.SetLinger(0)
			})
			client := newClient()
			if got, err := exchange(t, client, url, strings.Repeat("u", uploadBytes)); err == nil {
				t.Errorf("MIXED: %q came as whole", got)
			}
		}
	}
}

// Guards against whole answers that are lost as their upload is read late.
func TestTransportTakesAnEndForAReset(t *testing.T) {
	url := listen(t, func(conn *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	client := newClient()
	if got, err := exchange(t, client, url, strings.Repeat("u", uploadBytes)); err != nil || got != "whole" {
		t.Errorf("%q, %v", got, err)
	}
}
