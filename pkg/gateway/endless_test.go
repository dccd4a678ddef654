package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

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
