package engine

import "encoding/json"

// Paths of the engine protocol, which docs/STANDINS.md describes.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathOrders      = "/v1/orders"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/events"
	PathHealth      = "/healthz"
)

// OrdererHeader is the header field with the token that authenticates an order, for
// engines that check it.
const OrdererHeader = "Egretreach-Orderer"

// The actions of an Order.
const (
	ActionLoad    = "load"
	ActionRelease = "release"
)

// Codes of a Refusal. A refused generation did not run.
const (
	CodeStaleFence     = "stale_fence"
	CodeNotLoaded      = "not_loaded"
	CodeNotHead        = "not_head"
	CodeOrdererRefused = "orderer_refused"
	CodeInvalidRequest = "invalid_request"
	CodeOverloaded     = "overloaded"
)

// GenerateRequest starts a generation. Body is the body of the caller's OpenAI
// request.
type GenerateRequest struct {
	RequestID    string          `json:"request_id"`
	Attempt      uint32          `json:"attempt"`
	Replica      string          `json:"replica"`
	Fence        uint64          `json:"fence"`
	Path         string          `json:"path"`
	Adapter      string          `json:"adapter,omitempty"`
	Priority     int             `json:"priority,omitempty"`
	ResumeOffset uint64          `json:"resume_offset,omitempty"`
	ResumeText   string          `json:"resume_text,omitempty"`
	Body         json.RawMessage `json:"body"`
}

// GenerateEvent is one line of the response to a GenerateRequest: a token at an
// offset, or the end of the generation.
type GenerateEvent struct {
	RequestID        string `json:"request_id"`
	Attempt          uint32 `json:"attempt"`
	Offset           uint64 `json:"offset"`
	Text             string `json:"text,omitempty"`
	End              bool   `json:"end,omitempty"`
	FinishReason     string `json:"finish_reason,omitempty"`
	PromptTokens     int    `json:"prompt_tokens,omitempty"`
	CompletionTokens int    `json:"completion_tokens,omitempty"`
	CachedTokens     int    `json:"cached_tokens,omitempty"`
}

// CancelRequest stops a generation.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
}

// Order tells the engine to load a model or to unload the replica's model.
type Order struct {
	Action   string   `json:"action"`
	Replica  string   `json:"replica"`
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	// Members are the replica's hosts. Head is true on the host that receives the
	// replica's requests.
	Members []string `json:"members,omitempty"`
	Head    bool     `json:"head,omitempty"`
}

// Refusal is the body of each response with a status other than 200.
type Refusal struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
}

// Report is the state and load of an engine. The load figures may be out of date.
type Report struct {
	// Start identifies the engine process. It changes with each restart.
	Start       string `json:"start"`
	Replica     string `json:"replica,omitempty"`
	Fence       uint64 `json:"fence,omitempty"`
	Loaded      bool   `json:"loaded"`
	LoadPercent int    `json:"load_percent"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
	// WaitingTokens is the number of prompt tokens not yet prefilled.
	WaitingTokens int `json:"waiting_tokens"`
	// PrefillRate is the prefill speed in prompt tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// TokenGapMs is the time between tokens of one stream, in milliseconds.
	TokenGapMs float64 `json:"token_gap_ms"`
	Capacity   int     `json:"capacity"`
}

// CacheEvent reports that a block entered or left the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the prompt up to and including the block.
	Block   uint64 `json:"block"`
	Removed bool   `json:"removed,omitempty"`
}
