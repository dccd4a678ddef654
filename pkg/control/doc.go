// Package control implements the control plane of one node as a pure state
// machine: node membership, the quorum groups that own cells, the cells that this
// node owns, and the lowest settings tree revision that it may use. A Machine
// belongs to one goroutine. Production nodes, the lab's simulated nodes and the
// tests under virtual time all run this code.
//
// Start with types.go, which defines the events that go into a Machine and the
// effects that come out, and with machine.go, which dispatches each event:
//
//   - cells.go: this node's state for one cell; start and end of ownership
//   - sink.go: turns the owner's requests into effects
//   - formation.go: forms a quorum group for a cell that has none
//   - record.go: the cell's record in the table service
//   - members.go: replaces members of a group; candidates.go chooses nodes
//   - demand.go: sends demand to the owner
//   - views.go, delta.go: distribute the owner's view to all nodes
//   - trees.go: distributes the newest settings tree
//   - claims.go: shares of the weight store's load slots
//   - sync.go: anti-entropy between neighbours
//   - machines.go: the platform's machine list
//   - answers.go: results from engines and from the table service
//   - nodes.go: the live nodes
//   - stop.go: planned stop; status.go: status for operators
//
// Package quorum replicates the state of a cell, package cell decides what the
// cell's servers load, package weights shares the weight store's slots among
// cells, and package explore tests all of it with random faults.
package control
