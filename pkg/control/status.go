package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// Status is the state of a node's control plane as shown to operators.
type Status struct {
	Node         api.NodeRef         `json:"node"`
	TreeRevision tree.Revision       `json:"tree_revision"` // revision in force on this node; zero if none
	TreeSeen     tree.Revision       `json:"tree_seen"`     // highest revision known from any node
	Members      []membership.Member `json:"members"`
	Cells        []CellStatus        `json:"cells"`
	Stopping     bool                `json:"stopping"`
}

// CellStatus describes this node's role in a cell and its knowledge of the cell.
type CellStatus struct {
	Cell          api.CellName  `json:"cell"`
	Role          string        `json:"role"` // "owner", "member" or "none"
	Epoch         uint64        `json:"epoch"`
	Term          uint64        `json:"term"`
	Version       uint64        `json:"version"`
	Leader        api.NodeRef   `json:"leader"`
	Members       []api.NodeRef `json:"members"`
	Servers       int           `json:"servers"`
	Unreachable   int           `json:"unreachable"`    // unreachable servers, as seen by the owner
	Ready         int           `json:"ready"`          // ready replicas
	Loading       int           `json:"loading"`        // loading replicas
	InDoubt       int           `json:"in_doubt"`       // replicas whose load order has an unknown outcome
	Reconfiguring bool          `json:"reconfiguring"`  // a change of members is in progress, as seen by a member
	RecordEpoch   uint64        `json:"record_epoch"`   // epoch in the table service, as last read by this node
	RecordFailed  int           `json:"record_failed"`  // failed record calls of the owner in a row
	UnknownServer int           `json:"unknown_server"` // servers that may hold any model, as known to the owner
}

// Roles of a node in a cell, as reported in CellStatus.
const (
	RoleOwner  = "owner"
	RoleMember = "member"
	RoleNone   = "none"
)

// TreeRevision returns the revision of the tree in force, or zero.
func (m *Machine) TreeRevision() tree.Revision {
	if m.settings == nil {
		return 0
	}
	return m.settings.Revision()
}

// Status returns a copy of the control plane's state for operators.
func (m *Machine) Status() Status {
	status := Status{
		Node:         m.config.Self,
		TreeRevision: m.TreeRevision(),
		TreeSeen:     m.treeSeen,
		Members:      m.membership.Members(),
		Stopping:     m.stopping,
	}
	for _, name := range m.cellOrder {
		status.Cells = append(status.Cells, m.cells[name].status())
	}
	return status
}

func (c *cellControl) status() CellStatus {
	status := CellStatus{
		Cell: c.name, Role: c.roleName(), Epoch: c.epoch(), Term: c.view.Term, Version: c.view.Version,
		Leader: c.view.Leader, Members: c.view.Members, Servers: len(c.view.Servers),
		Reconfiguring: c.group.Reconfiguring(), RecordFailed: c.record.failures,
	}
	if c.calls.known != nil {
		status.RecordEpoch = c.calls.known.Epoch
	}
	for _, server := range c.view.Servers {
		if !server.Reachable {
			status.Unreachable++
		}
	}
	for _, replica := range c.view.Replicas {
		switch replica.State {
		case api.ReplicaReady:
			status.Ready++
		case api.ReplicaLoading:
			status.Loading++
		case api.ReplicaInDoubt:
			status.InDoubt++
		}
	}
	if c.owner != nil {
		status.UnknownServer = countUnknown(c.group.Committed().Data.Servers)
	}
	return status
}

func (c *cellControl) roleName() string {
	switch {
	case c.owner != nil:
		return RoleOwner
	case c.isMember():
		return RoleMember
	default:
		return RoleNone
	}
}

// countUnknown returns the number of servers marked unknown.
func countUnknown(servers []quorum.Server) int {
	count := 0
	for _, server := range servers {
		if server.Unknown {
			count++
		}
	}
	return count
}
