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
	Target   []string           `help:"Base URLs of the entries; requests are spread over them." default:"http://127.0.0.1:8080"`
	Team     map[string]string  `help:"Teams with their tokens." default:"cascadia=dev-token-cascadia;jordan=dev-token-jordan"`
	Weight   map[string]float64 `help:"Relative shares of the teams in the arrivals; 1 for a team that is not given, or given with 0."`
	Class    string             `help:"Class of the requests; each team's default class if empty."`
	Rate     float64            `help:"Mean number of arrivals per second." default:"20"`
	Duration time.Duration      `help:"Duration of the arrivals." default:"10s"`
	Seed     uint64             `help:"Seed of the random arrivals; the same seed gives the same requests." default:"1"`
	Model    string             `help:"Model of the generations." default:"drafter"`
	Streams  float64            `help:"Relative share of streamed generations in the requests." default:"6"`
	Whole    float64            `help:"Relative share of generations that are not streamed." default:"2"`
	Lookups  float64            `help:"Relative share of lookups at the service records." default:"1"`
	Signoffs float64            `help:"Relative share of sign-offs at the service records, which may run at most once." default:"1"`
	Prompt   int                `help:"Mean number of words in a prompt." default:"30"`
	Tokens   int                `help:"Mean number of tokens in an answer." default:"32"`
	Exact    bool               `help:"Request answers of exactly the maximum length."`
	Prefixes int                `help:"Number of long prefixes that prompts share; 0 means none." default:"0"`
	Resends  int                `help:"How often a sign-off that did not complete is sent again." default:"2"`
	Output   string             `help:"Format of the report: table or json." enum:"table,json" default:"table"`
}

// Help returns examples.
func (loadCommand) Help() string {
	return `Examples:

    egretreach load
    egretreach load --target http://127.0.1.2:8080,http://127.0.2.2:8080 --rate 100 --duration 1m --output json

The exit code is 1 if a caller received the answer to another request, if a sign-off ran
twice, or if one ran that was reported as not run.`
}

// Run sends the requests of stand-in callers to a running fleet and prints a report of the answers.
func (c loadCommand) Run(stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := caller.Run(ctx, c.plan(), caller.Options{Targets: c.Target, Resends: c.Resends})
	report.Finish()
	if err := c.print(stdout, report); err != nil {
		return err
	}
	if violation := report.Violation(); violation != "" {
		return errors.New(violation)
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
