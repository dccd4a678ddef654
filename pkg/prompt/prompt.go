// Package prompt knows what a request asks of an engine before it runs: how many tokens it
// has to read, how many it may write, and which parts of its prompt others share.
package prompt

import (
	"strconv"
	"strings"
)

// Part is a piece of a prompt. Requests whose first parts are the same share what an engine
// keeps of them.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is the work that a request brings. In the zero value nothing is known.
type Prompt struct {
	tokens int    // of the prompt; zero: not told
	most   int    // tokens of the answer; zero: not told
	likely int    // tokens of the answer; zero: not told
	parts  []Part // in order; nil: not told
}

// Tokens returns the length of the prompt, zero if it is not told.
func (p *Prompt) Tokens() int { return p.tokens }

// Most returns how many tokens the answer has at most, zero if it is not told.
func (p *Prompt) Most() int { return p.most }

// Likely returns how many tokens the answer is expected to have: the caller's guess, which is
// right in the median only, or else Most.
func (p *Prompt) Likely() int {
	if p.likely > 0 {
		return p.likely
	}
	return p.most
}

// Parts returns the parts in order, nil if they are not told; the last one belongs to the request
// or its session alone. The slice is not to be changed.
func (p *Prompt) Parts() []Part { return p.parts }

// SharedTokens returns how much of the prompt other requests may have brought as well.
func (p *Prompt) SharedTokens() int {
	sum := 0
	for _, part := range p.shared() {
		sum += part.Tokens
	}
	return sum
}

// SharedID returns the ID of the last part that other requests share, empty if there is none.
// An engine keeps it only behind the parts before it, so that it stands for them as well.
func (p *Prompt) SharedID() string {
	shared := p.shared()
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

// shared returns all parts but the last.
func (p *Prompt) shared() []Part {
	if len(p.parts) < 2 {
		return nil
	}
	return p.parts[:len(p.parts)-1]
}

// Bounds of what a caller may tell; a field beyond them counts as not told.
const (
	mostTokens = 1 << 24 // of a prompt or an answer
	mostParts  = 64
	mostIDLen  = 64 // bytes
)

// Fields are the texts in which a caller tells of a prompt; an empty one is not told.
type Fields struct {
	Tokens string // of the prompt, and the most of the answer: "1460,80"
	Parts  string // ID:TOKENS, separated by commas
	Likely string // tokens of the answer
}

// Parse reads what is told. A field that can't be read counts as not told: it decides only
// where the request runs best, never whether.
func Parse(f Fields) Prompt {
	var p Prompt
	in, out, _ := strings.Cut(f.Tokens, ",")
	p.tokens, p.most = number(in), number(out)
	p.likely = number(f.Likely)
	if p.most > 0 {
		p.likely = min(p.likely, p.most)
	}
	p.parts = parts(f.Parts)
	return p
}

// number reads a count of tokens, zero if the text is none or out of bounds.
func number(text string) int {
	n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 32)
	if err != nil || n > mostTokens {
		return 0
	}
	return int(n)
}

// parts reads a list of parts, nil if any of it can't be read.
func parts(text string) []Part {
	if text == "" || strings.Count(text, ",") >= mostParts {
		return nil
	}
	list := make([]Part, 0, strings.Count(text, ",")+1)
	for field := range strings.SplitSeq(text, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		n := number(count)
		if !found || id == "" || len(id) > mostIDLen || n == 0 {
			return nil
		}
		list = append(list, Part{ID: id, Tokens: n})
	}
	return list
}
