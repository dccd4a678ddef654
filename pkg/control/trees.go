package control

import (
	"time"

	"martenwheel.dev/pkg/api"
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

// SetTree takes over a tree at the time now, unless it is older than the one in
// force or the same. Like Step it is for the goroutine that owns the machine,
// which carries out the effects.
func (m *Machine) SetTree(now time.Time, settings Settings) []Effect {
	m.begin(now)
	outdated := m.settings != nil && settings.Revision() <= m.settings.Revision()
	if outdated && !m.config.Unsafe.NoTreeFloor {
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
