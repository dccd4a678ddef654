// Package cell implements the owner of one cell: it turns settings, demand and
// the actions of a policy into fenced orders to the cell's engines. It maintains
// two invariants regardless of its inputs and their order:
//
//   - no more replicas of a model are loaded than the settings allow, and
//   - the accelerator memory of a server is never overcommitted.
//
// For both it counts everything that an engine may hold. A load counts from
// before it is ordered until an inventory, read with the owner's own fence, shows
// that the model is gone. A server that may hold any model counts as a replica of
// each.
//
// An Owner has no clock, socket or goroutine of its own.
//
// Start with types.go, the owner's configuration and its outputs, and owner.go,
// whose Advance performs all due work. decide.go asks the policy and checks its
// actions, placement.go chooses servers for them, and excess.go drains replicas
// that are not allowed any more. orders.go orders loads and unloads, inventory.go
// applies inventories of engines, and server.go schedules their reads. replica.go
// holds the counted replicas, machines.go handles the machine list, demand.go the
// routers' demand reports, estimate.go the load estimates for them, and view.go
// the views for them.
package cell
