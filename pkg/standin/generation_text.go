package standin

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Mark returns a hash of the model and prompt that is part of every token of the
// answers to that prompt.
func Mark(model, prompt string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(model+"\x00"+prompt)))
}

// TokenText returns token number i of the answer to a request: the mark of the
// prompt, a hash of the request ID, and the number. It depends on nothing else,
// so that every engine continues an answer in the same way.
func TokenText(model, prompt, requestID string, i int) string {
	return tokenPrefix(model, prompt, requestID) + strconv.Itoa(i) + " "
}

// AnswerText returns the complete answer of count tokens.
func AnswerText(model, prompt, requestID string, count int) string {
	prefix := tokenPrefix(model, prompt, requestID)
	var text []byte
	for i := range count {
		text = append(text, prefix...)
		text = strconv.AppendInt(text, int64(i), 10)
		text = append(text, ' ')
	}
	return string(text)
}

func tokenPrefix(model, prompt, requestID string) string {
	return Mark(model, prompt) + "." + fmt.Sprintf("%08x", uint32(xxhash.Sum64String(requestID))) + "-"
}
