package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

// inspectTimeout bounds how long a status or the metrics wait for the control
// loop.
const inspectTimeout = 2 * time.Second

// errNoTree means that the node has not got its first tree.
var errNoTree = errors.New("no tree of settings yet")

// Status implements operator.StatusSource. Without an answer of the control loop
// in time, it names no other nodes.
func (n *Node) Status() operator.Status {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	var seen control.Status
	n.loop.inspect(ctx, func(machine *control.Machine) { seen = machine.Status() })
	status := operator.Status{
		Node:         n.settings.Node.ID,
		Region:       n.settings.Node.Region,
		At:           time.Now(),
		TreeRevision: n.trees.Current().Revision(),
		Nodes:        nodeStatuses(seen, n.server.Self(), n.trees.Current().Revision()),
	}
	for _, cell := range n.view.Directory().Cells {
		addCell(&status, cell)
	}
	for _, model := range n.router.Stats().Models {
		queue := operator.QueueStatus{Model: model.Model, Waiting: model.Waiting, InFlight: model.Running}
		status.Queues = append(status.Queues, queue)
	}
	return status
}

// Ready implements operator.StatusSource.
func (n *Node) Ready() error {
	if !n.ready.Load() {
		return errNoTree
	}
	return nil
}

// nodeStatuses lists the members that this node sees, itself among them.
func nodeStatuses(seen control.Status, self api.NodeRef, revision tree.Revision) []operator.NodeStatus {
	statuses := []operator.NodeStatus{nodeStatus(self, membership.StateAlive, revision)}
	for _, member := range seen.Members {
		if member.Ref.ID != self.ID {
			statuses = append(statuses, nodeStatus(member.Ref, member.State, 0))
		}
	}
	return statuses
}

func nodeStatus(ref api.NodeRef, state membership.State, revision tree.Revision) operator.NodeStatus {
	return operator.NodeStatus{
		ID:           ref.ID,
		Incarnation:  ref.Incarnation,
		Address:      ref.PeerAddress,
		Zone:         ref.Zone,
		Region:       ref.Region,
		State:        state.String(),
		TreeRevision: revision,
	}
}

// addCell adds a cell with its servers and replicas to status.
func addCell(status *operator.Status, cell api.CellView) {
	members := make([]api.NodeID, len(cell.Members))
	for i, member := range cell.Members {
		members[i] = member.ID
	}
	status.Cells = append(status.Cells, operator.CellStatus{
		Name:    cell.Cell,
		Owner:   cell.Leader.ID,
		Term:    cell.Term,
		Version: cell.Version,
		Members: members,
	})
	for _, server := range cell.Servers {
		status.Servers = append(status.Servers, operator.ServerStatus{
			ID:            server.ID,
			Cell:          cell.Cell,
			Zone:          server.Zone,
			Address:       server.Address,
			CapacityBytes: server.CapacityBytes,
			ReservedBytes: server.ReservedBytes,
			Leaving:       server.Leaving,
			Reachable:     server.Reachable,
		})
	}
	for _, replica := range cell.Replicas {
		status.Replicas = append(status.Replicas, replicaStatus(cell.Cell, replica))
	}
}

func replicaStatus(cell api.CellName, replica api.Replica) operator.ReplicaStatus {
	status := operator.ReplicaStatus{
		Model:  replica.Model,
		Base:   replica.Base,
		Cell:   cell,
		Server: replica.Server,
		State:  replica.State.String(),
	}
	if !replica.ReadyBy.IsZero() {
		status.ReadyBy = &replica.ReadyBy
	}
	return status
}
