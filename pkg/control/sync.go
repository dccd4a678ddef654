package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/control/weights"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// treeNewsFanout is the number of nodes that each node tells of a new revision.
// With four, news reaches 330 nodes in about five rounds.
const treeNewsFanout = 4

// treeFetchPause is the shortest time between two fetches of the tree.
const treeFetchPause = 200 * time.Millisecond

// treePollMin is the shortest time between two questions to the platform.
const treePollMin = 2 * time.Second

// claimEntry is the newest claim of a cell on the weight store.
type claimEntry struct {
	claim   weights.Claim
	term    uint64
	version uint64
}

// SetTree takes over a tree, unless it is older than the one in force.
func (m *Machine) SetTree(now time.Time, settings Settings) []Effect {
	m.now = now
	m.live = nil
	floor := m.settings != nil && settings.Revision() <= m.settings.Revision()
	if floor && !m.config.Unsafe.NoTreeFloor {
		return m.finish()
	}
	first := m.settings == nil
	m.settings = settings
	m.treeSeen = max(m.treeSeen, settings.Revision())
	m.assignModels()
	m.updateDigest()
	if !first {
		m.spreadRevision()
	}
	return m.finish()
}

// assignModels gives each cell of this region its models.
func (m *Machine) assignModels() {
	models := make(map[api.CellName][]tree.Model)
	m.modelCell = make(map[api.ModelName]api.CellName)
	for _, service := range m.settings.Services() {
		m.ensureCell(api.MakeCellName(service, m.config.Self.Region))
	}
	for _, model := range m.settings.Models() {
		name := api.MakeCellName(model.Service, m.config.Self.Region)
		models[name] = append(models[name], model)
		m.modelCell[model.Name] = name
	}
	for _, name := range m.cellOrder {
		c := m.cells[name]
		c.models = models[name]
		if c.owner != nil {
			c.owner.Configure(m.TreeRevision(), c.models)
		}
	}
}

// spreadRevision tells a few nodes that there is a new tree.
func (m *Machine) spreadRevision() {
	var others []api.NodeRef
	for _, member := range m.membership.Members() {
		if member.State <= membership.StateSuspect && !m.isSelf(member.Ref) {
			others = append(others, member.Ref)
		}
	}
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, node := range others[:min(len(others), treeNewsFanout)] {
		m.send(node, TreeNews{Revision: m.settings.Revision()})
	}
}

// hearRevision fetches the tree from a node that has a newer one.
func (m *Machine) hearRevision(from api.NodeRef, revision tree.Revision) {
	m.treeSeen = max(m.treeSeen, revision)
	if m.settings != nil && revision <= m.settings.Revision() {
		return
	}
	if m.now.Sub(m.treeAsked) < treeFetchPause {
		return
	}
	m.treeAsked = m.now
	m.emit(FetchTree{Peer: from.PeerAddress})
}

// pollTree asks the platform for a newer tree, the less often the more nodes
// there are. A node without any tree asks at every chance.
func (m *Machine) pollTree() {
	if m.now.Before(m.treePoll) {
		return
	}
	pause := treePollMin
	if m.settings != nil {
		pause = max(pause, time.Duration(len(m.membership.Members()))*m.timing.TreePollPerNode)
	}
	m.treePoll = m.now.Add(pause + m.jitter(pause/4))
	m.emit(FetchTree{})
}

// compareWithNeighbours asks for what neighbours have newer: views, the tree
// and claims on the weight store.
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
		m.hearRevision(member.Ref, tree.Revision(digest.TreeRevision))
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
		c.hearClaim(m.now, theirs)
	}
}

// hearClaim takes over a newer claim of another owner.
func (c *cellControl) hearClaim(now time.Time, theirs membership.CellVersion) {
	if c.owner != nil {
		return
	}
	same := theirs.Term == c.loads.term
	if theirs.Term < c.loads.term || same && theirs.LoadsVersion <= c.loads.version {
		return
	}
	c.loads = claimEntry{
		term:    theirs.Term,
		version: theirs.LoadsVersion,
		claim: weights.Claim{
			Cell: c.name, Active: theirs.ActiveLoads, Wanted: theirs.WantedLoads, Urgent: theirs.UrgentLoads, Heard: now,
		},
	}
}

// refreshClaims renews the claims of the cells that this node owns.
func (m *Machine) refreshClaims() {
	if m.now.Before(m.claimsAt) {
		return
	}
	m.claimsAt = m.now.Add(m.timing.ClaimInterval)
	for _, name := range m.cellOrder {
		c := m.cells[name]
		if c.owner == nil {
			continue
		}
		claim := c.owner.Claim(m.now)
		version := c.loads.version
		if c.loads.term != c.owner.Term() {
			version = 0
		}
		if version == 0 || claim.Active+claim.Wanted > 0 || c.loads.claim.Active+c.loads.claim.Wanted > 0 {
			version++
		}
		c.loads = claimEntry{claim: claim, term: c.owner.Term(), version: version}
	}
	m.updateDigest()
}

// updateDigest renews what the neighbours are told.
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
		if c.loads.term == c.view.Term {
			version.LoadsVersion = c.loads.version
			version.ActiveLoads = c.loads.claim.Active
			version.WantedLoads = c.loads.claim.Wanted
			version.UrgentLoads = c.loads.claim.Urgent
		}
		digest.Cells = append(digest.Cells, version)
	}
	m.membership.SetDigest(digest)
}

// epoch returns the epoch of a cell's view, for logs and status.
func (c *cellControl) epoch() uint64 {
	return quorum.Epoch(c.view.Term)
}
