// Package cell is the owner of one cell: it turns the settings, the demand and
// the wishes of a policy into fenced orders to the cell's engines, and keeps
// two promises whatever it is told, in whatever order:
//
//   - no more replicas of a model are loaded than the settings allow, and
//   - the accelerator memory of a server is never overcommitted.
//
// For both it counts everything that an engine may hold. A load counts from
// before it is ordered until an inventory, read at the owner's own fence, shows
// that the model is gone. A server that may hold any model counts for each.
//
// An Owner holds no clock, socket or goroutine.
//
// Begin with types.go, what an owner is given and where its wishes go, and with
// owner.go, whose Advance does what is due. decide.go asks the policy and checks
// its wishes, placement.go finds servers for them, excess.go drains what is too
// much, orders.go orders loads and unloads, inventory.go takes over what engines
// show, and server.go reads it in time. replica.go holds the counted replicas,
// machines.go the list of machines, demand.go what routers report, estimate.go
// what they are told, view.go what they see.
package cell
