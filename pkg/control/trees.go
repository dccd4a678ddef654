package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/membership"
	"martenwheel.dev/pkg/tree"
)

// treeNewsFanout is the number of nodes that each node notifies of a new
// revision. With four, a revision reaches 330 nodes in about five rounds.
const treeNewsFanout = 4

// minTreeFetchInterval is the shortest time between two fetches of the tree from
// peers.
const minTreeFetchInterval = 200 * time.Millisecond

// minTreePollInterval is the shortest time between two polls of the platform for
// a tree.
const minTreePollInterval = 2 * time.Second

// SetTree puts a tree in force at time now unless its revision is older than or
// equal to the current one, and returns the effects to carry out. It must be
// called from the goroutine that owns the machine.
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
		m.announceRevision()
	}
	return m.finish()
}

// assignModels assigns the tree's models to the cells of this region.
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

// announceRevision notifies a few random nodes of the new tree.
func (m *Machine) announceRevision() {
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

// noticeRevision fetches the tree from a node that has a newer one.
func (m *Machine) noticeRevision(from api.NodeRef, revision tree.Revision) {
	m.treeSeen = max(m.treeSeen, revision)
	if m.settings != nil && revision <= m.settings.Revision() {
		return
	}
	if m.now.Sub(m.treeFetchedAt) < minTreeFetchInterval {
		return
	}
	m.treeFetchedAt = m.now
	m.emit(FetchTree{Peer: from.PeerAddress})
}

// pollTree asks the platform for a newer tree. The interval grows with the number
// of nodes, to keep the total load constant; a node without any tree polls at the
// shortest interval.
func (m *Machine) pollTree() {
	if m.now.Before(m.nextTreePollAt) {
		return
	}
	pause := minTreePollInterval
	if m.settings != nil {
		pause = max(pause, time.Duration(len(m.membership.Members()))*m.timing.TreePollPerNode)
	}
	m.nextTreePollAt = m.now.Add(pause + m.jitter(pause/4))
	m.emit(FetchTree{})
}
