// Package telemetry makes the loggers and metric registries of the programs,
// so that all of them write the same fields and names.
package telemetry
