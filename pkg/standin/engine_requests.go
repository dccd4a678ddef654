package standin

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/engine"
)

// submit queues a new request.
func (s *engineState) submit(request submission) (*generation, error) {
	if s.leaving {
		return nil, ErrLeaving
	}
	if !s.serves(request.model) {
		return nil, ErrModelNotReady
	}
	g := s.newGeneration(request)
	if err := s.checkLength(g); err != nil {
		return nil, err
	}
	s.batch.add(g)
	return g, nil
}

func (s *engineState) newGeneration(request submission) *generation {
	g := &generation{
		id:           request.id,
		key:          request.key,
		model:        request.model,
		prompt:       request.prompt,
		prefixes:     engine.PrefixHashes(request.prompt, engine.PrefixBlockBytes),
		promptTokens: (len(request.prompt) + bytesPerToken - 1) / bytesPerToken,
		target:       request.maxTokens,
		finishReason: "length",
		priority:     request.priority,
		deadline:     request.deadline,
		changed:      make(chan struct{}, 1),
	}
	if g.key == "" {
		g.key = g.id
	}
	if g.target <= 0 {
		g.target = s.config.DefaultMaxTokens
		g.finishReason = "stop"
	}
	g.target = min(g.target, s.config.MaxTokens)
	return g
}

func (s *engineState) checkLength(g *generation) error {
	tokens := uint64(g.promptTokens + g.target)
	if tokens > (s.config.MemoryBytes+s.config.KVReserveBytes)/s.config.KVBytesPerToken {
		return ErrTooLong
	}
	return nil
}

// cancel removes the generation from the batch. It can still be resumed.
func (s *engineState) cancel(g *generation) {
	if g.ended() {
		return
	}
	s.batch.end(g, phaseCancelled, s.now)
	s.batch.compact()
}

// resume attaches a caller to an existing generation. A cancelled one is queued
// again and continues where it stopped.
func (s *engineState) resume(id string) (*generation, error) {
	g, ok := s.batch.generations[id]
	if !ok || g.phase == phaseRefused {
		return nil, ErrUnknownRequest
	}
	if g.phase == phaseCancelled {
		if !s.serves(g.model) {
			return nil, ErrModelNotReady
		}
		s.batch.add(g)
	}
	g.attachment++
	close(g.changed) // tells the previous caller that it was replaced
	g.changed = make(chan struct{}, 1)
	return g, nil
}

// kvData is the content of an exported KV cache.
type kvData struct {
	Submission  exportedRequest
	Tokens      int
	Cached      int
	Started     bool
	PrefillLeft float64
}

// exportedRequest is the part of a generation that is exported with its KV cache.
type exportedRequest struct {
	Key      string
	Prompt   string
	Target   int
	Reason   string
	Priority int
}

func (s *engineState) exportKV(request engine.KVExportRequest) (engine.KVExport, error) {
	g, ok := s.batch.generations[request.RequestID]
	if !ok || g.phase == phaseRefused {
		return engine.KVExport{}, ErrUnknownRequest
	}
	data := kvData{
		Submission:  exportedRequest{Key: g.key, Prompt: g.prompt, Target: g.target, Reason: g.finishReason, Priority: g.priority},
		Tokens:      g.tokens(),
		Cached:      g.cachedTokens,
		Started:     g.started,
		PrefillLeft: g.prefillLeft,
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(data); err != nil {
		return engine.KVExport{}, errors.Wrap(err, "encode KV cache")
	}
	if request.Cancel {
		s.cancel(g)
	}
	return engine.KVExport{RequestID: g.id, Model: g.model, Events: data.Tokens, Data: encoded.Bytes()}, nil
}

// importKV adds a request in the cancelled state. Resuming it computes nothing
// again.
func (s *engineState) importKV(export engine.KVExport) error {
	if s.leaving {
		return ErrLeaving
	}
	if !s.serves(export.Model) {
		return ErrModelNotReady
	}
	var data kvData
	if err := gob.NewDecoder(bytes.NewReader(export.Data)).Decode(&data); err != nil {
		return errors.Wrap(err, "decode KV cache")
	}
	g := s.newGeneration(submission{
		id:        export.RequestID,
		key:       data.Submission.Key,
		model:     export.Model,
		prompt:    data.Submission.Prompt,
		maxTokens: data.Submission.Target,
		priority:  data.Submission.Priority,
	})
	g.finishReason = data.Submission.Reason
	if err := s.checkLength(g); err != nil {
		return err
	}
	g.produced = float64(data.Tokens)
	g.cachedTokens = data.Cached
	g.started = data.Started
	g.prefillLeft = data.PrefillLeft
	s.batch.end(g, phaseCancelled, s.now)
	s.batch.generations[g.id] = g
	return nil
}
