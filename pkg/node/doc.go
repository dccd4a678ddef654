// Package node runs one process of martenwheel: it wires the libraries of the
// control side and of the traffic side together and starts and stops them.
//
// Begin with node.go, the life of a process, and with loop.go, whose goroutine
// alone owns the control machine. What surrounds them:
//
//   - wiring.go makes the parts; platform.go the clients of the platform;
//     credentials.go the keys and certificates
//   - effects.go carries out the machine's effects; fetcher.go fetches trees;
//     peers.go takes the messages of other nodes
//   - view.go is what the routers read and where they report demand; observer.go
//     asks engines for their load; keeping.go serves requests that run at most
//     once
//   - bootstrap.go gets the first tree; stop.go is the planned stop
//   - status.go, metrics.go and edits.go serve operators
package node
