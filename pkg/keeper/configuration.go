package keeper

import (
	"slices"

	"martenwheel.dev/pkg/api"
)

// Configuration says which nodes are the keepers of a cell. Configurations of
// a cell have consecutive versions, agreed on by the cell's quorum group.
type Configuration struct {
	Cell     api.CellName
	Version  uint64
	Members  []api.NodeRef
	Previous []api.NodeRef // the members of Version-1; empty if they were all lost
}

// ConfigurationOf returns the configuration that the owner published. It is
// false for a view without one.
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

// founding tells whether the cell never had keepers before.
func (c Configuration) founding() bool {
	return c.Version == api.FirstConfigVersion
}

// majority is the number of members whose grants make a claim.
func (c Configuration) majority() int {
	return majorityOf(len(c.Members))
}

func majorityOf(members int) int {
	return members/2 + 1
}

// member identifies one life of a node.
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
