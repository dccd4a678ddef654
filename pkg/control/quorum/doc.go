// Package quorum keeps the small state of one cell on a group of nodes, so
// that it survives the loss of a minority of them with no help of the
// platform: a replicated register with a leader (Paxos over the whole state,
// without a log).
//
// A member is one life of a process: a restarted process has another
// incarnation and is not a member, so that a member never forgets a promise.
// Members are replaced in two steps over a joint configuration, in which a
// majority of the old and one of the new members must agree.
//
// A Group holds no clock, socket or goroutine. Leases and time-outs decide only
// when a member tries to lead; that two leaders do not both change the state
// follows from the majorities alone.
//
// Begin with state.go, the register's value, and with group.go, the entry points
// of a Group. What a member does in each role is in member.go (it follows),
// candidate.go (it asks for promises) and leader.go (it proposes states).
// messages.go holds what members send each other, members.go who they are and
// when they are a majority, timing.go the time constants.
package quorum
