package engine

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the blocks in which engines cache prompts.
const PrefixBlockBytes = 256

// Headers of an engine's refusal.
const (
	// HeaderLeaving is "true" when the engine takes no new work.
	HeaderLeaving = "X-Engine-Leaving"
	// HeaderNotRun is "true" when no part of the refused request was run.
	HeaderNotRun = "X-Engine-Not-Run"
)

// ChatMessage is one message of a chat completion request, its content as text.
type ChatMessage struct {
	Role    string
	Content string
}

// ChatPrompt returns the text whose prefixes an engine caches for a chat.
func ChatPrompt(messages []ChatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// chatMessage is a message of a chat completion request on the wire.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"` // a text, or parts of which some are texts
}

// ParseChat returns ChatPrompt of the JSON array of a chat's messages, and
// false if it is none.
func ParseChat(messages []byte) (prompt string, ok bool) {
	var parsed []chatMessage
	if json.Unmarshal(messages, &parsed) != nil {
		return "", false
	}
	texts := make([]ChatMessage, len(parsed))
	for i, message := range parsed {
		texts[i] = ChatMessage{Role: message.Role, Content: message.text()}
	}
	return ChatPrompt(texts), true
}

// text returns the text of the content, empty if it has another form.
func (m chatMessage) text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	for _, part := range parts {
		text += part.Text
	}
	return text
}

// PrefixHashes returns the hashes of the prefixes of text that are whole
// blocks of blockBytes long, shortest first. A rest shorter than a block has
// no hash.
func PrefixHashes(text string, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(text)/blockBytes)
	digest := xxhash.New()
	for end := blockBytes; end <= len(text); end += blockBytes {
		_, _ = digest.WriteString(text[end-blockBytes : end]) // never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
