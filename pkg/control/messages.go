package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/tree"
)

// ViewPush brings a newer view of a cell.
type ViewPush struct {
	View api.CellView
}

// ViewRequest asks for a ViewPush.
type ViewRequest struct {
	Cell api.CellName
}

// TreeNews tells that there is a tree of Revision.
type TreeNews struct {
	Revision tree.Revision
}

// Estimates brings an owner's answers to a DemandReport.
type Estimates struct {
	Cell      api.CellName
	Estimates []api.LoadEstimate
}

// Messages returns a value of each type of message that a Machine sends to
// other machines, for registration with the transport. Those of package
// membership come besides.
func Messages() []any {
	own := []any{ViewPush{}, ViewDelta{}, ViewRequest{}, TreeNews{}, Estimates{}, api.DemandReport{}}
	return append(own, quorum.Messages()...)
}
