package engine

import (
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"strings"

	"github.com/pkg/errors"
)

// The natural length of a completion is from minCompletionTokens on, within a range of
// completionTokenRange values.
const (
	minCompletionTokens  = 16
	completionTokenRange = 48
)

var vocabulary = strings.Fields(`the a report shows every beam and upright within limits while
	one badge entry needs its date checked before the next review so please note the
	load sign on bay four and ask the counselor to confirm each step in writing`)

// prompt holds what the engine uses of a caller's request body in the OpenAI format.
type prompt struct {
	text      string
	maxTokens int
	ignoreEOS bool
}

type body struct {
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	// IgnoreEOS makes the completion exactly as long as the limit, as in vLLM.
	IgnoreEOS bool `json:"ignore_eos"`
}

func parsePrompt(raw []byte) (prompt, error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return prompt{}, errors.Wrap(err, "body")
	}
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(plainText(m.Content))
		text.WriteString("\n")
	}
	text.WriteString(plainText(b.Prompt))
	if text.Len() == 0 {
		return prompt{}, errors.New("body holds neither messages nor a prompt")
	}
	return prompt{text: text.String(), maxTokens: max(b.MaxTokens, b.MaxCompletionTokens), ignoreEOS: b.IgnoreEOS}, nil
}

// plainText returns the text of a string, a list of strings or a list of text parts.
func plainText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) == nil {
		var joined strings.Builder
		for _, item := range list {
			joined.WriteString(plainText(item))
		}
		return joined.String()
	}
	var part struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &part)
	return part.Text
}

// length returns the number of tokens of the complete text and the finish reason.
func (p prompt) length() (uint64, string) {
	naturalLength := minCompletionTokens + int(p.hash(1<<63)%completionTokenRange)
	switch {
	case p.maxTokens > 0 && (p.ignoreEOS || p.maxTokens < naturalLength):
		return uint64(p.maxTokens), "length"
	default:
		return uint64(naturalLength), "stop"
	}
}

// token returns the token at an offset of the completion.
func (p prompt) token(offset uint64) string {
	return vocabulary[p.hash(offset)%uint64(len(vocabulary))] + " "
}

func (p prompt) hash(offset uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(p.text))
	var suffix [8]byte
	binary.LittleEndian.PutUint64(suffix[:], offset)
	_, _ = h.Write(suffix[:])
	return h.Sum64()
}

// Completion returns the complete text that the engine generates for a request body in the OpenAI
// format, and its number of tokens.
func Completion(raw []byte) (string, uint64, error) {
	p, err := parsePrompt(raw)
	if err != nil {
		return "", 0, err
	}
	n, _ := p.length()
	var text strings.Builder
	for i := range n {
		text.WriteString(p.token(i))
	}
	return text.String(), n, nil
}
