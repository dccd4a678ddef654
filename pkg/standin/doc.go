// Package standin provides small in-memory stand-ins for the systems that
// martenwheel depends on: model engines and the platform (weight store, table
// service, object store and list of machines). They speak the published
// protocols over HTTP and can inject faults (see Faults).
//
// Durations and rates are in simulated time, which runs Speed times as fast as
// the wall clock.
//
// Most files of the engine begin with engine_. engine.go guards the engine's
// state, which engine_state.go advances in simulated time, with the batch of
// running requests in batch.go. engine_orders.go and engine_loads.go execute
// orders. engine_http.go and engine_openai.go implement the protocols. The
// platform in platform.go consists of table.go, objects.go, weights.go and
// machines.go.
package standin
