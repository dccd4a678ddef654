package membership

import (
	"slices"

	"martenwheel.dev/pkg/api"
)

// Update is the state of a member. Of two updates about the same node, the one that supersedes the other is
// kept.
type Update struct {
	Ref        api.NodeRef
	Refutation uint32 // increased by the member itself to refute a suspicion
	State      State
}

// supersedes reports whether the update replaces known.
func (u Update) supersedes(known Update) bool {
	if u.Ref.Incarnation != known.Ref.Incarnation {
		return u.Ref.Incarnation > known.Ref.Incarnation
	}
	if u.State == StateLeft || known.State == StateLeft {
		return u.State == StateLeft && known.State != StateLeft
	}
	if u.Refutation != known.Refutation {
		return u.Refutation > known.Refutation
	}
	return u.State > known.State
}

// Header is part of all messages.
type Header struct {
	Refutation uint32   // of the sender
	TableHash  uint32   // hash of the sender's live members
	Updates    []Update // at most MaxUpdates
}

// DigestNews is a change of the sender's digest. Serial counts the changes of the digest in one incarnation.
// Cells has the cells that changed since the serial Base, or all cells if Base is zero.
type DigestNews struct {
	Base         uint64
	Serial       uint64
	TreeRevision uint64
	Cells        []CellVersion
}

// Probe asks for an Ack.
type Probe struct {
	Header      Header
	Sequence    uint64
	KnownDigest uint64 // serial of the receiver's digest that the sender has
	Digest      *DigestNews
}

// Ack answers a Probe.
type Ack struct {
	Header      Header
	Sequence    uint64 // of the Probe
	KnownDigest uint64 // serial of the receiver's digest that the sender has
	Digest      *DigestNews
}

// ProbeRequest asks the receiver to probe Target and to send a RelayedAck.
type ProbeRequest struct {
	Header   Header
	Sequence uint64
	Target   api.NodeRef
}

// RelayedAck answers a ProbeRequest after the target answered.
type RelayedAck struct {
	Header   Header
	Sequence uint64 // of the ProbeRequest
	Target   api.NodeID
}

// Gossip carries updates only.
type Gossip struct {
	Header Header
}

// SyncRequest asks for the page of the member table that follows the ID After.
type SyncRequest struct {
	Header Header
	After  api.NodeID
}

// SyncPage is a page of the sender's member table in order of ID.
type SyncPage struct {
	Header  Header
	Members []Update // at most MaxPageMembers
	More    bool     // another page follows
}

// Messages returns a value of each message type, for registration with the transport.
func Messages() []any {
	return []any{Probe{}, Ack{}, ProbeRequest{}, RelayedAck{}, Gossip{}, SyncRequest{}, SyncPage{}}
}

// headerOf returns the header of a message, and false if the type is unknown or a limit is exceeded.
func headerOf(message any) (Header, bool) {
	var header Header
	var digest *DigestNews
	pageMembers := 0
	switch m := message.(type) {
	case Probe:
		header, digest = m.Header, m.Digest
	case Ack:
		header, digest = m.Header, m.Digest
	case ProbeRequest:
		header = m.Header
	case RelayedAck:
		header = m.Header
	case Gossip:
		header = m.Header
	case SyncRequest:
		header = m.Header
	case SyncPage:
		header, pageMembers = m.Header, len(m.Members)
	default:
		return Header{}, false
	}
	withinBounds := len(header.Updates) <= MaxUpdates &&
		pageMembers <= MaxPageMembers &&
		(digest == nil || len(digest.Cells) <= MaxDigestCells)
	return header, withinBounds
}

// digestState is this node's digest with the serials at which its parts changed.
type digestState struct {
	current     Digest
	serial      uint64
	cellChanged map[api.CellName]uint64 // serial of the last change by cell
	cellRemoved uint64                  // serial of the last removal of a cell
}

// set replaces the digest and increases the serial if anything differs.
func (d *digestState) set(next Digest) {
	if len(next.Cells) > MaxDigestCells {
		next.Cells = next.Cells[:MaxDigestCells]
	}
	if next.TreeRevision == d.current.TreeRevision && slices.Equal(next.Cells, d.current.Cells) {
		return
	}
	d.serial++
	before := cellsByName(d.current.Cells)
	changed := make(map[api.CellName]uint64, len(next.Cells))
	for _, cell := range next.Cells {
		changed[cell.Cell] = d.serial
		if old, known := before[cell.Cell]; known && old == cell {
			changed[cell.Cell] = d.cellChanged[cell.Cell]
		}
		delete(before, cell.Cell)
	}
	if len(before) > 0 {
		d.cellRemoved = d.serial
	}
	d.cellChanged = changed
	d.current = Digest{TreeRevision: next.TreeRevision, Cells: slices.Clone(next.Cells)}
}

// newsSince returns the changes for a node that has the digest with the serial known, or nil if there are
// none.
func (d *digestState) newsSince(known uint64, withCells bool) *DigestNews {
	if known == d.serial {
		return nil
	}
	news := &DigestNews{Base: known, Serial: d.serial, TreeRevision: d.current.TreeRevision}
	if known > d.serial || known < d.cellRemoved {
		news.Base = 0
	}
	if !withCells {
		return news
	}
	for _, cell := range d.current.Cells {
		if d.cellChanged[cell.Cell] > news.Base {
			news.Cells = append(news.Cells, cell)
		}
	}
	return news
}

func cellsByName(cells []CellVersion) map[api.CellName]CellVersion {
	byName := make(map[api.CellName]CellVersion, len(cells))
	for _, cell := range cells {
		byName[cell.Cell] = cell
	}
	return byName
}
