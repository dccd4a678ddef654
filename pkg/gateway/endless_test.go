package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martenwheel.dev/pkg/engine"
)

// endlessBytes is how much an engine sends that sends without end.
const endlessBytes = 64 << 20

// sendEndlessly sends a text again and again, until the gateway closes the connection or endlessBytes are sent, and adds
// them to sent.
func sendEndlessly(w http.ResponseWriter, text string, sent *atomic.Int64) {
	piece := []byte(strings.Repeat(text, max(1, (32<<10)/len(text))))
	for sent.Load() < endlessBytes {
		n, err := w.Write(piece)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a gateway that keeps all that an engine sends before its first token.
func TestFAULTOfCommentsBeforeTheFirstEventWithoutEnd(t *testing.T) {
	var sent atomic.Int64
	e := startEngine(t, 1)
	e.intercept = func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
		w.Header().Set("Content-Type", mimeEventStream)
		w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
		sendEndlessly(w, ": still at it\n\n", &sent)
		return true
	}
	_, url := startGateway(t, Config{Dispatcher: e.dispatcher()})
	got := chat(t, url, chatBody(glaze, "ash", true), nil)
	t.Logf("%d MB sent, answered %d", sent.Load()/1e6, got.status)
	if sent.Load() >= endlessBytes {
		t.Error("FAULT: the gateway takes all that comes before the first event")
	}
}

// Guards against a gateway that holds as many long answers as engines send at once.
func TestFAULTOfWholeAnswersAtOnce(t *testing.T) {
	const (
		callers = 16
		size    = 4 << 20
		limit   = 16 << 20
	)
	for name, ends := range map[string]bool{"stalled": false, "not read by their callers": true} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, callers) // an answer was sent, or its connection closed
			e := startEngine(t, 1)
			e.intercept = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				id := r.Header.Get(engine.HeaderRequestID)
				w.Header().Set("Content-Type", "application/json")
				w.Header().Set(engine.HeaderRequestID, id)
				begin, end := fmt.Sprintf(`{"id":"chatcmpl-%s","text":"`, id), `"}`
				w.Header().Set("Content-Length", strconv.Itoa(len(begin)+size+len(end)))
				piece := []byte(strings.Repeat("a", 32<<10))
				_, err := io.WriteString(w, begin)
				for left := size; err == nil && left > 0; left -= len(piece) {
					_, err = w.Write(piece)
				}
				if err == nil && ends {
					_, err = io.WriteString(w, end)
				}
				_ = http.NewResponseController(w).Flush()
				sent <- struct{}{}
				if err == nil && !ends {
					<-r.Context().Done()
				}
				return true
			}
			_, url := startGateway(t, Config{Dispatcher: e.dispatcher(), Limits: Limits{HeldAnswerBytes: limit, Resumes: -1}})
			before := liveBytes()
			for range callers {
				conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				body := chatBody(glaze, "ash", false)
				_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if err != nil {
					t.Fatal(err)
				}
			}
			for range callers {
				<-sent
			}
			held := int64(liveBytes()) - int64(before)
			t.Logf("%d kB held for %d callers", held/1e3, callers)
			if held > limit+callers*256<<10 {
				t.Errorf("FAULT: %d bytes are held", held)
			}
		})
	}
}

// liveBytes returns the size of the heap without garbage, once nothing adds to it.
func liveBytes() uint64 {
	const settled = 64 << 10
	var before, now runtime.MemStats
	for range 100 {
		runtime.GC()
		runtime.ReadMemStats(&now)
		if max(now.HeapAlloc, before.HeapAlloc)-min(now.HeapAlloc, before.HeapAlloc) < settled {
			break
		}
		before = now
		time.Sleep(20 * time.Millisecond)
	}
	return now.HeapAlloc
}
