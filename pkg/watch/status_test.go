package watch

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logBuffer keeps log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines []map[string]any
}

func (l *logBuffer) Write(text []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range bytes.Lines(text) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			return 0, err
		}
		l.lines = append(l.lines, fields)
	}
	return len(text), nil
}

// with returns the lines with a message.
func (l *logBuffer) with(message string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []map[string]any
	for _, line := range l.lines {
		if line["@message"] == message {
			list = append(list, line)
		}
	}
	return list
}

// TestLogTellsWhyANodeLacksChanges cuts a node off from the store and from all others.
func TestLogTellsWhyANodeLacksChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := make(map[string]*logBuffer)
		f := startFleet(60, 100, func(h *Hub) {
			logs[h.Self.Name] = &logBuffer{}
			h.Logger = hclog.New(&hclog.LoggerOptions{Output: logs[h.Self.Name], JSONFormat: true})
		})
		f.waitSettled(t)
		time.Sleep(firstStartWait) // until then the node leaves the store to the watchers
		name := f.leaves()[0].hub.Self.Name
		log := logs[name]
		if roles := log.with("role changed"); len(roles) != 1 || roles[0]["role"] != "leaf" {
			t.Fatalf("roles of a leaf: %v", roles)
		}
		f.net.mu.Lock()
		f.net.deaf[name] = true
		f.net.mu.Unlock()
		f.store.refuse(map[string]bool{name: true})
		const outage = 4 * overdueLogInterval
		time.Sleep(outage)
		lines := log.with("table is overdue")
		if len(lines) == 0 || len(lines) > int(outage/overdueLogInterval) {
			t.Fatalf("%d lines in %v", len(lines), outage)
		}
		first := lines[0]
		for _, field := range []string{"table", "version", "age_ms", "role", "main", "main_heard_ms", "second", "store_failures", "store_pause_ms", "store_error"} {
			if first[field] == nil || first[field] == "" {
				t.Errorf("the line lacks %s: %v", field, first)
			}
		}
		if err, _ := first["store_error"].(string); !strings.Contains(err, errRefused.Error()) {
			t.Errorf("the store's error is %q", err)
		}
		if len(log.with("followed node is silent")) == 0 {
			t.Error("no line tells that the followed node was silent")
		}
		f.net.mu.Lock()
		f.net.deaf[name] = false
		f.net.mu.Unlock()
		f.store.refuse(nil)
		time.Sleep(10 * time.Second)
		if again := log.with("table is confirmed again"); len(again) != 1 {
			t.Errorf("%d lines tell that the table is confirmed again", len(again))
		}
		f.end()
	})
}
