package node

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/tree"
)

// fitCheckingEditor is a tree.Editor that refuses a change after which a model would no
// longer fit any known server of its service. It implements operator.Trees.
type fitCheckingEditor struct {
	*tree.Editor
	view *view
}

// Commit checks the change and then calls tree.Editor.Commit.
func (e fitCheckingEditor) Commit(ctx context.Context, change tree.Change) (tree.Revision, error) {
	if err := e.checkFits(change); err != nil {
		return 0, err
	}
	return e.Editor.Commit(ctx, change)
}

// checkFits returns the misfits that the change adds to those of the tree in force.
// It ignores an invalid change, which the editor refuses.
func (e fitCheckingEditor) checkFits(change tree.Change) error {
	current := e.Current()
	changed, err := current.Apply(change)
	if err != nil {
		return nil
	}
	servers := serverMemories(e.view.Directory().Cells)
	var added findings.List
	before := misfits(current, servers)
	for _, misfit := range misfits(changed, servers) {
		if !slices.Contains(before, misfit) {
			added.Addf(misfit.Place, "%s", misfit.Message)
		}
	}
	return added.Err()
}

// misfits returns a finding for each model that fits no server of its service.
func misfits(settings *tree.Tree, servers []tree.ServerMemory) []findings.Finding {
	var reported *findings.Error
	if errors.As(settings.CheckFits(servers), &reported) {
		return reported.Findings
	}
	return nil
}

// serverMemories lists the servers of all cells with their services.
func serverMemories(cells map[api.CellName]api.CellView) []tree.ServerMemory {
	var servers []tree.ServerMemory
	for name, cell := range cells {
		service, _, _ := strings.Cut(string(name), api.CellSeparator)
		for _, server := range cell.Servers {
			servers = append(servers, tree.ServerMemory{Service: service, Bytes: server.CapacityBytes})
		}
	}
	return servers
}
