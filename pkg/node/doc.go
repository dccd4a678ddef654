// Package node runs one process of martenwheel. It connects the control plane and
// the data plane, and starts and stops them.
//
// Read node.go first, the lifecycle of a process, and loop.go, whose goroutine is
// the only one to use the control machine. The other files:
//
//   - wiring.go creates the components, platform.go the clients of the platform
//     services, credentials.go the keys and certificates
//   - effects.go executes the machine's effects, fetcher.go fetches trees, peers.go
//     receives the messages of other nodes
//   - view.go is what the routers read and where they report demand, observer.go
//     polls the load of engines, claims.go holds the state for requests that run
//     at most once
//   - bootstrap.go gets the first tree, stop.go is the planned stop
//   - status.go, metrics.go and edits.go serve operators
package node
