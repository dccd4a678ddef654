// Package quorum replicates the small state of one cell on a group of nodes, so
// that it survives the loss of a minority of them without help from the platform.
// It is a replicated register with a leader: Paxos over the whole state, without
// a log.
//
// A member is one incarnation of a node. A restarted process has a new
// incarnation and is not a member, because it would not remember the promises
// made before. Members are replaced in two steps through a joint configuration,
// in which a majority of the old members and a majority of the new ones must
// agree.
//
// A Group has no clock, socket or goroutine of its own. Leases and timeouts only
// decide when a member tries to lead. That two leaders cannot both change the
// state follows from the majorities alone.
//
// Start with state.go, the register's value, and group.go, the methods that
// callers use. The behaviour of each role is in member.go (follower),
// candidate.go (election) and leader.go (proposals). messages.go defines the peer
// messages, members.go identities and majorities, timing.go the time constants.
package quorum
