// Package prompt describes the work that a request brings to an engine, as known before it
// runs: the length of its prompt, the length of its answer, and which parts of its prompt
// other requests share.
package prompt

import (
	"slices"
	"strconv"
	"strings"
)

// Part is a part of a prompt. Requests with the same leading parts share an engine's cache
// entries for them.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the work that a request brings. In the zero value everything is unknown.
type Prompt struct {
	tokens         int    // tokens of the prompt; zero: unknown
	maxOutput      int    // most tokens of the answer; zero: unknown
	expectedOutput int    // expected tokens of the answer; zero: unknown
	parts          []Part // in order; nil: unknown
}

// Tokens returns the length of the prompt in tokens, zero if unknown.
func (p *Prompt) Tokens() int { return p.tokens }

// MaxOutput returns the largest number of tokens of the answer, zero if unknown.
func (p *Prompt) MaxOutput() int { return p.maxOutput }

// ExpectedOutput returns the expected number of tokens of the answer: the caller's estimate, which is
// accurate only in the median, or Most if there is none.
func (p *Prompt) ExpectedOutput() int {
	if p.expectedOutput > 0 {
		return p.expectedOutput
	}
	return p.maxOutput
}

// Parts returns the parts in order, nil if unknown. The last one belongs only to the request
// or its session. The caller must not change the slice.
func (p *Prompt) Parts() []Part { return p.parts }

// SharedTokens returns the number of tokens of the parts that other requests may share.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for _, part := range p.shared() {
		sum += part.Tokens
	}
	return sum
}

// SharedID returns the ID of the last part that other requests may share, empty if there is
// none. An engine caches a part only together with those before it, so the ID identifies all
// of the shared parts.
func (p *Prompt) SharedID() string {
	shared := p.shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// SharedIDs returns the IDs of the parts that other requests may share, each once.
func (p *Prompt) SharedIDs() []string {
	var ids []string
	for _, part := range p.shared() {
		if !slices.Contains(ids, part.ID) {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// shared returns all parts but the last.
func (p *Prompt) shared() []Part {
	if len(p.parts) < 2 {
		return nil
	}
	return p.parts[:len(p.parts)-1]
}

// Limits on the values that a caller may send. A field beyond them counts as unknown.
const (
	maxTokens  = 1 << 24 // tokens of a prompt or an answer
	maxParts   = 64
	maxIDBytes = 64 // bytes
)

// Fields are the texts in which a caller describes a prompt. An empty one means unknown.
type Fields struct {
	Tokens         string // tokens of the prompt and most tokens of the answer: "1460,80"
	Parts          string // ID:TOKENS, separated by commas
	ExpectedOutput string // expected tokens of the answer
}

// Parse parses the fields. An invalid field counts as unknown, because the fields only
// determine where a request runs best, never whether it runs.
func Parse(f Fields) Prompt {
	var p Prompt
	promptTokens, outputTokens, _ := strings.Cut(f.Tokens, ",")
	p.tokens, p.maxOutput = parseCount(promptTokens), parseCount(outputTokens)
	p.expectedOutput = parseCount(f.ExpectedOutput)
	if p.maxOutput > 0 {
		p.expectedOutput = min(p.expectedOutput, p.maxOutput)
	}
	p.parts = parseParts(f.Parts)
	return p
}

// parseCount parses a number of tokens. It returns zero if the text is invalid or out of
// bounds.
func parseCount(text string) int {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil || n > maxTokens {
		return 0
	}
	return int(n)
}

// parseParts parses a list of parts. It returns nil if any of them is invalid.
func parseParts(text string) []Part {
	if text == "" || strings.Count(text, ",") >= maxParts {
		return nil
	}
	list := make([]Part, 0, strings.Count(text, ",")+1)
	for field := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		n := parseCount(count)
		if !found || id == "" || len(id) > maxIDBytes || n == 0 {
			return nil
		}
		list = append(list, Part{ID: id, Tokens: n})
	}
	return list
}
