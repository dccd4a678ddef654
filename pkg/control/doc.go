// Package control is the control side of one node as a pure state machine: the
// membership of nodes, the quorum groups that own cells, the cells that this
// node owns, and the floor of the settings tree. One goroutine owns a Machine;
// real processes, hollow ones and the tests under virtual time run the same
// code.
//
// Begin with types.go, the events that go into a Machine and the effects that
// come out, and with machine.go, which hands each event to its part:
//
//   - cells.go: this node's part in one cell, and how ownership begins and ends;
//     sink.go: how the owner's wishes become effects
//   - formation.go: a group is formed for a cell that has none; record.go: the
//     cell's record in the table service
//   - members.go: the members of a group are replaced; candidates.go: by whom
//   - demand.go: demand goes to the owner; views.go and delta.go: views come back
//   - trees.go: the newest tree of settings; claims.go: shares of the weight
//     store; sync.go: what neighbours compare
//   - machines.go: the list of machines; answers.go: answers of engines and of the
//     table service; nodes.go: the live nodes
//   - stop.go: a planned stop; status.go: what operators see
//
// Package quorum keeps the state of a cell through failures, package cell decides
// what its servers load, package weights splits the weight store's slots, and
// package explore runs all of it through random faults.
package control
