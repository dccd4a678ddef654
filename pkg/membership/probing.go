package membership

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/api"
)

// Limits of the numbers of probes.
const (
	indirectProbers = 3  // members asked to probe one that does not answer
	verifyPerTick   = 2  // members probed in a tick because nodes see them in different states
	maxRelays       = 64 // probes in progress on behalf of others
	seedsPerJoin    = 3  // seeds asked at a time while no member is known
)

// probe is a probe in progress.
type probe struct {
	target       api.NodeRef
	sent         time.Time
	indirectSent bool // other members were asked to probe too
	noSuspicion  bool // a missing answer causes no suspicion, as the target may be dead
}

// relay is a probe in progress on behalf of another node.
type relay struct {
	target   api.NodeID
	origin   api.NodeRef
	sequence uint64 // of the ProbeRequest
	sent     time.Time
}

// timeouts returns the direct and the total timeout of a probe of ref.
func (m *Machine) timeouts(ref api.NodeRef) (direct, total time.Duration) {
	direct, total = DirectTimeout, DirectTimeout+IndirectTimeout
	if ref.Region != m.self.update.Ref.Region {
		direct, total = direct*RemoteFactor, total*RemoteFactor
	}
	return m.lag.extend(direct), m.lag.extend(total)
}

// checkProbes handles the probes that were not answered in time.
func (m *Machine) checkProbes(now time.Time, packets []Packet) []Packet {
	sequences := make([]uint64, 0, len(m.probes))
	for sequence := range m.probes {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	for _, sequence := range sequences {
		waiting := m.probes[sequence]
		direct, total := m.timeouts(waiting.target)
		age := now.Sub(waiting.sent)
		switch {
		case age >= total:
			delete(m.probes, sequence)
			m.handleTimeout(now, waiting)
		case age >= direct && !waiting.indirectSent && !waiting.noSuspicion:
			waiting.indirectSent = true
			packets = m.requestIndirectProbes(sequence, waiting.target, packets)
		}
	}
	for sequence, relayed := range m.relays {
		if now.Sub(relayed.sent) > ProbeInterval*RemoteFactor {
			delete(m.relays, sequence)
		}
	}
	return packets
}

// handleTimeout suspects a member whose probe failed, unless that incarnation was replaced or forgotten.
func (m *Machine) handleTimeout(now time.Time, failed *probe) {
	known, exists := m.table[failed.target.ID]
	if failed.noSuspicion || !exists || known.update.Ref.Incarnation != failed.target.Incarnation {
		return
	}
	m.suspect(now, failed.target.ID)
}

// requestIndirectProbes asks random live members to probe target, first those of its region.
func (m *Machine) requestIndirectProbes(sequence uint64, target api.NodeRef, packets []Packet) []Packet {
	var near, far []api.NodeRef
	for _, id := range m.ids {
		known := m.table[id]
		if known == m.self || id == target.ID || known.update.State != StateAlive {
			continue
		}
		if known.update.Ref.Region == target.Region {
			near = append(near, known.update.Ref)
		} else {
			far = append(far, known.update.Ref)
		}
	}
	m.shuffle(near)
	m.shuffle(far)
	helpers := append(near, far...)
	for _, helper := range helpers[:min(indirectProbers, len(helpers))] {
		request := ProbeRequest{Header: m.header(helper.ID), Sequence: sequence, Target: target}
		packets = append(packets, Packet{To: helper, Message: request})
	}
	return packets
}

func (m *Machine) shuffle(refs []api.NodeRef) {
	m.random.Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
}

// sendProbes probes the subjects whose probe is due.
func (m *Machine) sendProbes(now time.Time, packets []Packet) []Packet {
	for _, id := range m.neighbours.subjects {
		known, exists := m.table[id]
		if !exists || now.Before(m.schedule[id]) {
			continue
		}
		m.schedule[id] = now.Add(ProbeInterval)
		packets = append(packets, m.probe(now, known.update.Ref, false))
	}
	return packets
}

// probe starts a probe of a node, of which possibly only the address is known.
func (m *Machine) probe(now time.Time, target api.NodeRef, noSuspicion bool) Packet {
	m.sequence++
	m.probes[m.sequence] = &probe{target: target, sent: now, noSuspicion: noSuspicion}
	return Packet{To: target, Message: m.probeMessage(target, m.sequence)}
}

func (m *Machine) probeMessage(target api.NodeRef, sequence uint64) Probe {
	message := Probe{Sequence: sequence}
	known, exists := m.table[target.ID]
	if !exists {
		message.Header = m.header(target.ID)
		return message
	}
	message.Header = m.header(target.ID, rowToRefute(known)...)
	message.KnownDigest = known.digestSerial
	message.Digest = m.digestNewsFor(known)
	return message
}

// rowToRefute returns the row of a member that is not seen as alive, so that the member can refute it.
func rowToRefute(known *member) []Update {
	if known.update.State == StateAlive {
		return nil
	}
	return []Update{known.update}
}

func (m *Machine) digestNewsFor(known *member) *DigestNews {
	sameRegion := known.update.Ref.Region == m.self.update.Ref.Region
	return m.digest.newsSince(known.peerDigestSerial, sameRegion)
}

// answerProbe answers a probe.
func (m *Machine) answerProbe(from api.NodeRef, received Probe, packets []Packet) []Packet {
	known := m.table[from.ID]
	known.peerDigestSerial = received.KnownDigest
	known.applyDigest(received.Digest)
	ack := Ack{
		Header:      m.header(from.ID, rowToRefute(known)...),
		Sequence:    received.Sequence,
		KnownDigest: known.digestSerial,
		Digest:      m.digestNewsFor(known),
	}
	return append(packets, Packet{To: from, Message: ack})
}

// handleAck ends a probe that was answered, or sends a RelayedAck to the node on whose behalf the probe was
// sent.
func (m *Machine) handleAck(now time.Time, from api.NodeRef, received Ack, packets []Packet) []Packet {
	known := m.table[from.ID]
	known.peerDigestSerial = received.KnownDigest
	known.applyDigest(received.Digest)
	if waiting, exists := m.probes[received.Sequence]; exists && waiting.answeredBy(from) {
		delete(m.probes, received.Sequence)
	}
	relayed, exists := m.relays[received.Sequence]
	if !exists || relayed.target != from.ID {
		return packets
	}
	delete(m.relays, received.Sequence)
	answer := RelayedAck{Header: m.header(relayed.origin.ID), Sequence: relayed.sequence, Target: from.ID}
	return append(packets, Packet{To: relayed.origin, Message: answer})
}

// answeredBy reports whether an answer from a node ends the probe. If only the target's address is known, an
// answer from any node does.
func (p *probe) answeredBy(from api.NodeRef) bool {
	return p.target.ID == "" || p.target.ID == from.ID
}

// relayProbe probes a node on behalf of another one.
func (m *Machine) relayProbe(now time.Time, from api.NodeRef, received ProbeRequest, packets []Packet) []Packet {
	if len(m.relays) >= maxRelays || received.Target.PeerAddress == "" {
		return packets
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		target:   received.Target.ID,
		origin:   from,
		sequence: received.Sequence,
		sent:     now,
	}
	message := m.probeMessage(received.Target, m.sequence)
	return append(packets, Packet{To: received.Target, Message: message})
}

func (m *Machine) handleRelayedAck(received RelayedAck) {
	waiting, exists := m.probes[received.Sequence]
	if exists && waiting.target.ID == received.Target {
		delete(m.probes, received.Sequence)
	}
}

// applyDigest applies a change of the member's digest. A change based on another serial than the known one is
// ignored; the next message tells the member the known serial.
func (r *member) applyDigest(news *DigestNews) {
	if news == nil || news.Base != 0 && news.Base != r.digestSerial {
		return
	}
	cells := news.Cells
	if news.Base != 0 {
		cells = mergeCells(r.digest.Cells, news.Cells)
	}
	r.digest = Digest{TreeRevision: news.TreeRevision, Cells: cells}
	r.digestSerial = news.Serial
}

func mergeCells(cells, changed []CellVersion) []CellVersion {
	latest := cellsByName(changed)
	merged := make([]CellVersion, 0, len(cells)+len(changed))
	for _, cell := range cells {
		if newer, exists := latest[cell.Cell]; exists {
			cell = newer
			delete(latest, cell.Cell)
		}
		merged = append(merged, cell)
	}
	for _, cell := range changed {
		if _, added := latest[cell.Cell]; added {
			merged = append(merged, cell)
		}
	}
	return merged
}

// addVerify schedules a probe of a member that other nodes may see in another state.
func (m *Machine) addVerify(id api.NodeID) {
	if !slices.Contains(m.toVerify, id) {
		m.toVerify = append(m.toVerify, id)
	}
}

// verifyMembers probes some of the members that other nodes see differently, or that send messages although
// they are seen as dead. The probe carries the row that the member may refute.
func (m *Machine) verifyMembers(now time.Time, packets []Packet) []Packet {
	for range verifyPerTick {
		if len(m.toVerify) == 0 {
			break
		}
		choice := m.random.IntN(len(m.toVerify))
		id := m.toVerify[choice]
		m.toVerify = slices.Delete(m.toVerify, choice, choice+1)
		if known, exists := m.table[id]; exists && known.update.State != StateLeft {
			packets = append(packets, m.probe(now, known.update.Ref, true))
		}
	}
	return packets
}

// rejoin asks seeds for their tables while no other member is known. Later it occasionally probes a dead
// member or a seed that is not a member, so that the parts of a healed partition find each other.
func (m *Machine) rejoin(now time.Time, packets []Packet) []Packet {
	if now.Before(m.nextRejoin) {
		return packets
	}
	if len(m.neighbours.all) == 0 {
		m.nextRejoin = now.Add(SyncInterval)
		return m.join(packets)
	}
	m.nextRejoin = now.Add(RejoinInterval)
	if m.random.IntN(max(m.liveCount, 1)) >= RejoinProbes {
		return packets // left to other nodes
	}
	addresses := make(map[string]bool, len(m.table))
	var lost []api.NodeRef
	for _, id := range m.ids {
		known := m.table[id]
		addresses[known.update.Ref.PeerAddress] = true
		if known.update.State == StateDead {
			lost = append(lost, known.update.Ref)
		}
	}
	for _, seed := range m.seeds {
		if !addresses[seed] {
			lost = append(lost, api.NodeRef{PeerAddress: seed})
		}
	}
	if len(lost) == 0 {
		return packets
	}
	return append(packets, m.probe(now, lost[m.random.IntN(len(lost))], true))
}

// join asks some seeds for their tables, and probes some dead members, as no other member seems alive.
func (m *Machine) join(packets []Packet) []Packet {
	var targets []api.NodeRef
	for _, seed := range m.seeds {
		targets = append(targets, api.NodeRef{PeerAddress: seed})
	}
	m.shuffle(targets)
	targets = targets[:min(seedsPerJoin, len(targets))]
	for _, target := range targets {
		packets = append(packets, Packet{To: target, Message: SyncRequest{Header: m.header(target.ID)}})
	}
	var lost []api.NodeRef
	for _, id := range m.ids {
		if known := m.table[id]; known.update.State == StateDead {
			lost = append(lost, known.update.Ref)
		}
	}
	m.shuffle(lost)
	for _, target := range lost[:min(seedsPerJoin, len(lost))] {
		packets = append(packets, Packet{To: target, Message: Probe{Header: m.header(target.ID, m.table[target.ID].update)}})
	}
	return packets
}
