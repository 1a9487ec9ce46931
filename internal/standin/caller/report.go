package caller

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = int64(10 * time.Microsecond)
	histogramMax    = int64(10 * time.Minute)
	histogramDigits = 3
)

// Report holds the results of a run. Latencies count from the intended send times, so that
// a delayed send is not hidden.
type Report struct {
	Seed     uint64         `json:"seed"`
	Rate     float64        `json:"rate"`
	Elapsed  time.Duration  `json:"elapsed_ns"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	// Codes counts the responses that are not complete by their error code.
	Codes map[string]int `json:"codes"`
	// Lost is the number of requests without a complete response, because the connection failed
	// or the response broke off or was malformed.
	Lost int `json:"lost"`
	// Wrong is the number of complete responses whose text does not belong to their request.
	Wrong int `json:"wrong"`
	// RanTwice is the number of sign-offs that ran more than once, RanDespiteNotRun that of
	// those that ran although the response said not_run.
	RanTwice         int     `json:"ran_twice"`
	RanDespiteNotRun int     `json:"ran_untold"`
	Groups           []Group `json:"groups"`

	mu              sync.Mutex
	groups          map[string]*group
	signoffOutcomes map[string]string
}

// Group holds the latencies of one team, class and kind.
type Group struct {
	Name       string    `json:"name"`
	Complete   int       `json:"complete"`
	FirstToken Quantiles `json:"first_token"`
	TokenGap   Quantiles `json:"token_gap"`
	Total      Quantiles `json:"total"`
}

// Quantiles holds quantiles of a duration.
type Quantiles struct {
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
	Max time.Duration `json:"max_ns"`
}

type group struct {
	complete                    int
	firstToken, tokenGap, total *hdrhistogram.Histogram
}

func newReport(p Plan) *Report {
	return &Report{
		Seed: p.Seed, Rate: p.Rate, Outcomes: map[string]int{}, Codes: map[string]int{},
		groups: map[string]*group{}, signoffOutcomes: map[string]string{},
	}
}

func (r *Report) add(a Arrival, intended time.Time, res result, err error, correct bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Sent++
	if a.Kind == KindSignoff {
		r.signoffOutcomes[a.Body] = res.outcome
	}
	if err != nil {
		r.Lost++
		return
	}
	r.Outcomes[res.outcome]++
	if res.outcome != "complete" {
		r.Codes[res.code]++
		return
	}
	if !correct {
		r.Wrong++
	}
	r.recordLatency(a, intended, res)
}

func (r *Report) recordLatency(a Arrival, intended time.Time, res result) {
	name := fmt.Sprintf("%s/%s/%s", a.Team.ID, a.Team.Class, a.Kind)
	g := r.groups[name]
	if g == nil {
		g = &group{firstToken: newHistogram(), tokenGap: newHistogram(), total: newHistogram()}
		r.groups[name] = g
	}
	g.complete++
	_ = g.total.RecordValue(int64(time.Since(intended)))
	if res.tokens > 0 {
		_ = g.firstToken.RecordValue(int64(res.first.Sub(intended)))
	}
	if res.tokens > 1 {
		_ = g.tokenGap.RecordValue(int64(res.last.Sub(res.first)) / int64(res.tokens-1))
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

// countRuns compares the number of runs of each sign-off with the outcome that its caller got.
func (r *Report) countRuns(runsByBody map[string]int) {
	for body, outcome := range r.signoffOutcomes {
		runs := runsByBody[body]
		if runs > 1 {
			r.RanTwice++
		}
		if runs > 0 && outcome == "not_run" {
			r.RanDespiteNotRun++
		}
	}
}

// Violation describes the first guarantee that the run found violated, or returns "" if there
// is none.
func (r *Report) Violation() string {
	switch {
	case r.Wrong > 0:
		return fmt.Sprintf("%d answers are not those of their requests", r.Wrong)
	case r.RanTwice > 0:
		return fmt.Sprintf("%d sign-offs ran twice", r.RanTwice)
	case r.RanDespiteNotRun > 0:
		return fmt.Sprintf("%d sign-offs ran that were said not to have run", r.RanDespiteNotRun)
	default:
		return ""
	}
}

// Finish computes Groups. Call it after the run and before the report is written.
func (r *Report) Finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Groups = nil
	for name, g := range r.groups {
		r.Groups = append(r.Groups, Group{
			Name: name, Complete: g.complete, FirstToken: quantiles(g.firstToken), TokenGap: quantiles(g.tokenGap), Total: quantiles(g.total),
		})
	}
	sort.Slice(r.Groups, func(i, j int) bool { return r.Groups[i].Name < r.Groups[j].Name })
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: time.Duration(h.ValueAtQuantile(50)), P95: time.Duration(h.ValueAtQuantile(95)),
		P99: time.Duration(h.ValueAtQuantile(99)), Max: time.Duration(h.Max()),
	}
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "sent %d\tlost %d\twrong %d\tran twice %d\tran untold %d\n", r.Sent, r.Lost, r.Wrong, r.RanTwice, r.RanDespiteNotRun)
	fmt.Fprintf(table, "outcomes %v\tcodes %v\n", r.Outcomes, r.Codes)
	fmt.Fprintln(table, "team/class/kind\tcomplete\tfirst token p50\tp95\tp99\ttoken gap p95\ttotal p50\tp95\tp99")
	for _, g := range r.Groups {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", g.Name, g.Complete,
			round(g.FirstToken.P50), round(g.FirstToken.P95), round(g.FirstToken.P99), round(g.TokenGap.P95),
			round(g.Total.P50), round(g.Total.P95), round(g.Total.P99))
	}
	return table.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
