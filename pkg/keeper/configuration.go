package keeper

import (
	"slices"

	"martenwheel.dev/pkg/api"
)

// Configuration lists the nodes that are the keepers of a cell. The cell's quorum
// group agrees on its configurations, which have consecutive versions.
type Configuration struct {
	Cell     api.CellName
	Version  uint64
	Members  []api.NodeRef
	Previous []api.NodeRef // members of Version-1; empty if they were all lost
}

// ConfigurationOf returns the configuration that the cell's owner published in
// the view, and false if the view has none.
func ConfigurationOf(view api.CellView) (Configuration, bool) {
	if view.ConfigVersion == 0 || len(view.Members) == 0 {
		return Configuration{}, false
	}
	return Configuration{
		Cell:     view.Cell,
		Version:  view.ConfigVersion,
		Members:  view.Members,
		Previous: view.PreviousMembers,
	}, true
}

// founding reports whether this is the cell's first configuration.
func (c Configuration) founding() bool {
	return c.Version == api.FirstConfigVersion
}

// majority returns the number of members whose grants decide a claim.
func (c Configuration) majority() int {
	return majorityOf(len(c.Members))
}

func majorityOf(members int) int {
	return members/2 + 1
}

// member identifies one incarnation of a node.
type member struct {
	id          api.NodeID
	incarnation uint64
}

func memberOf(node api.NodeRef) member {
	return member{node.ID, node.Incarnation}
}

func isAmong(node api.NodeRef, nodes []api.NodeRef) bool {
	return slices.ContainsFunc(nodes, func(other api.NodeRef) bool {
		return memberOf(other) == memberOf(node)
	})
}
