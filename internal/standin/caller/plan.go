// Package caller generates load on a running fleet: open-loop arrivals by team and class,
// drawn from a seed. It checks every response against its request.
package caller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/team"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request: streamed and non-streamed generations, reads of the records
// service, and sign-offs, which must run at most once.
const (
	KindStream       Kind = "stream"
	KindNonStreaming Kind = "whole"
	KindLookup       Kind = "lookup"
	KindSignoff      Kind = "signoff"
)

// Team is a team of callers. Weight is its relative share of the arrivals.
type Team struct {
	ID     team.ID
	Token  string
	Weight float64
	Class  team.Class
}

// Plan describes the requests of a run and their arrival times.
type Plan struct {
	Seed uint64
	// Rate is the mean number of arrivals per second. The gaps are exponentially distributed.
	Rate     float64
	Duration time.Duration
	Teams    []Team
	// Mix holds the relative weight of each kind.
	Mix map[Kind]float64
	// Model is the name of the model that generations request.
	Model string
	// PromptWords is the mean number of words of a prompt without its shared prefix, MaxTokens
	// the mean of max_tokens.
	PromptWords int
	MaxTokens   int
	// IgnoreEOS sets `ignore_eos`, so that an answer has exactly max_tokens tokens.
	IgnoreEOS bool
	// SharedPrefixes is the number of different long prefixes that prompts share; with 0, prompts
	// share none.
	SharedPrefixes int
}

// Arrival is one request of a plan.
type Arrival struct {
	// At is the intended send time, as an offset from the start of the run.
	At             time.Duration
	Team           Team
	Kind           Kind
	Body           string
	IdempotencyKey string
	Badge          string
}

// prefixWords is the length of a shared prompt prefix.
const prefixWords = 200

// Arrivals returns the plan's requests in the order of their times. The same plan always
// gives the same list.
func (p Plan) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed)) //nolint:gosec // A reproducible load needs a seeded source.
	prefixes := make([]string, p.SharedPrefixes)
	for i := range prefixes {
		prefixes[i] = randomWords(rng, prefixWords)
	}
	var list []Arrival
	for at := p.nextGap(rng); at < p.Duration; at += p.nextGap(rng) {
		list = append(list, p.arrival(rng, at, len(list), prefixes))
	}
	return list
}

func (p Plan) nextGap(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
}

func (p Plan) arrival(rng *rand.Rand, at time.Duration, n int, prefixes []string) Arrival {
	a := Arrival{At: at, Team: p.drawTeam(rng), Kind: p.drawKind(rng)}
	switch a.Kind {
	case KindSignoff:
		a.Badge = fmt.Sprintf("badge-%d-%d", p.Seed, n)
		a.Body = fmt.Sprintf(`{"badge":%q}`, a.Badge)
		a.IdempotencyKey = a.Badge
	case KindStream, KindNonStreaming:
		a.Body = p.generationBody(rng, n, a.Kind == KindStream, prefixes)
	case KindLookup:
	}
	return a
}

func (p Plan) generationBody(rng *rand.Rand, n int, stream bool, prefixes []string) string {
	text := fmt.Sprintf("request %d: %s", n, randomWords(rng, 1+rng.IntN(2*p.PromptWords)))
	if len(prefixes) > 0 {
		text = prefixes[rng.IntN(len(prefixes))] + " " + text
	}
	ignoreEOS := ""
	if p.IgnoreEOS {
		ignoreEOS = `"ignore_eos":true,`
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,%s"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		p.Model, stream, ignoreEOS, 1+rng.IntN(2*p.MaxTokens), text)
}

func (p Plan) drawTeam(rng *rand.Rand) Team {
	total := 0.0
	for _, t := range p.Teams {
		total += t.Weight
	}
	remaining := rng.Float64() * total
	for _, t := range p.Teams {
		if remaining -= t.Weight; remaining < 0 {
			return t
		}
	}
	return p.Teams[len(p.Teams)-1]
}

func (p Plan) drawKind(rng *rand.Rand) Kind {
	kinds := []Kind{KindStream, KindNonStreaming, KindLookup, KindSignoff}
	total := 0.0
	for _, k := range kinds {
		total += p.Mix[k]
	}
	remaining := rng.Float64() * total
	for _, k := range kinds {
		if remaining -= p.Mix[k]; remaining < 0 {
			return k
		}
	}
	return KindStream
}

var vocabulary = strings.Fields("badge camping counselor court honor beam lock upright bay rack inspect finding load sign registrar troop summary site history")

func randomWords(rng *rand.Rand, n int) string {
	list := make([]string, n)
	for i := range list {
		list[i] = vocabulary[rng.IntN(len(vocabulary))]
	}
	return strings.Join(list, " ")
}
