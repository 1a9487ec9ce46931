package ledger

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
)

// TestRunsAtMostOnce lets entries, agents and the network do what they may in any
// order: entries crash, resend and take over; agents restart without memory;
// answers are lost; commands reach the ledger late and twice. A key never runs twice.
func TestRunsAtMostOnce(t *testing.T) {
	require.NoError(t, flag.Set("rapid.steps", "200"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, ledger: &Ledger{}, now: time.UnixMilli(0), runs: map[string]int{}}
		for range modelHosts {
			w.agents = append(w.agents, &agentModel{incarnation: 1, seen: map[message.Ref]message.AskState{}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         w.check,
			"arrive":   w.arrive,
			"command":  w.command,
			"dispatch": w.dispatch,
			"finish":   w.finish,
			"ask":      w.ask,
			"resend":   w.resend,
			"crash":    w.crash,
			"restart":  w.restart,
			// Most steps deliver something.
			"command2": w.command, "dispatch2": w.dispatch, "ask2": w.ask, "command3": w.command,
			"recover": w.restore,
		})
	})
}

const modelHosts = 2

// agentModel is an agent by the contract of message.Ask and message.Dispatch.
type agentModel struct {
	incarnation host.Incarnation
	seen        map[message.Ref]message.AskState
}

// flow is one request at one entry.
type flow struct {
	key     string
	request request.ID
	// claim is the last claim sent.
	claim message.ClaimItem
	// doubted is another attempt that holds the key, or one of its own whose answer
	// was lost.
	doubted    *message.ClaimItemResult
	dispatched map[request.Attempt]bool
	done       bool
}

// command is a claim or a settlement on its way to the ledger.
type command struct {
	claim  *message.ClaimItem
	settle *message.SettleItem
	from   *flow
}

type dispatched struct {
	ref         message.Ref
	host        int
	incarnation host.Incarnation
	from        *flow
}

type world struct {
	t          *rapid.T
	now        time.Time
	ledger     *Ledger
	agents     []*agentModel
	flows      []*flow
	commands   []command
	dispatches []dispatched
	requests   byte
	runs       map[string]int
}

func (w *world) check(t *rapid.T) {
	for key, n := range w.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
	}
}

// pick draws the index of one of n things; it is false if there is none.
func pick(t *rapid.T, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	return rapid.IntRange(0, n-1).Draw(t, "which"), true
}

func seldom(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "seldom") == 0 }

// open draws a request that its entry has not finished, or returns nil.
func (w *world) open(t *rapid.T) *flow {
	var flows []*flow
	for _, f := range w.flows {
		if !f.done {
			flows = append(flows, f)
		}
	}
	i, ok := pick(t, len(flows))
	if !ok {
		return nil
	}
	return flows[i]
}

func (w *world) arrive(t *rapid.T) {
	w.requests++
	f := &flow{
		key:     fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "key")),
		request: request.ID{w.requests}, dispatched: map[request.Attempt]bool{},
	}
	w.flows = append(w.flows, f)
	w.claim(t, f, nil)
}

func (w *world) claim(t *rapid.T, f *flow, supersedes *message.Attested) {
	h := rapid.IntRange(0, modelHosts-1).Draw(t, "host")
	f.doubted = nil
	f.claim = message.ClaimItem{
		Team: "cascadia", Key: f.key, BodyHash: []byte{1}, Request: f.request, Attempt: f.claim.Attempt + 1,
		Host: host.ID(strconv.Itoa(h)), Incarnation: w.agents[h].incarnation, Supersedes: supersedes,
	}
	item := f.claim
	w.commands = append(w.commands, command{claim: &item, from: f})
}

func (w *world) settle(f *flow, ref message.Ref, outcome request.Outcome) {
	w.commands = append(w.commands, command{from: f, settle: &message.SettleItem{
		Team: "cascadia", Key: f.key, Request: ref.Request, Attempt: ref.Attempt, Outcome: outcome,
	}})
}

// command applies a command; it may come again, and its answer may be lost.
func (w *world) command(t *rapid.T) {
	i, ok := pick(t, len(w.commands))
	if !ok {
		return
	}
	c := w.commands[i]
	w.now = w.now.Add(time.Millisecond)
	if !rapid.Bool().Draw(t, "again") {
		w.commands = append(w.commands[:i:i], w.commands[i+1:]...)
	}
	if c.settle != nil {
		w.ledger.Settle(w.now, *c.settle)
		return
	}
	result := w.ledger.Claim(w.now, *c.claim)
	lost := rapid.Bool().Draw(t, "lost")
	if lost || c.from.done || c.claim.Attempt != c.from.claim.Attempt {
		return
	}
	w.claimed(c.from, result)
}

func (w *world) claimed(f *flow, r message.ClaimItemResult) {
	switch r.State {
	case message.ClaimGranted:
		if f.dispatched[f.claim.Attempt] {
			return
		}
		f.dispatched[f.claim.Attempt] = true
		w.dispatches = append(w.dispatches, dispatched{
			ref:  message.Ref{Request: f.request, Attempt: f.claim.Attempt},
			host: int(f.claim.Host[0] - '0'), incarnation: f.claim.Incarnation, from: f,
		})
	case message.ClaimRunning, message.ClaimUnknown:
		f.doubted = &r
	default:
		f.done = true
	}
}

func (w *world) dispatch(t *rapid.T) {
	i, ok := pick(t, len(w.dispatches))
	if !ok {
		return
	}
	d := w.dispatches[i]
	w.dispatches = append(w.dispatches[:i:i], w.dispatches[i+1:]...)
	a := w.agents[d.host]
	_, seen := a.seen[d.ref]
	if d.incarnation == a.incarnation && !seen {
		a.seen[d.ref] = message.AskRunning
		w.runs[d.from.key]++
		w.doubt(d)
		return
	}
	if d.incarnation == a.incarnation && a.seen[d.ref] != message.AskNotRun {
		return
	}
	w.refused(t, d)
}

// doubt lets the entry ask after an attempt of its own whose answer is overdue.
func (w *world) doubt(d dispatched) {
	d.from.doubted = &message.ClaimItemResult{
		Request: d.ref.Request, Attempt: d.ref.Attempt,
		Host: host.ID(strconv.Itoa(d.host)), Incarnation: d.incarnation,
	}
}

// refused is the proof that the attempt has not run and never will: it was sent once.
func (w *world) refused(t *rapid.T, d dispatched) {
	f := d.from
	if f.done || d.ref.Attempt != f.claim.Attempt {
		return
	}
	if rapid.Bool().Draw(t, "give up") {
		f.done = true
		w.settle(f, d.ref, request.OutcomeNotRun)
		return
	}
	w.claim(t, f, &message.Attested{Request: d.ref.Request, Attempt: d.ref.Attempt})
}

func (w *world) finish(t *rapid.T) {
	i, _ := pick(t, len(w.agents))
	a := w.agents[i]
	for ref, state := range a.seen {
		if state == message.AskRunning {
			a.seen[ref] = message.AskComplete
		}
	}
}

func (w *world) ask(t *rapid.T) {
	f := w.open(t)
	if f == nil || f.doubted == nil {
		return
	}
	ref := message.Ref{Request: f.doubted.Request, Attempt: f.doubted.Attempt}
	a := w.agents[f.doubted.Host[0]-'0']
	state, seen := a.seen[ref]
	switch {
	case a.incarnation != f.doubted.Incarnation:
		f.done = true
		w.settle(f, ref, request.OutcomeUnknown)
	case !seen || state == message.AskNotRun:
		a.seen[ref] = message.AskNotRun
		w.claim(t, f, &message.Attested{Request: ref.Request, Attempt: ref.Attempt})
	case state == message.AskComplete:
		f.done = true
		w.settle(f, ref, request.OutcomeComplete)
	}
}

func (w *world) resend(t *rapid.T) {
	f := w.open(t)
	if f == nil {
		return
	}
	item := f.claim
	w.commands = append(w.commands, command{claim: &item, from: f})
}

// crash ends an entry's part in a request; what it has sent is still on its way.
func (w *world) crash(t *rapid.T) {
	if f := w.open(t); f != nil && seldom(t) {
		f.done = true
	}
}

func (w *world) restart(t *rapid.T) {
	i, _ := pick(t, len(w.agents))
	if !seldom(t) {
		return
	}
	a := w.agents[i]
	a.incarnation++
	a.seen = map[message.Ref]message.AskState{}
}

// restore replaces the ledger by its snapshot, as another control host would.
func (w *world) restore(t *rapid.T) {
	data, err := cbor.Marshal(w.ledger.Snapshot())
	require.NoError(t, err)
	var s Snapshot
	require.NoError(t, cbor.Unmarshal(data, &s))
	w.ledger = Restore(w.ledger.Policy, s)
	again, err := cbor.Marshal(w.ledger.Snapshot())
	require.NoError(t, err)
	require.Equal(t, data, again)
}
