package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

const chatPath = "/v1/chat/completions"

// bytesPerToken is used to estimate the length of a prompt before an engine has counted
// it.
const bytesPerToken = 4

// generationRequest holds the fields of a caller's body that the entry reads. The
// engine gets the whole body.
type generationRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens in chat completions.
	MaxCompletionTokens int `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (a *API) serveCompletion(c *call) {
	if !a.authorize(c) {
		return
	}
	body, ok := a.readBody(c)
	if !ok {
		return
	}
	var req generationRequest
	if err := json.Unmarshal(body, &req); err != nil {
		a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "bad_json", message: "the body is not the JSON of a completion: " + err.Error()})
		return
	}
	var model Model
	known, ok := a.findConfirmed(c, func() (found bool) {
		model, found = a.backend.ResolveModel(req.Model)
		return found
	})
	if !ok {
		return
	}
	if !known {
		a.writeError(c, errorResponse{
			status: http.StatusNotFound, code: "unknown_model",
			message: fmt.Sprintf("there is no model %q; GET /v1/models lists them", req.Model),
		})
		return
	}
	prompt := req.prompt(c.r.URL.Path)
	if len(prompt) == 0 {
		a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "no_prompt", message: "the body has neither a prompt nor messages"})
		return
	}
	tokens := max(req.MaxTokens, req.MaxCompletionTokens)
	if tokens > c.limits.MaxTokens {
		a.writeError(c, errorResponse{
			status: http.StatusBadRequest, code: "too_many_tokens",
			message: fmt.Sprintf("an answer has at most %d tokens", c.limits.MaxTokens),
		})
		return
	}
	work, ok := a.newWork(c, body, true)
	if !ok {
		return
	}
	work.BodyHash = a.backend.BodyHash(c.r.Method, c.r.URL.Path, body)
	work.Parts = promptParts(req.Messages)
	work.Body = dispatch.Generation{
		Path: c.r.URL.Path, Model: model.Model, Version: model.Version, Adapter: model.Adapter,
		Prompt: prompt, PromptTokens: len(prompt)/bytesPerToken + 1, MaxTokens: tokens,
		Raw: withMaxTokens(body, tokens, c.limits.MaxTokens),
	}
	format := completionFormat{chat: c.r.URL.Path == chatPath, id: c.id, model: req.Model, created: time.Now().Unix()}
	if req.Stream {
		a.streamCompletion(c, work, format, req.StreamOptions.IncludeUsage)
		return
	}
	a.writeCompletion(c, work, format)
}

// withMaxTokens sets max_tokens in a body that has no limit.
func withMaxTokens(body []byte, tokens, bound int) []byte {
	if tokens > 0 {
		return body
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(bound))
	raw, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return raw
}

func (g generationRequest) prompt(path string) []byte {
	raw := g.Prompt
	if path == chatPath {
		raw = g.Messages
	}
	text := strings.TrimSpace(string(raw))
	if text == "" || text == "null" || text == "[]" || text == `""` {
		return nil
	}
	return raw
}

// writeCompletion serves a generation without streaming.
func (a *API) writeCompletion(c *call, work dispatch.Work, format completionFormat) {
	result := a.backend.Serve(c.r.Context(), work, nil)
	if result.Outcome != request.OutcomeComplete || result.Answer == nil {
		a.writeError(c, newErrorResponse(result))
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(HeaderOutcome, string(result.Outcome))
	_ = json.NewEncoder(c.w).Encode(format.completion(string(result.Answer.Body), result))
}

// completionFormat renders completions in the format of the OpenAI API.
type completionFormat struct {
	chat    bool
	id      request.ID
	model   string
	created int64
}

type completionObject struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int                  `json:"prompt_tokens"`
	CompletionTokens int                  `json:"completion_tokens"`
	TotalTokens      int                  `json:"total_tokens"`
	Details          *promptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

type promptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (f completionFormat) object(streaming bool) completionObject {
	o := completionObject{ID: "cmpl-" + f.id.String(), Object: "text_completion", Created: f.created, Model: f.model}
	if f.chat {
		o.ID = "chatcmpl-" + f.id.String()
		o.Object = "chat.completion"
		if streaming {
			o.Object = "chat.completion.chunk"
		}
	}
	return o
}

func (f completionFormat) completion(text string, r dispatch.Result) completionObject {
	o := f.object(false)
	choice := completionChoice{FinishReason: finishReason(r)}
	if f.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	o.Choices = []completionChoice{choice}
	o.Usage = newCompletionUsage(r)
	return o
}

func (f completionFormat) chunk(text string, first bool) completionObject {
	o := f.object(true)
	choice := completionChoice{}
	if f.chat {
		choice.Delta = &chatMessage{Content: text}
		if first {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &text
	}
	o.Choices = []completionChoice{choice}
	return o
}

func (f completionFormat) finalChunk(r dispatch.Result) completionObject {
	o := f.chunk("", false)
	o.Choices[0].FinishReason = finishReason(r)
	return o
}

func (f completionFormat) usageChunk(r dispatch.Result) completionObject {
	o := f.object(true)
	o.Choices = []completionChoice{}
	o.Usage = newCompletionUsage(r)
	return o
}

func finishReason(r dispatch.Result) *string {
	reason := r.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func newCompletionUsage(r dispatch.Result) *completionUsage {
	u := &completionUsage{
		PromptTokens: r.Usage.PromptTokens, CompletionTokens: r.Usage.CompletionTokens,
		TotalTokens: r.Usage.PromptTokens + r.Usage.CompletionTokens,
	}
	if r.Usage.CachedTokens > 0 {
		u.Details = &promptTokensDetails{CachedTokens: r.Usage.CachedTokens}
	}
	return u
}
