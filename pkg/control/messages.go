package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/tree"
)

// ViewPush is a peer message with the whole view of a cell.
type ViewPush struct {
	View api.CellView
}

// ViewRequest is a peer message that asks for a ViewPush of the cell.
type ViewRequest struct {
	Cell api.CellName
}

// TreeNews is a peer message that announces a settings tree of the given
// revision. A receiver with an older tree fetches it from the sender.
type TreeNews struct {
	Revision tree.Revision
}

// Estimates is a peer message with an owner's load estimates for the models that
// the receiver reported waiting requests for.
type Estimates struct {
	Cell      api.CellName
	Estimates []api.LoadEstimate
}

// Messages returns a value of each message type that a Machine sends to other
// machines, for registration with the transport. The messages of package
// membership are registered separately.
func Messages() []any {
	own := []any{ViewPush{}, ViewDelta{}, ViewRequest{}, TreeNews{}, Estimates{}, api.DemandReport{}}
	return append(own, quorum.Messages()...)
}
