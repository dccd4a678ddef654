// Package explore runs several control machines with model engines, a table
// service and a list of machines under virtual time, in randomised schedules of
// faults, and checks after every step that the promises of the control side
// hold. The code is in the test files; see TestSchedules for the flags.
package explore
