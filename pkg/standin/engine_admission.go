package standin

import (
	"martenwheel.dev/pkg/engine"
)

// admit moves queued requests into the batch while it has free slots and memory.
func (s *engineState) admit() {
	for s.batch.count(phasePrefill)+s.batch.count(phaseDecoding) < s.config.MaxBatch {
		g := s.batch.first()
		if g == nil {
			return
		}
		bytes := uint64(g.promptTokens+g.target) * s.config.KVBytesPerToken
		if !s.makeRoomForKV(bytes) {
			return
		}
		g.kvBytes = bytes
		s.startPrefill(g)
	}
}

func (s *engineState) startPrefill(g *generation) {
	if !g.started {
		g.started = true
		s.executed[g.key]++
		cached := s.prefixes.match(g.model, g.prefixes) * engine.PrefixBlockBytes / bytesPerToken
		g.cachedTokens = min(cached, g.promptTokens)
		g.prefillLeft = float64(g.promptTokens - g.cachedTokens)
	}
	g.phase = phasePrefill
	if g.prefillLeft <= tokenTolerance {
		g.phase = phaseDecoding
	}
}

// storePrefixes adds the prompts of requests that have finished prefill to the
// prefix cache.
func (s *engineState) storePrefixes() {
	s.prefixes.now = s.now
	for _, g := range s.batch.active {
		if g.phase != phaseDecoding || g.stored {
			continue
		}
		g.stored = true
		for _, prefix := range g.prefixes {
			s.prefixes.store(g.model, prefix, func(bytes uint64) bool { return s.fits(0, bytes) })
		}
	}
}
