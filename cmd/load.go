package cmd

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/standin/caller"
)

type loadCommand struct {
	Target   []string           `help:"Base URLs of the entries." default:"http://127.0.0.1:8080"`
	Team     map[string]string  `help:"Teams and their tokens." default:"cascadia=dev-token-cascadia;jordan=dev-token-jordan"`
	Weight   map[string]float64 `help:"Shares of the arrivals by team; 1 where unsaid."`
	Class    string             `help:"Request class; empty takes each team's default."`
	Rate     float64            `help:"Arrivals a second." default:"20"`
	Duration time.Duration      `help:"Length of the run." default:"10s"`
	Seed     uint64             `help:"Seed of the arrivals." default:"1"`
	Model    string             `help:"Model asked for." default:"drafter"`
	Streams  float64            `help:"Weight of streamed generations." default:"6"`
	Whole    float64            `help:"Weight of generations that are not streamed." default:"2"`
	Lookups  float64            `help:"Weight of lookups at the records service." default:"1"`
	Signoffs float64            `help:"Weight of sign-offs, which may not run twice." default:"1"`
	Prompt   int                `help:"Mean words of a prompt." default:"30"`
	Tokens   int                `help:"Mean tokens of an answer." default:"32"`
	Exact    bool               `help:"Ask for answers exactly as long as their limit."`
	Prefixes int                `help:"Number of long shared prompt beginnings." default:"0"`
	Resends  int                `help:"Resends of a sign-off that did not complete." default:"2"`
	Output   string             `help:"Form of the report." enum:"table,json" default:"table"`
}

// Help shows examples.
func (loadCommand) Help() string {
	return `Examples:

    egretreach load
    egretreach load --target http://127.0.1.2:8080,http://127.0.2.2:8080 --rate 100 --duration 1m --output json

The exit code is 1 if an answer was another request's, or a sign-off ran twice.`
}

// Run drives callers at a running fleet and prints what they saw.
func (c loadCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := caller.Run(ctx, c.plan(), caller.Options{Targets: c.Target, Resends: c.Resends})
	report.Finish()
	if err := c.print(stdout, report); err != nil {
		return err
	}
	if broken := report.Violation(); broken != "" {
		return errors.New(broken)
	}
	return nil
}

func (c loadCommand) print(w io.Writer, report *caller.Report) error {
	if c.Output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.WriteTable(w)
}

func (c loadCommand) plan() caller.Plan {
	plan := caller.Plan{
		Seed: c.Seed, Rate: c.Rate, Duration: c.Duration, Model: c.Model,
		PromptWords: c.Prompt, MaxTokens: c.Tokens, IgnoreEOS: c.Exact, SharedPrefixes: c.Prefixes,
		Mix: map[caller.Kind]float64{
			caller.KindStream: c.Streams, caller.KindNonStreaming: c.Whole,
			caller.KindLookup: c.Lookups, caller.KindSignoff: c.Signoffs,
		},
	}
	for id, token := range c.Team {
		weight := c.Weight[id]
		if weight == 0 {
			weight = 1
		}
		plan.Teams = append(plan.Teams, caller.Team{ID: team.ID(id), Token: token, Weight: weight, Class: team.Class(c.Class)})
	}
	sort.Slice(plan.Teams, func(i, j int) bool { return plan.Teams[i].ID < plan.Teams[j].ID })
	return plan
}
