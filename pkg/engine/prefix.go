package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

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

// ChatMessage is one message of a chat completion request, as far as its text
// counts.
type ChatMessage struct {
	Role    string   `json:"role"`
	Content ChatText `json:"content"`
}

// ChatText is the text of a message: one text, or parts of which some are
// texts. Content of another form has no text.
type ChatText string

// UnmarshalJSON reads the text of valid JSON.
func (t *ChatText) UnmarshalJSON(value []byte) error {
	if isPlainText(value) {
		*t = ChatText(value[1 : len(value)-1])
		return nil
	}
	*t = ChatText(decodedText(value))
	return nil
}

// ChatPrompt returns the text whose prefixes an engine caches for a chat.
func ChatPrompt(messages []ChatMessage) string {
	length := 0
	for _, message := range messages {
		length += len(message.Role) + len(message.Content) + len("\n\n")
	}
	var prompt strings.Builder
	prompt.Grow(length)
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(string(message.Content))
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// ParseChat returns ChatPrompt of the JSON array of a chat's messages, and
// false if it is none.
func ParseChat(messages []byte) (prompt string, ok bool) {
	var parsed []ChatMessage
	if json.Unmarshal(messages, &parsed) != nil {
		return "", false
	}
	return ChatPrompt(parsed), true
}

// isPlainText tells whether a valid JSON value is a string that stands for
// itself, without escapes.
func isPlainText(value []byte) bool {
	return value[0] == '"' && bytes.IndexByte(value, '\\') < 0 && utf8.Valid(value)
}

// decodedText returns the text of a string with escapes or of parts.
func decodedText(value []byte) string {
	var text string
	if json.Unmarshal(value, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(value, &parts) != nil {
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
