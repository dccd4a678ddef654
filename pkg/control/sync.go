package control

import (
	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// compareWithNeighbours compares digests with the neighbours and requests newer
// views and trees from them. Newer claims on the weight store are taken from the
// digests directly.
func (m *Machine) compareWithNeighbours() {
	if m.now.Before(m.antiEntropyAt) {
		return
	}
	m.antiEntropyAt = m.now.Add(m.timing.AntiEntropyInterval)
	for _, member := range m.membership.Members() {
		if m.isSelf(member.Ref) || member.State > membership.StateSuspect {
			continue
		}
		digest, known := m.membership.Digest(member.Ref.ID)
		if !known {
			continue
		}
		m.noticeRevision(member.Ref, tree.Revision(digest.TreeRevision))
		if member.Ref.Region == m.config.Self.Region {
			m.compareCells(member.Ref, digest.Cells)
		}
	}
	m.updateDigest()
}

func (m *Machine) compareCells(from api.NodeRef, cells []membership.CellVersion) {
	for _, theirs := range cells {
		c := m.ensureCell(theirs.Cell)
		if (api.CellView{Term: theirs.Term, Version: theirs.Version}).NewerThan(c.view) {
			m.send(from, ViewRequest{Cell: theirs.Cell})
		}
		c.updateClaim(m.now, theirs)
	}
}

// updateDigest publishes this node's digest to the neighbours.
func (m *Machine) updateDigest() {
	digest := membership.Digest{}
	if m.settings != nil {
		digest.TreeRevision = uint64(m.settings.Revision())
	}
	for _, name := range m.cellOrder {
		c := m.cells[name]
		if c.view.Term == 0 {
			continue
		}
		version := membership.CellVersion{Cell: name, Term: c.view.Term, Version: c.view.Version}
		if c.newestClaim.term == c.view.Term {
			version.LoadsVersion = c.newestClaim.version
			version.ActiveLoads = c.newestClaim.claim.Active
			version.WantedLoads = c.newestClaim.claim.Wanted
			version.UrgentLoads = c.newestClaim.claim.Urgent
		}
		digest.Cells = append(digest.Cells, version)
	}
	m.membership.SetDigest(digest)
}
