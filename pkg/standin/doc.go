// Package standin holds small stand-ins for the systems outside martenwheel:
// model engines and the platform (weight store, table service, object store and
// list of machines). They speak the published protocols over HTTP, keep
// everything in memory, and fail on request (see Faults).
//
// Durations and rates are in simulated time, which runs Speed times as fast as
// the wall clock.
//
// Most files of the engine begin with engine_: engine.go guards its state, which
// engine_state.go moves on in simulated time, with the batch of running requests
// in batch.go; engine_orders.go and engine_loads.go carry out orders;
// engine_http.go and engine_openai.go speak the protocols. The platform's parts
// are table.go, objects.go, weights.go and machines.go behind platform.go.
package standin
