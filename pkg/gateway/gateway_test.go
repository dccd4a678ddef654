package gateway

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"martenwheel.dev/pkg/traffic"
)

func TestChatCompletionWhole(t *testing.T) {
	engine := startEngine(t, 3)
	dispatcher := engine.dispatcher()
	_, url := startGateway(t, Config{Dispatcher: dispatcher})

	got := chat(t, url, chatBody("glaze-7b", "cone-6", false),
		map[string]string{HeaderRequestID: "req-1"})
	if got.status != http.StatusOK || !strings.Contains(string(got.body), "cone-6 cone-6 cone-6") {
		t.Fatalf("status %d, body %s", got.status, got.body)
	}
	if got.header.Get(HeaderRequestID) != "req-1" {
		t.Errorf("echoed request ID is %q, want req-1", got.header.Get(HeaderRequestID))
	}
	if kinds := dispatcher.kinds(); len(kinds) != 1 || kinds[0] != traffic.OutcomeServed {
		t.Errorf("outcomes %v", kinds)
	}
	if tokens := dispatcher.outcomes[0].Tokens; tokens != 3 {
		t.Errorf("outcome with %d tokens, want 3", tokens)
	}
}

func TestChatCompletionStreamed(t *testing.T) {
	engine := startEngine(t, 50)
	_, url := startGateway(t, Config{Dispatcher: engine.dispatcher()})

	got := chat(t, url, chatBody("glaze-7b:studio-3", "ash", true), nil)
	if got.status != http.StatusOK || got.header.Get("Content-Type") != "text/event-stream" {
		t.Fatalf("status %d, header %v, body %s", got.status, got.header, got.body)
	}
	checkStream(t, got.body, "ash", 50)
}

func TestModels(t *testing.T) {
	_, url := startGateway(t, Config{Dispatcher: &fakeDispatcher{}})
	client := newClient(t)
	response, err := client.Get(url + "/v1/models")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var list modelList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	if len(list.Data) != len(testCatalog) || list.Data[1].Parent != "glaze-7b" {
		t.Errorf("models %+v", list)
	}
	for path, status := range map[string]int{
		"/v1/models/glaze-7b:studio-3":   http.StatusOK,
		"/v1/models/glaze-7b%3Astudio-3": http.StatusOK,
		"/v1/models/kiln":                http.StatusNotFound,
		"/v1/nothing":                    http.StatusNotFound,
	} {
		response, err := client.Get(url + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != status {
			t.Errorf("GET %s: status %d, want %d", path, response.StatusCode, status)
		}
	}
}
