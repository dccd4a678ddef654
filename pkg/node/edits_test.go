package node

import (
	"strings"
	"testing"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

const smallSite = `
services:
  assistant:
    families:
      llama:
        models:
          glaze-7b: {memory: 4GiB}
          kiln-70b: {memory: 80GiB}
`

// newFitCheckingEditor returns an editor for a cell with one server of 24 GiB, which
// kiln-70b does not fit.
func newFitCheckingEditor(t *testing.T) fitCheckingEditor {
	t.Helper()
	site, err := tree.Parse([]byte(smallSite))
	if err != nil {
		t.Fatal(err)
	}
	holder := tree.NewHolder(site.WithRevision(1))
	v := newView(holder)
	v.publishView(api.CellView{
		Cell:    api.MakeCellName("assistant", "uy-south"),
		Version: 1,
		Servers: []api.ServerView{{ID: "server-1", CapacityBytes: 24 << 30}},
	})
	return fitCheckingEditor{Editor: tree.NewEditor(nil, holder), view: v}
}

func TestCheckFits(t *testing.T) {
	const glaze = "/assistant/llama/glaze-7b"
	cases := []struct {
		name  string
		edit  tree.Edit
		fault string // part of the finding; empty for none
	}{
		{"grows but fits", tree.Edit{Path: glaze, Key: "memory", Value: "20GiB"}, ""},
		{"fits no server", tree.Edit{Path: glaze, Key: "memory", Value: "30GiB"}, "the largest server of assistant has 24GiB"},
		{"a misfit elsewhere does not block", tree.Edit{Path: "/", Key: "keep_alive", Value: "1m"}, ""},
		{"service without known servers", tree.Edit{Path: "/booking/slots/slots-3b", Key: "memory", Value: "500GiB"}, ""},
		{"invalid in itself is left to the editor", tree.Edit{Path: glaze, Key: "memory", Value: "30"}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			err := newFitCheckingEditor(t).checkFits(tree.Change{Edits: []tree.Edit{test.edit}})
			if test.fault == "" && err != nil {
				t.Fatalf("refused: %v", err)
			}
			if test.fault != "" && (err == nil || !strings.Contains(err.Error(), test.fault)) {
				t.Fatalf("got %v, want %q", err, test.fault)
			}
		})
	}
}
