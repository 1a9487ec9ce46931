package explanation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteText writes the document for people to read.
func (d Document) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("verdict", "%s", d.Verdict)
	row("request", "%s %s, host %s, %d prompt tokens, %d output tokens", d.Request.Method, d.Request.Path, orNone(d.Request.Host),
		d.Request.PromptTokens, d.Request.OutputTokens)
	row("route", "%s, team %s, priority %d", orNone(d.Route), orNone(d.Team), d.Priority)
	row("regions", "route %s, team %s", orAll(d.RouteRegions), orAll(d.TeamRegions))
	row("service", "%s, model %s%s", orNone(d.Service), orNone(d.Model), d.drawn())
	row("queue", "%d before it, %d for the service and model", d.Queue.Before, d.Queue.Waiting)
	row("configuration", "%s", d.Configuration)
	row("evacuations", "revision %d, domains %s", d.Evacuations.Revision, orNone(strings.Join(d.Evacuations.Domains, ", ")))
	row("gateway", "%s in %s", orNone(d.Gateway), orNone(d.FailureDomain))
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return d.writeCandidates(out)
}

// writeCandidates writes a table of the candidates.
func (d Document) writeCandidates(out io.Writer) error {
	if d.Service == "" { // The verdict did not depend on the endpoints.
		return nil
	}
	if len(d.Candidates) == 0 {
		_, err := fmt.Fprint(out, "\nno endpoint is ready and serves the request\n")
		return errors.Wrap(err, "print")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "\nENDPOINT\tDOMAIN\tREGION\tFORECAST\tOCCUPIED\tFROM\tCOST\tRESULT\n")
	for _, c := range d.Candidates {
		cost := "-"
		if c.Cost != nil {
			cost = fmt.Sprintf("%.3f", *c.Cost)
		}
		from := c.OccupiedFrom
		if from == occupiedFromEndpoint {
			from = fmt.Sprintf("%s, %.0f ms old", from, c.OccupiedAgeMs)
		}
		reason := c.PassedOver
		if reason == "" {
			reason = "picked"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f ms\t%.1f of %d\t%s\t%s\t%s\n", c.Endpoint, orNone(c.FailureDomain), orNone(c.Region), c.ForecastMs,
			c.Occupied, c.Slots, from, cost, reason)
	}
	return errors.Wrap(w.Flush(), "print")
}

// occupiedFromEndpoint is the value of Candidate.OccupiedFrom for a report of the endpoint.
const occupiedFromEndpoint = "endpoint"

// String returns the verdict as one sentence.
func (v Verdict) String() string {
	switch v.Action {
	case ActionSent:
		return fmt.Sprintf("sent to %s, first event expected in %.0f ms", v.Endpoint, v.ForecastMs)
	case ActionWaits:
		return fmt.Sprintf("waits for capacity, at most %.0f ms", v.WaitMs)
	case ActionRefused:
		return fmt.Sprintf("refused with %d: %s; Retry-After %g s", v.Status, v.Reason, v.RetryAfter)
	case ActionDenied:
		return fmt.Sprintf("denied with %d: %s", v.Status, v.Reason)
	case ActionAsksControl:
		return fmt.Sprintf("asks control first; without an answer refused with %d: %s; Retry-After %g s", v.Status, v.Reason, v.RetryAfter)
	}
	return v.Action
}

// String returns the version and the evidence for its age as one sentence.
func (c Configuration) String() string {
	age := fmt.Sprintf("%.0f ms old at most", c.AgeMs)
	if c.AgeMs < 0 {
		age = "never confirmed"
	}
	following := "not following control"
	if c.Following {
		following = "following control"
	}
	return fmt.Sprintf("version %d, %s, %s, %.0f ms late", c.Version, age, following, c.LatenessMs)
}

// drawn returns a remark if the service was drawn from several.
func (d Document) drawn() string {
	if len(d.Targets) < 2 {
		return ""
	}
	shares := make([]string, 0, len(d.Targets))
	for _, t := range d.Targets {
		shares = append(shares, fmt.Sprintf("%s %d", t.Service, t.Weight))
	}
	return ", drawn by weight from " + strings.Join(shares, ", ")
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orAll(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ", ")
}
