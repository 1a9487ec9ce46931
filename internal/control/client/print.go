package client

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/fleet/view"
	"github.com/egretreach/egretreach/internal/link/message"
)

// Printer writes answers as text or JSON. The zero value writes nothing.
type Printer struct {
	Out io.Writer
	// JSON selects JSON, with one value for each answer.
	JSON bool
}

const columnPadding = 2

// print writes v as JSON, or calls text to write it as a table.
func (p Printer) print(v any, text func(w io.Writer)) error {
	if p.Out == nil {
		return nil
	}
	if p.JSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(v), "print")
	}
	table := tabwriter.NewWriter(p.Out, 0, 0, columnPadding, ' ', 0)
	text(table)
	return errors.Wrap(table.Flush(), "print")
}

// Apply prints the result of a change.
func (p Printer) Apply(r *message.ApplyResult, changeID string) error {
	v := struct {
		Accepted bool          `json:"accepted"`
		Revision view.Revision `json:"revision"`
		ChangeID string        `json:"change_id"`
		Conflict string        `json:"conflict,omitempty"`
		Problems []string      `json:"problems,omitempty"`
		Diff     string        `json:"diff,omitempty"`
	}{r.Accepted, r.Revision, changeID, r.Conflict, r.Problems, r.Diff}
	return p.print(v, func(w io.Writer) {
		fmt.Fprint(w, r.Diff)
		if r.Accepted {
			fmt.Fprintf(w, "accepted as revision %d (change %s)\n", r.Revision, changeID)
		} else {
			fmt.Fprintf(w, "nothing was changed; the latest revision is %d\n", r.Revision)
		}
	})
}

// Config prints a configuration with its revision.
func (p Printer) Config(r *message.ConfigResult) error {
	v := struct {
		Revision view.Revision `json:"revision"`
		YAML     string        `json:"yaml"`
	}{r.Revision, string(r.YAML)}
	return p.print(v, func(w io.Writer) { fmt.Fprintf(w, "# revision %d\n%s", r.Revision, r.YAML) })
}

// History prints the accepted changes.
func (p Printer) History(changes []message.ConfigChange) error {
	return p.print(changes, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tOPERATOR\tCHANGE")
		for _, c := range changes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", c.Revision, formatTime(c.UnixMs), c.Operator, c.ChangeID)
		}
	})
}

// Explain prints the values in force for a host.
func (p Printer) Explain(all []config.Explanation) error {
	return p.print(all, func(w io.Writer) {
		fmt.Fprintln(w, "VALUE\tIN FORCE\tFROM\tREASON")
		for _, e := range all {
			from := "default"
			if e.Exception >= 0 {
				from = fmt.Sprintf("exception %d", e.Exception+1)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Key, e.Value, from, e.Reason)
		}
	})
}

// Status prints the state of the fleet.
func (p Printer) Status(s *message.StatusResult) error {
	return p.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "leader %s\tterm %d\trevision %d\n", s.Leader, s.Term, s.Revision)
		if len(s.Evacuated) > 0 {
			fmt.Fprintf(w, "evacuated %s\n", joinNames(s.Evacuated))
		}
		fmt.Fprintln(w)
		fmt.Fprintln(w, "CONTROL HOST\tADDRESS\tSTATE\tMATCH")
		for _, c := range s.Control {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.Host, c.Address, c.State, c.MatchIndex)
		}
		fmt.Fprintln(w, "\nDEPLOYMENT\tWANTED\tSERVING\tLOADING\tWAITS FOR")
		for _, d := range s.Deployments {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", d.Name, d.Wanted, d.Serving, d.Loading, strings.Join(d.WaitReasons, ","))
		}
		fmt.Fprintln(w, "\nREPLICA\tSTATE\tFENCE\tVERSION\tHOSTS")
		for _, r := range s.Replicas {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s/%s\t%s\n", r.ID, r.State, r.Fence, r.Spec.Model, r.Spec.Version, joinNames(r.Hosts))
		}
		fmt.Fprintln(w, "\nHOST\tROLE\tFAILURE DOMAIN\tFABRIC DOMAIN\tSTATE\tREVISION\tREPLICA")
		for _, h := range s.Hosts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
				h.Info.ID, h.Role, h.Info.FailureDomain, h.Info.FabricDomain, hostState(h), h.Revision, h.Replica)
		}
	})
}

func hostState(h message.HostStatus) string {
	switch {
	case h.LeaseMs == 0:
		return "lost"
	case h.Drained:
		return "drained"
	case !h.Healthy:
		return "unhealthy"
	default:
		return "healthy"
	}
}

// Quarantine prints the suspect and quarantined request bodies.
func (p Printer) Quarantine(entries []view.Quarantine) error {
	return p.print(entries, func(w io.Writer) {
		fmt.Fprintln(w, "BODY\tSTATE\tUNTIL")
		for _, e := range entries {
			state := "quarantined"
			if e.Suspect {
				state = "suspect"
			}
			fmt.Fprintf(w, "%016x\t%s\t%s\n", e.BodyHash, state, formatTime(e.ExpiresUnixMs))
		}
	})
}

// Request prints the state of a request.
func (p Printer) Request(r *message.RequestResult) error {
	return p.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "state\t%s\nteam\t%s\nattempt\t%d\nhost\t%s\nsince\t%s\n",
			r.State, r.Team, r.Attempt, r.Host, formatTime(r.UnixMs))
	})
}

func formatTime(unixMs int64) string { return time.UnixMilli(unixMs).UTC().Format(time.RFC3339) }

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return strings.Join(texts, ",")
}
