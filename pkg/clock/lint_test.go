package clock

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// expiryFolders are the folders whose code must use package clock for everything that expires.
var expiryFolders = []string{
	"pkg/admission", "pkg/backend", "pkg/coordinator", "pkg/lease", "pkg/quarantine", "pkg/quota", "pkg/relay", "pkg/site",
	"pkg/storeclock", "pkg/watch", "platform",
}

// allowedUses lists the lines that correctly use the monotonic clock, with the reason.
var allowedUses = map[string]string{
	"pkg/lease/lease.go: due := time.Now().Add(first)":                                                                                        "when a timer fires; timers use the monotonic clock",
	"pkg/lease/lease.go: due = time.Now().Add(pause)":                                                                                         "the same",
	"pkg/lease/lease.go: if pause, may := l.pollAfterSuspicion(); may && time.Until(due) > pause {":                                           "the same",
	"pkg/backend/conn.go: _ = c.SetReadDeadline(time.Now().Add(answerAfterReset))":                                                            "deadlines of connections use the monotonic clock",
	"pkg/backend/conn.go: _ = a.conn.SetReadDeadline(time.Now().Add(d)) // if the connection is closed, Read returns the error":               "the same",
	"pkg/backend/inbound.go: _ = in.from.SetReadDeadline(time.Now().Add(endWait)) // if the connection is closed, the read returns the error": "the same",
	"pkg/site/callers.go: _ = c.TCPConn.SetReadDeadline(time.Now().Add(limit)) // fails only if the connection is closed":                     "the same",
	"pkg/site/heads.go: end := time.Now().Add(refusedHeadTime)":                                                                               "the same",
	"pkg/relay/refuse.go: _ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(wait + writeMargin))":                           "the same",
	`platform/run.go: Name: settings.Name, Life: time.Now().UnixNano(), Zone: settings.Zone,`:                                                 "numbers incarnations by the time of day",
	`platform/config.go: "tenants", countTenants(table), "keys", countKeys(table), "at", time.Now().UnixMilli())`:                             "the time of day, for a log line",
}

// monotonicClock matches uses of package time's clock, but not of fields or variables named time.
var monotonicClock = regexp.MustCompile(`(^|[^.\w])time\.(Now|Since|Until)\b`)

// TestExpiryGoesByThisClock searches the sources of expiryFolders for uses of package time's clock
// that are not listed. Data whose age is measured by it does not expire while the machine is
// suspended.
func TestExpiryGoesByThisClock(t *testing.T) {
	seen := make(map[string]bool)
	for _, folder := range expiryFolders {
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
				if !monotonicClock.MatchString(line) {
					continue
				}
				use := name + ": " + strings.TrimSpace(line)
				if allowedUses[use] == "" {
					t.Errorf("uses the monotonic clock, which stops during a suspension: %s", use)
				}
				seen[use] = true
			}
		}
	}
	for use := range allowedUses {
		if !seen[use] {
			t.Errorf("is listed but not found in the sources: %s", use)
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
