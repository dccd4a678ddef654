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

// fittingEditor refuses changes by which a model would no longer fit any server
// of its service, as far as the servers are known. It implements
// operator.Trees.
type fittingEditor struct {
	*tree.Editor
	view *view
}

// Commit is tree.Editor.Commit with the check before it.
func (e fittingEditor) Commit(ctx context.Context, change tree.Change) (tree.Revision, error) {
	if err := e.checkFits(change); err != nil {
		return 0, err
	}
	return e.Editor.Commit(ctx, change)
}

// checkFits reports the misfits that the change adds to those of the tree in
// force. A change that is invalid in itself is left to the editor.
func (e fittingEditor) checkFits(change tree.Change) error {
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
