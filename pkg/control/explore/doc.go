// Package explore runs several control machines with simulated engines, a table
// service and a machine list under virtual time. It injects random faults and
// checks the invariants of the control plane after each load on an engine and each
// step of a node. All code is in test files; see explore_test.go for the flags.
package explore
