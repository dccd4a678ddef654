// Package findingstest provides checks of findings for tests.
package findingstest

import (
	"errors"
	"strings"
	"testing"

	"martenwheel.dev/pkg/findings"
)

// Want checks that err contains exactly the wanted findings in the given order.
// Each is given by its prefix.
func Want(t testing.TB, err error, want ...string) {
	t.Helper()
	var reported *findings.Error
	if !errors.As(err, &reported) {
		t.Fatalf("got %v, want findings", err)
	}
	if len(reported.Findings) != len(want) {
		t.Fatalf("got %d findings, want %d:\n%v", len(reported.Findings), len(want), err)
	}
	for index, finding := range reported.Findings {
		if !strings.HasPrefix(finding.String(), want[index]) {
			t.Errorf("finding %d: got %q, want %q", index, finding, want[index])
		}
	}
}
