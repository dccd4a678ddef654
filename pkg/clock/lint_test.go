package clock

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// aging are the folders in which beliefs age.
var aging = []string{
	"pkg/admission", "pkg/backend", "pkg/coordinator", "pkg/lease", "pkg/quarantine", "pkg/quota", "pkg/relay", "pkg/site",
	"pkg/storeclock", "pkg/watch", "platform",
}

// steadyUses are the lines in which the steady clock is right, and why.
var steadyUses = map[string]string{
	"pkg/lease/lease.go: due := time.Now().Add(first)":                                                                   "when a timer fires, which goes by the steady clock",
	"pkg/lease/lease.go: due = time.Now().Add(pause)":                                                                    "the same",
	"pkg/lease/lease.go: if pause, may := l.pollAfterSuspicion(); may && time.Until(due) > pause {":                                  "the same",
	"pkg/backend/conn.go: _ = c.SetReadDeadline(time.Now().Add(answerAfterReset))":                                       "deadlines of connections go by the steady clock",
	"pkg/backend/conn.go: _ = a.conn.SetReadDeadline(time.Now().Add(d)) // if the connection is closed, Read returns the error": "the same",
	`platform/run.go: Name: settings.Name, Life: time.Now().UnixNano(), Zone: settings.Zone,`:                            "numbers lives by the time of day",
	`platform/config.go: "tenants", countTenants(table), "keys", countKeys(table), "at", time.Now().UnixMilli())`:        "the time of day, for a log line",
}

// steadyClock finds uses of package time's clock; fields and variables named time are others.
var steadyClock = regexp.MustCompile(`(^|[^.\w])time\.(Now|Since|Until)\b`)

// TestBeliefsAgeByThisClock reads the sources of the folders in which beliefs age.
func TestBeliefsAgeByThisClock(t *testing.T) {
	seen := make(map[string]bool)
	for _, folder := range aging {
		files, err := filepath.Glob(filepath.Join("..", "..", folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s has no sources: %v", folder, err)
		}
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			name := folder + "/" + filepath.Base(path)
			for _, line := range linesOf(t, path) {
				if !steadyClock.MatchString(line) {
					continue
				}
				use := name + ": " + strings.TrimSpace(line)
				if steadyUses[use] == "" {
					t.Errorf("goes by the steady clock, which stands still during a suspension: %s", use)
				}
				seen[use] = true
			}
		}
	}
	for use := range steadyUses {
		if !seen[use] {
			t.Errorf("is listed and not there: %s", use)
		}
	}
}

func linesOf(t *testing.T, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	return lines
}
