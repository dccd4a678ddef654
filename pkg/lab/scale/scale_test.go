package scale

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

func TestSmallRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	var progress bytes.Buffer
	report, err := Run(t.Context(), Config{
		Nodes: 6, Servers: 4, Models: 16, Adapters: 8, Quiet: time.Second,
		Wakes: 1, Edits: 1, EditPause: time.Millisecond, Deaths: 1, Takeovers: 1, Seed: 1, Progress: &progress,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	for name, measured := range map[string]float64{
		"memory":             float64(report.MemoryBytes),
		"loaded replicas":    float64(report.Loaded),
		"processor share":    report.Quiet.ProcessorShare,
		"bytes":              report.Quiet.BytesPerSecond,
		"engine bytes":       report.Quiet.EngineBytesPerSecond,
		"views of a wake":    viewBytes(report.Wakes),
		"changes of an edit": report.Edits.ByType["martenwheel.dev/pkg/tree.FetchAnswer"].BytesPerSecond,
		"time of a wake":     report.WakeSeconds,
		"time of an edit":    report.EditSeconds,
		"time of a notice":   report.NoticeSeconds,
		"time of a takeover": report.TakeoverSeconds,
	} {
		if measured <= 0 {
			t.Errorf("%s: measured %v, want more than nothing", name, measured)
		}
	}
	var table bytes.Buffer
	if err := WriteTable(&table, []Report{report}); err != nil || !strings.Contains(table.String(), "membership.Probe") {
		t.Errorf("table: %v\n%s", err, table.String())
	}
}

// viewBytes returns the bytes a second of views, whole or as changes.
func viewBytes(usage Usage) float64 {
	const prefix = "martenwheel.dev/pkg/control."
	return usage.ByType[prefix+"ViewPush"].BytesPerSecond + usage.ByType[prefix+"ViewDelta"].BytesPerSecond
}
