// Package telemetry creates the loggers and metric registries of the programs, so
// that all of them use the same log fields and metric names.
package telemetry
