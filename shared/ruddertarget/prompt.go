package ruddertarget

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Message is one message of a chat completion request.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. In JSON it is a string, or a list of parts whose texts are concatenated.
type Content string

// UnmarshalJSON implements json.Unmarshaler for a string, null or a list of text parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.Wrap(err, "message content")
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(p.Text)
	}
	*c = Content(joined.String())
	return nil
}

// PromptText returns the prompt that an engine builds from chat messages. Prefix-cache blocks are computed over
// this text.
func PromptText(messages []Message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteString("\n")
		prompt.WriteString(string(m.Content))
		prompt.WriteString("\n")
	}
	return prompt.String()
}

// PrefixBlocks returns the identifiers of a prompt's complete prefix-cache blocks, shortest prefix first. A
// partial block at the end has no identifier.
func PrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	digest := xxhash.New()
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-PrefixBlockBytes : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}
