// Package lab runs the decision packages under virtual time against an
// emulator of what the platform gives: engines, the weight store, a lagging
// list of machines, zones with delays, callers, and failures by a timetable.
//
// A run is determined by its scenario and seed: the same two give the same
// result, byte for byte. See docs/operations/lab.md for what is measured and
// what the emulator leaves out.
package lab
