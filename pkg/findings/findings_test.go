package findings

import (
	"errors"
	"testing"
)

func TestListReportsAllFindingsTogether(t *testing.T) {
	var inner, outer List
	inner.Addf("a.yaml:3 listen", "%q is no IP address", "localhost")
	outer.Addf("a.yaml:1", "unknown key %q", "lisen")
	outer.Merge("ignored", inner.Err())
	outer.Merge("a.yaml", errors.New("file is empty"))
	outer.Merge("nothing", nil)

	want := "a.yaml:1: unknown key \"lisen\"\na.yaml:3 listen: \"localhost\" is no IP address\na.yaml: file is empty"
	if got := outer.Err().Error(); got != want {
		t.Fatalf("got\n%s\nwant\n%s", got, want)
	}
}

func TestEmptyListIsNoError(t *testing.T) {
	var list List
	if err := list.Err(); err != nil {
		t.Fatalf("got %v, want nil", err)
	}
}
