package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic"
)

// TestMarkedContents runs many concurrent callers on reused connections, with and
// without streaming. Streams break and are resumed, answers are mixed up or
// truncated, and callers hang up. Each caller must get its own complete answer or
// an error.
func TestMarkedContents(t *testing.T) {
	const (
		callers  = 64
		requests = 25
		tokens   = 12
	)
	engineServer := startEngine(t, tokens)
	var serial atomic.Int64
	engineServer.intercept = func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		mark, stream := markOf(body)
		id := r.Header.Get(engine.HeaderRequestID)
		fault := serial.Add(1) % 10
		switch {
		case fault == 1 && stream && r.Header.Get(engine.HeaderResumeFrom) == "":
			answerHeader(w, r, "text/event-stream")
			_, _ = io.WriteString(w, tokenEvent(id, mark, 0)+tokenEvent(id, mark, 1))
			w.(http.Flusher).Flush()
			abort()
		case fault == 2 && !stream:
			answerHeader(w, r, "application/json")
			_, _ = io.WriteString(w, wholeBody("other", "clay", tokens))
			return true
		case fault == 3 && !stream:
			answerHeader(w, r, "application/json")
			_, _ = io.WriteString(w, wholeBody(id, mark, tokens)[:60])
			return true
		}
		return false
	}
	dispatcher := &fakeDispatcher{targets: []traffic.Target{engineServer.target()}, retries: 3}
	_, url := startGateway(t, Config{Dispatcher: dispatcher})
	client := newClient(t)

	group := pool.New().WithErrors()
	for caller := range callers {
		group.Go(func() error {
			for number := range requests {
				mark := fmt.Sprintf("m%d-%d", caller, number)
				if err := markedRequest(client, url, mark, number); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	served := 0
	for _, kind := range dispatcher.kinds() {
		if kind == traffic.OutcomeServed {
			served++
		}
	}
	t.Logf("%d attempts, %d served", len(dispatcher.kinds()), served)
}

// markedRequest sends one request and checks that the answer is complete and
// carries mark.
func markedRequest(client *http.Client, url, mark string, number int) error {
	url += "/v1/chat/completions"
	if number%5 == 4 {
		return hangUpEarly(client, url, mark)
	}
	stream := number%2 == 0
	got, err := tryPost(client, url, chatBody("glaze-7b", mark, stream), nil)
	if err != nil {
		return err
	}
	if got.status != http.StatusOK {
		if strings.Contains(string(got.body), "no retry") {
			return nil // each allowed retry hit a fault, so an error is correct
		}
		return fmt.Errorf("status %d: %s", got.status, got.body)
	}
	if !stream {
		if want := strings.Repeat(mark+" ", 12); !strings.Contains(string(got.body), `"`+want+`"`) {
			return fmt.Errorf("answer to %s: %s", mark, got.body)
		}
		return nil
	}
	result, err := readStream(got.body)
	if err != nil {
		return err
	}
	return checkTokens(result, mark, 12)
}

// hangUpEarly hangs up in the middle of a stream.
func hangUpEarly(client *http.Client, url, mark string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(chatBody("glaze-7b", mark, true)))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 10)
	_, err = response.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
