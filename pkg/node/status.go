package node

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

// Timeouts and limits for collecting the status and the metrics.
const (
	inspectTimeout         = 2 * time.Second // for an answer of the control loop
	revisionTimeout        = time.Second     // for the answers of all other nodes
	maxConcurrentRevisions = 32              // maximum number of nodes that are asked concurrently
	newerThanAnything      = tree.Revision(math.MaxUint64)
)

// errNoTree means that the node has not received its first tree.
var errNoTree = errors.New("no tree of settings yet")

// Status implements operator.StatusSource. If the control loop does not answer in
// time, the status contains no other nodes.
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
		Nodes:        n.nodeStatuses(seen.Members),
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

// nodeStatuses lists this node and the other members that it sees. It asks the alive
// ones for their revisions; a node that does not answer in time has revision 0.
func (n *Node) nodeStatuses(members []membership.Member) []operator.NodeStatus {
	self := n.server.Self()
	others := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Ref.ID == self.ID })
	statuses := make([]operator.NodeStatus, len(others)+1)
	statuses[0] = nodeStatus(self, membership.StateAlive, n.trees.Current().Revision())
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	asking := pool.New().WithMaxGoroutines(maxConcurrentRevisions)
	for i, member := range others {
		asking.Go(func() { statuses[i+1] = nodeStatus(member.Ref, member.State, n.revisionAt(ctx, member)) })
	}
	asking.Wait()
	return statuses
}

// revisionAt asks a member for the revision in force there. It returns 0 if the
// member is not alive or does not answer.
func (n *Node) revisionAt(ctx context.Context, member membership.Member) tree.Revision {
	if member.State != membership.StateAlive {
		return 0
	}
	peer := peerSource{transport: n.transport, address: member.Ref.PeerAddress}
	answer, err := peer.Fetch(ctx, tree.FetchRequest{After: newerThanAnything})
	if err != nil {
		return 0
	}
	return answer.Revision
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

// addCell adds a cell with its servers and replicas to the status.
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
