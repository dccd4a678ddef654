// Package findingstest checks findings in tests.
package findingstest

import (
	"errors"
	"strings"
	"testing"

	"martenwheel.dev/pkg/findings"
)

// Want checks that err carries exactly the wanted findings in their order, each
// given by how it begins.
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
