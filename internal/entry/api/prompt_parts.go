package api

import (
	"encoding/json"
	"strconv"

	"github.com/zeebo/xxh3"
)

// maxPromptParts bounds the messages of a prompt that are considered.
const maxPromptParts = 64

// promptParts identifies the messages of a chat that other requests may share: all but the last one. Other
// prompts have no parts.
func promptParts(messages json.RawMessage) []string {
	var all []json.RawMessage
	if len(messages) == 0 || json.Unmarshal(messages, &all) != nil || len(all) == 0 {
		return nil
	}
	shared := all[:min(len(all)-1, maxPromptParts)]
	parts := make([]string, 0, len(shared))
	for _, m := range shared {
		parts = append(parts, strconv.FormatUint(xxh3.Hash(m), 16))
	}
	return parts
}
