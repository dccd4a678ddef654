package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which engines cache prompts.
const PrefixBlockBytes = 256

// Headers of a response in which an engine refuses a request.
const (
	// HeaderLeaving is "true" when the engine takes no new work.
	HeaderLeaving = "X-Engine-Leaving"
	// HeaderNotRun is "true" when no part of the refused request was run.
	HeaderNotRun = "X-Engine-Not-Run"
)

// ChatMessage is one message of a chat completion request, reduced to the parts
// that belong to its text.
type ChatMessage struct {
	Role    string   `json:"role"`
	Content ChatText `json:"content"`
}

// ChatText is the text of a message. The content is a string, or a list of
// parts of which some are text. Content of any other form has an empty text.
type ChatText string

// UnmarshalJSON implements json.Unmarshaler. The value must be valid JSON.
func (t *ChatText) UnmarshalJSON(value []byte) error {
	if isPlainText(value) {
		*t = ChatText(value[1 : len(value)-1])
		return nil
	}
	*t = ChatText(decodedText(value))
	return nil
}

// ChatPrompt returns the prompt text of a chat, whose prefixes an engine caches.
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

// ParseChat parses the JSON array of a chat's messages and returns its
// ChatPrompt. It returns false if messages is not such an array.
func ParseChat(messages []byte) (prompt string, ok bool) {
	var parsed []ChatMessage
	if json.Unmarshal(messages, &parsed) != nil {
		return "", false
	}
	return ChatPrompt(parsed), true
}

// isPlainText reports whether a valid JSON value is a string without escapes.
func isPlainText(value []byte) bool {
	return value[0] == '"' && bytes.IndexByte(value, '\\') < 0 && utf8.Valid(value)
}

// decodedText returns the text of a JSON string, or of a list of text parts.
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

// PrefixHashes returns the hashes of all prefixes of text that consist of whole
// blocks of blockBytes, shortest first. A partial block at the end has no hash.
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
