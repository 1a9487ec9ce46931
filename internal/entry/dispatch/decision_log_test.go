package dispatch

import (
	"bytes"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

// TestFailedAttemptIsLoggedWithWhatFollows checks that each failure of an attempt leaves one line that
// names the request and says whether another attempt follows.
func TestFailedAttemptIsLoggedWithWhatFollows(t *testing.T) {
	lost := execution.Ended{Kind: execution.EndLost, Code: "member_lost"}
	unroutable := execution.Unroutable{Code: execution.CodeNoReplica}
	settle := execution.Settle{}
	settle.Item.Outcome = request.OutcomeNotRun
	cases := map[string]struct {
		failed execution.Event
		next   execution.Action
		want   []string
	}{
		"retried":    {lost, execution.Wait{For: 20 * time.Millisecond}, []string{`"request_retried"`, `"code":"member_lost"`, `"attempt":"unknown"`, `"delay_ms":20`}},
		"given up":   {unroutable, execution.Finish{Result: execution.Result{Outcome: request.OutcomeUnknown}}, []string{`"request_given_up"`, `"result":"unknown"`, `"attempt":"not_run"`}},
		"settled":    {lost, settle, []string{`"request_given_up"`, `"result":"not_run"`}},
		"asked":      {lost, execution.Ask{}, nil},
		"no failure": {execution.Ended{Kind: execution.EndComplete}, execution.Finish{}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			d := New(Options{BaseContext: t.Context(), Logger: &log.Logger{Writer: log.IOWriter{Writer: &out}}})
			e := executor{dispatcher: d, work: Work{ID: request.ID{1}}, target: execution.Target{Host: "host-1"}}
			e.logDecision(c.failed, c.next)
			if c.want == nil {
				require.Empty(t, out.String())
				return
			}
			require.Contains(t, out.String(), request.ID{1}.String())
			require.Contains(t, out.String(), `"host":"host-1"`)
			for _, field := range c.want {
				require.Contains(t, out.String(), field)
			}
		})
	}
}
