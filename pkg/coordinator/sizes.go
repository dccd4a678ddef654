package coordinator

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/route"
)

// modelSize is the memory that a model takes at a server, in bytes.
type modelSize struct {
	weights uint64
	adapter uint64 // of each adapter
}

// sizeOf returns the size of a model as the configuration lists it.
func sizeOf(m *route.Model) modelSize { return modelSize{m.Bytes, m.AdapterBytes} }

// max returns the larger of two sizes, in each part.
func (a modelSize) max(b modelSize) modelSize {
	return modelSize{max(a.weights, b.weights), max(a.adapter, b.adapter)}
}

// unboundedBytes is the size of what nothing is known of but that a server holds it: more than any server's memory.
const unboundedBytes = 1 << 50

// occupant is what is known of the memory that one model takes at a server.
type occupant struct {
	size          modelSize // at most
	sized         bool      // false: no configuration of the service has been read yet
	unlistedSince time.Time // zero: the configuration lists the model
}

// update applies what the configuration in force tells of the model, and the largest size by earlier ones. What was once
// held without a known size stays unbounded: a size that is listed later may be another one.
func (o *occupant) update(now time.Time, listed *route.Model, earlier modelSize) {
	if listed != nil {
		o.unlistedSince = time.Time{}
	} else if o.unlistedSince.IsZero() {
		o.unlistedSince = now
	}
	if !o.sized {
		o.size, o.sized = earlier, true
	} else if listed != nil {
		o.size = o.size.max(sizeOf(listed))
	}
}

// bounded tells whether it is known what the model takes at most.
func (o *occupant) bounded() bool { return o.sized && o.size.weights < unboundedBytes }

// sizeMemory remembers the sizes of models from earlier configurations: what was loaded under them still takes that much.
// Its fields belong to the goroutine of Holder.Run, except where noted.
type sizeMemory struct {
	table     *route.Table // the configuration that models goes by
	models    map[demandKey]*rememberedSize
	held      map[demandKey]modelSize       // sizes that servers hold otherwise than as listed, when this node was last the holder
	listed    []byte                        // fingerprints of the models that table lists
	inherited *lease.ModelSizes             // what the last record of another holder told; nil: nothing
	recorded  atomic.Pointer[recordedSizes] // safe for concurrent use
}

// rememberedSize is what configurations told of a model's size.
type rememberedSize struct {
	largest modelSize // with which servers may hold it
	listed  bool      // by the configuration in force
	current modelSize // by the configuration in force, if that lists it
	before  modelSize // the size that was listed before current
	changed time.Time // when the model was last found unlisted, or with another size
}

// recordedSizes are the sizes that the lease's record is to have in a term.
type recordedSizes struct {
	term  uint64
	sizes *lease.ModelSizes
}

const (
	// sizeLifetime is how long a node remembers sizes of earlier configurations. The lease's record has those of what servers
	// still hold, so it is long enough for that to be written after an outage of the store.
	sizeLifetime = 10 * time.Minute
	// maxRecordedSizes bounds the sizes in the lease's record; the next holder may not know those of further models.
	maxRecordedSizes = 64
)

// differs tells whether servers may hold the model with a size that the configuration in force does not tell.
func (r *rememberedSize) differs() bool { return !r.listed || r.largest != r.current }

// learn takes in the sizes of a configuration. It returns false if it is the one in force already.
func (m *sizeMemory) learn(now time.Time, table *route.Table) bool {
	if table == nil || table == m.table {
		return false
	}
	if m.models == nil {
		m.models = make(map[demandKey]*rememberedSize)
	}
	first := m.table == nil
	m.table = table
	m.forget(now)
	for key, r := range m.models {
		if r.listed && listedModel(table, key.service, key.need) == nil {
			r.listed, r.changed = false, now
		}
	}
	for name, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		for _, listed := range s.Engine.Models {
			m.add(now, demandKey{name, listed.Name}, sizeOf(listed))
		}
	}
	m.listed = m.fingerprints(nil)
	if first {
		m.doubtChanged(now)
	}
	return true
}

// add takes in the size of a model that the configuration in force lists.
func (m *sizeMemory) add(now time.Time, key demandKey, size modelSize) {
	r := m.models[key]
	if r == nil {
		m.models[key] = &rememberedSize{largest: size, listed: true, current: size}
		return
	}
	if r.largest != size && (!r.listed || r.current != size) {
		r.changed = now
	}
	if r.current != size {
		r.before = r.current
	}
	r.listed, r.current, r.largest = true, size, r.largest.max(size)
}

// inherit takes in what the record of an earlier holder tells.
func (m *sizeMemory) inherit(now time.Time, recorded *lease.ModelSizes) {
	if m.inherited = recorded; recorded == nil {
		return
	}
	if m.models == nil {
		m.models = make(map[demandKey]*rememberedSize)
	}
	for _, one := range recorded.Held {
		key := demandKey{one.Service, one.Model}
		r := m.models[key]
		if r == nil {
			r = &rememberedSize{}
			m.models[key] = r
		}
		r.largest, r.changed = r.largest.max(modelSize{one.Bytes, one.AdapterBytes}), now
	}
	m.doubtChanged(now)
}

// doubtChanged compares the sizes that the earlier holder knew with those of this node. If they differ, one of the two has not
// seen a configuration by which servers may have loaded the model: its size is unbounded.
func (m *sizeMemory) doubtChanged(now time.Time) {
	if m.table == nil || m.inherited == nil || len(m.inherited.Listed) == 0 {
		return
	}
	known := make(map[uint32]bool, len(m.inherited.Listed)/fingerprintBytes)
	for list := m.inherited.Listed; len(list) >= fingerprintBytes; list = list[fingerprintBytes:] {
		known[binary.BigEndian.Uint32(list)] = true
	}
	held := make(map[demandKey]bool, len(m.inherited.Held))
	for _, one := range m.inherited.Held {
		held[demandKey{one.Service, one.Model}] = true
	}
	for key, r := range m.models {
		switch {
		case held[key]:
		case r.listed && known[fingerprint(key, r.current)]:
			r.largest = r.current // servers hold it no larger, as the record does not tell so
		case !known[fingerprint(key, r.largest)] && !known[fingerprint(key, r.before)]:
			r.largest.weights, r.changed = unboundedBytes, now
		}
	}
}

// fingerprintBytes is the length of the fingerprint of a model and its size.
const fingerprintBytes = 4

// fingerprint returns the fingerprint of a model and its size.
func fingerprint(key demandKey, size modelSize) uint32 {
	sum := fnv.New32a()
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00%d\x00%d", key.service, key.need, size.weights, size.adapter) // never fails
	return sum.Sum32()
}

// largest returns the largest size that a model may take at a server by what is remembered, false if nothing is.
func (m *sizeMemory) largest(service, model string) (modelSize, bool) {
	r := m.models[demandKey{service, model}]
	if r == nil {
		return modelSize{}, false
	}
	return r.largest, true
}

// forget drops the sizes of earlier configurations after sizeLifetime, but those of what servers hold as far as known.
func (m *sizeMemory) forget(now time.Time) {
	for key, r := range m.models {
		_, held := m.held[key]
		switch {
		case !r.differs() || now.Sub(r.changed) < sizeLifetime || held:
		case r.listed:
			r.largest = r.current
		default:
			delete(m.models, key)
		}
	}
}

// listedModel returns a model of a configuration, nil if it does not list it.
func listedModel(table *route.Table, service, model string) *route.Model {
	s := table.Service(service)
	if s == nil || s.Engine == nil {
		return nil
	}
	return s.Engine.Models[model]
}

// learnSizes takes in the sizes of the configuration in force, at this node and at all servers that it knows as holder.
func (h *Holder) learnSizes(now time.Time, table *route.Table) {
	if !h.sizes.learn(now, table) {
		return
	}
	for _, s := range h.servers {
		for name, known := range s.holds {
			h.updateOccupant(now, s, name, &known.occupant)
		}
		if s.busy != nil && s.busy.load {
			h.updateOccupant(now, s, s.busy.need.Model, &s.busy.occupant)
		}
	}
}

// updateOccupant applies the remembered sizes to what a server holds or loads. The size of a model that no configuration
// told is remembered as unbounded, also for when one lists it.
func (h *Holder) updateOccupant(now time.Time, s *serverState, model string, o *occupant) {
	table := h.sizes.table
	if table == nil || s.member == nil || table.Service(s.member.Service) == nil {
		return
	}
	key := demandKey{s.member.Service, model}
	listed := listedModel(table, key.service, key.need)
	if h.sizes.models[key] == nil {
		h.sizes.models[key] = &rememberedSize{largest: modelSize{weights: unboundedBytes}, changed: now}
	}
	o.update(now, listed, h.sizes.models[key].largest)
}

// orderedOccupant returns the memory that an ordered load will take: the size in force, or that of the order which this
// one repeats.
func (h *Holder) orderedOccupant(now time.Time, s *serverState, o order) occupant {
	var ordered occupant
	if !o.load || o.need.Adapter != "" {
		return ordered
	}
	if e := h.engineOf(s); e != nil && e.Models[o.need.Model] != nil {
		ordered.size, ordered.sized = sizeOf(e.Models[o.need.Model]), true
	} else {
		h.updateOccupant(now, s, o.need.Model, &ordered)
	}
	if s.unresolved != nil && s.busy != nil && s.busy.need == o.need {
		ordered.size = ordered.size.max(s.busy.size)
	}
	return ordered
}

// usedBytes returns the memory that a server's models and adapters take at most, with that of the load under way; false
// if it is not known.
func (s *serverState) usedBytes(now time.Time) (weights, adapters uint64, known bool) {
	known = true
	count := func(o *occupant) {
		weights += o.size.weights
		known = known && o.bounded()
	}
	for _, held := range s.holds {
		count(&held.occupant)
		adapters += uint64(held.adapterCount(now)) * held.size.adapter
	}
	if s.busy != nil && s.busy.load && s.holds[s.busy.need.Model] == nil {
		count(&s.busy.occupant)
	}
	return weights, adapters, known
}

// freeBytes returns the server's memory that models may still take, beside a reserve for adapters: none while it is not known
// what the server's models take.
func (s *serverState) freeBytes(now time.Time, e *route.Engine, reserve uint64) uint64 {
	weights, adapters, known := s.usedBytes(now)
	used := weights + max(adapters, reserve)
	if !known || used >= e.WeightBytes {
		return 0
	}
	return e.WeightBytes - used
}

// doubtful tells whether something at the server takes memory that nothing bounds.
func (s *serverState) doubtful(now time.Time) bool {
	_, _, known := s.usedBytes(now)
	return !known
}

// recordSizes prepares what the lease's record is to tell of sizes, for holders that have not seen the configurations which
// this one has: the sizes of models that servers hold, or may hold, otherwise than as listed, and which sizes are listed.
func (h *Holder) recordSizes(now time.Time) {
	differing := make(map[demandKey]modelSize)
	for key, r := range h.sizes.models {
		if r.differs() {
			differing[key] = r.largest
		}
	}
	if len(differing) > 0 && h.knowsAllServers() && h.Servers.Known() {
		h.keepHeld(differing)
	}
	h.sizes.held = differing
	h.sizes.forget(now)
	if h.sizes.table == nil {
		return // the record keeps what it tells
	}
	sizes := &lease.ModelSizes{}
	unrecorded := make(map[demandKey]bool)
	for key, size := range differing {
		if len(sizes.Held) == maxRecordedSizes {
			unrecorded[key] = true
			continue
		}
		sizes.Held = append(sizes.Held, lease.ModelSize{Service: key.service, Model: key.need, Bytes: size.weights, AdapterBytes: size.adapter})
	}
	sizes.Listed = h.sizes.listed
	if len(unrecorded) > 0 {
		sizes.Listed = h.sizes.fingerprints(unrecorded)
	}
	h.sizes.recorded.Store(&recordedSizes{h.term, sizes})
}

// fingerprints returns those of the listed models, but for some.
func (m *sizeMemory) fingerprints(without map[demandKey]bool) []byte {
	var list []byte
	for key, r := range m.models {
		if r.listed && !without[key] {
			list = binary.BigEndian.AppendUint32(list, fingerprint(key, r.current))
		}
	}
	return list
}

// keepHeld reduces a list of sizes to those of models that servers hold or load otherwise than as listed.
func (h *Holder) keepHeld(sizes map[demandKey]modelSize) {
	held := make(map[demandKey]modelSize)
	note := func(s *serverState, model string, o *occupant) {
		key := demandKey{s.member.Service, model}
		r := h.sizes.models[key]
		if _, differs := sizes[key]; differs && o.sized && (!r.listed || o.size != r.current) {
			held[key] = held[key].max(o.size)
		}
	}
	for _, s := range h.servers {
		if s.member == nil {
			continue
		}
		for name, known := range s.holds {
			note(s, name, &known.occupant)
		}
		if s.busy != nil && s.busy.load {
			note(s, s.busy.need.Model, &s.busy.occupant)
		}
	}
	clear(sizes)
	for key, size := range held {
		sizes[key] = size
	}
}

// ModelSizes returns what is known of the memory of models, for the record of a term. Safe for concurrent use.
func (h *Holder) ModelSizes(term uint64) (*lease.ModelSizes, bool) {
	recorded := h.sizes.recorded.Load()
	if recorded == nil || recorded.term != term {
		return nil, false
	}
	return recorded.sizes, true
}
