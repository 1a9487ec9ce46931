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

// bytesPerToken estimates a prompt's length before an engine has counted it.
const bytesPerToken = 4

// generationRequest is the part of a caller's body that the entry reads. The engine
// gets the whole body.
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

func (a *API) generate(c *call) {
	if !a.authorize(c) {
		return
	}
	body, ok := a.readBody(c)
	if !ok {
		return
	}
	var asked generationRequest
	if err := json.Unmarshal(body, &asked); err != nil {
		a.refuse(c, refusal{status: http.StatusBadRequest, code: "bad_json", message: "the body is not the JSON of a completion: " + err.Error()})
		return
	}
	model, ok := a.backend.ResolveModel(asked.Model)
	if !ok {
		a.refuse(c, refusal{
			status: http.StatusNotFound, code: "unknown_model",
			message: fmt.Sprintf("there is no model %q; GET /v1/models lists them", asked.Model),
		})
		return
	}
	prompt := asked.prompt(c.r.URL.Path)
	if len(prompt) == 0 {
		a.refuse(c, refusal{status: http.StatusBadRequest, code: "no_prompt", message: "the body has neither a prompt nor messages"})
		return
	}
	tokens := max(asked.MaxTokens, asked.MaxCompletionTokens)
	if tokens > c.bounds.MaxTokens {
		a.refuse(c, refusal{
			status: http.StatusBadRequest, code: "too_many_tokens",
			message: fmt.Sprintf("an answer has at most %d tokens", c.bounds.MaxTokens),
		})
		return
	}
	work, ok := a.newWork(c, body, true)
	if !ok {
		return
	}
	work.BodyHash = a.backend.BodyHash(c.r.Method, c.r.URL.Path, body)
	work.Body = dispatch.Generation{
		Path: c.r.URL.Path, Model: model.Model, Version: model.Version, Adapter: model.Adapter,
		Prompt: prompt, PromptTokens: len(prompt)/bytesPerToken + 1, MaxTokens: tokens,
		Raw: bounded(body, tokens, c.bounds.MaxTokens),
	}
	form := completionForm{chat: c.r.URL.Path == chatPath, id: c.id, model: asked.Model, created: time.Now().Unix()}
	if asked.Stream {
		a.stream(c, work, form, asked.StreamOptions.IncludeUsage)
		return
	}
	a.whole(c, work, form)
}

// bounded adds the bound of tokens to a body that has none.
func bounded(body []byte, tokens, bound int) []byte {
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

// whole answers without streaming.
func (a *API) whole(c *call, work dispatch.Work, form completionForm) {
	result := a.backend.Serve(c.r.Context(), work, nil)
	if result.Outcome != request.OutcomeComplete || result.Answer == nil {
		a.refuse(c, refusalOf(result))
		return
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(HeaderOutcome, string(result.Outcome))
	_ = json.NewEncoder(c.w).Encode(form.whole(string(result.Answer.Body), result))
}

// completionForm renders completions in the published form of the OpenAI API.
type completionForm struct {
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
	PromptTokens     int               `json:"prompt_tokens"`
	CompletionTokens int               `json:"completion_tokens"`
	TotalTokens      int               `json:"total_tokens"`
	Details          *completionCached `json:"prompt_tokens_details,omitempty"`
}

type completionCached struct {
	CachedTokens int `json:"cached_tokens"`
}

func (f completionForm) object(streaming bool) completionObject {
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

func (f completionForm) whole(text string, r dispatch.Result) completionObject {
	o := f.object(false)
	choice := completionChoice{FinishReason: finishReason(r)}
	if f.chat {
		choice.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	o.Choices = []completionChoice{choice}
	o.Usage = usageOf(r)
	return o
}

func (f completionForm) chunk(text string, first bool) completionObject {
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

func (f completionForm) last(r dispatch.Result) completionObject {
	o := f.chunk("", false)
	o.Choices[0].FinishReason = finishReason(r)
	return o
}

func (f completionForm) usage(r dispatch.Result) completionObject {
	o := f.object(true)
	o.Choices = []completionChoice{}
	o.Usage = usageOf(r)
	return o
}

func finishReason(r dispatch.Result) *string {
	reason := r.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return &reason
}

func usageOf(r dispatch.Result) *completionUsage {
	u := &completionUsage{
		PromptTokens: r.Usage.PromptTokens, CompletionTokens: r.Usage.CompletionTokens,
		TotalTokens: r.Usage.PromptTokens + r.Usage.CompletionTokens,
	}
	if r.Usage.CachedTokens > 0 {
		u.Details = &completionCached{CachedTokens: r.Usage.CachedTokens}
	}
	return u
}
