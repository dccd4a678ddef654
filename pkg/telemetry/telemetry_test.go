package telemetry

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestLoggerWritesOneJSONObjectALine(t *testing.T) {
	var output bytes.Buffer
	logger, err := NewLogger(LogOptions{Name: "martenwheel", Node: "node-a", Level: "info", Output: &output})
	if err != nil {
		t.Fatal(err)
	}
	logger.Debug("below the level")
	logger.Info("two\nlines", FieldRequestID, "r1", FieldModel, "glaze-7b", FieldRevision, 7)
	lines := strings.Split(strings.TrimSuffix(output.String(), "\n"), "\n")
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1: %q", len(lines), lines)
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &fields); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"node": "node-a", "request_id": "r1", "model": "glaze-7b", "revision": 7.0, "@message": "two\nlines"}
	for name, value := range want {
		if fields[name] != value {
			t.Errorf("field %s is %v, want %v", name, fields[name], value)
		}
	}
}

func TestUnknownLevelIsRefused(t *testing.T) {
	for _, level := range []string{"", "loud", "0"} {
		if _, err := NewLogger(LogOptions{Level: level}); err == nil {
			t.Errorf("level %q was accepted", level)
		}
	}
}

func TestRegistryHasBuildAndProcessMetrics(t *testing.T) {
	registry := NewRegistry(BuildInfo{Version: "1.2", Node: "node-a", Zone: "z1", Region: "uy-south"})
	for _, name := range []string{"martenwheel_build_info", "go_goroutines", "process_cpu_seconds_total"} {
		count, err := testutil.GatherAndCount(prometheus.Gatherer(registry), name)
		if err != nil || count != 1 {
			t.Errorf("metric %s: %d found, error %v", name, count, err)
		}
	}
}
