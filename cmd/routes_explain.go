package cmd

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/explanation"
)

type routesExplainCommand struct {
	Gateway      string `required:"" help:"Health or metrics address (IP address and TCP port) of the gateway."`
	Token        string `required:"" env:"EGRETREACH_EXPLAIN_TOKEN" help:"Token in the gateway's settings (explain.token). Prefer the environment variable."`
	Method       string `default:"GET" help:"Method of the request."`
	Path         string `required:"" help:"Path of the request."`
	Host         string `required:"" help:"Host that the caller names."`
	Key          string `env:"EGRETREACH_CALLER_KEY" help:"Key of the caller. Prefer the environment variable."`
	Model        string `help:"Model that the request names."`
	PromptTokens int    `help:"Tokens of the prompt."`
	OutputTokens int    `help:"Largest number of generated tokens."`
	Parts        string `help:"Parts of the prompt, as the caller's header lists them."`
	Output       string `enum:"text,json" default:"text" help:"Output format: text or json."`
}

// Help returns examples.
func (routesExplainCommand) Help() string {
	return `Nothing is sent to an endpoint. The gateway must have a token in its settings.

Examples:
  egretreach routes explain --gateway 10.1.0.40:8220 --host chat.example --path /v1/chat --model large --prompt-tokens 900`
}

// Run prints where a request would go and why.
func (c routesExplainCommand) Run(out io.Writer) error {
	client := explanation.Client{Address: c.Gateway, Token: c.Token}
	d, err := client.Explain(context.Background(), explanation.Request{
		Method: c.Method, Path: c.Path, Host: c.Host, Key: c.Key, Model: c.Model,
		PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Parts: c.Parts,
	})
	if err != nil {
		return err
	}
	if c.Output == "text" {
		return d.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(d), "print")
}
