// Package standin holds small stand-ins for the systems outside martenwheel:
// model engines and the platform (weight store, table service, object store and
// list of machines). They speak the published protocols over HTTP, keep
// everything in memory, and fail on request (see Faults).
//
// Durations and rates are in simulated time, which runs Speed times as fast as
// the wall clock.
package standin
