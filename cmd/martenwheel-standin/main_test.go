package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

func TestFlags(t *testing.T) {
	cases := []struct {
		arguments string
		wantError string // substring of the error; empty for none
	}{
		{"platform", ""},
		{"engine --id=a1 --listen=127.0.0.1:9000 --platform=127.0.0.1:8000 --memory=1000 --unload-time=2s", ""},
		{"", "platform or engine"},
		{"engine", "--id missing"},
		{"engine --id=a1 --listen=localhost:9000", "localhost"},
		{"engine --id=a1 --unload-time=2", "unit"},
	}
	for _, test := range cases {
		options := newOptions()
		err := options.parse(strings.Fields(test.arguments))
		if (err == nil) != (test.wantError == "") || err != nil && !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%q: error %v, want %q", test.arguments, err, test.wantError)
		}
	}
}

func TestStandinAnnouncesItsAddressAndStopsOnSIGTERM(t *testing.T) {
	for _, arguments := range []string{"platform", "engine --id=a1"} {
		t.Run(arguments, func(t *testing.T) {
			reader, writer := io.Pipe()
			exit := make(chan int, 1)
			var logs bytes.Buffer
			go func() { exit <- run(strings.Fields(arguments), writer, &logs) }()
			var ready announcement
			if err := json.NewDecoder(reader).Decode(&ready); err != nil {
				t.Fatal(err)
			}
			response, err := http.Get("http://" + ready.Address + "/standin/v1/faults")
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v", response, err)
			}
			response.Body.Close()
			if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if code := <-exit; code != exitStopped {
				t.Errorf("exit code %d", code)
			}
			for _, line := range strings.Split(strings.TrimSpace(logs.String()), "\n") {
				if !json.Valid([]byte(line)) {
					t.Errorf("log line %q is not JSON", line)
				}
			}
		})
	}
}
