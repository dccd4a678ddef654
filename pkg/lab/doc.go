// Package lab runs the packages that make decisions in virtual time, against an emulated platform:
// engines, the weight store, a lagging list of machines, zones with network delays, callers, and
// faults that are injected at scheduled times.
//
// A run is determined by its scenario and seed: the same scenario and seed give the same result,
// byte for byte. docs/operations/lab.md describes what is measured and what the emulator leaves
// out.
package lab
