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

// TestKeyRunsAtMostOnce simulates entries, agents and the network with random faults:
// entries crash, resend and take over keys; agents restart and lose their memory;
// answers are lost; commands reach the ledger late or twice. A key must never run twice.
func TestKeyRunsAtMostOnce(t *testing.T) {
	require.NoError(t, flag.Set("rapid.steps", "200"))
	require.NoError(t, flag.Set("rapid.checks", "2000"))
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, ledger: &Ledger{}, now: time.UnixMilli(0), runs: map[string]int{}}
		for range simulatedHosts {
			s.agents = append(s.agents, &simulatedAgent{incarnation: 1, seen: map[message.Ref]message.AskState{}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         s.check,
			"arrive":   s.arrive,
			"command":  s.command,
			"dispatch": s.dispatch,
			"finish":   s.finish,
			"ask":      s.ask,
			"resend":   s.resend,
			"crash":    s.crash,
			"restart":  s.restart,
			// These are repeated so that most steps deliver something.
			"command2": s.command, "dispatch2": s.dispatch, "ask2": s.ask, "command3": s.command,
			"recover": s.restore,
		})
	})
}

const simulatedHosts = 2

// simulatedAgent follows the contract of message.Ask and message.Dispatch.
type simulatedAgent struct {
	incarnation host.Incarnation
	seen        map[message.Ref]message.AskState
}

// entryRequest is one request at one entry.
type entryRequest struct {
	key     string
	request request.ID
	// claim is the last claim sent.
	claim message.ClaimItem
	// unresolved is an attempt with an unknown outcome: another one that holds the key,
	// or one of this request whose answer was lost.
	unresolved *message.ClaimItemResult
	dispatched map[request.Attempt]bool
	done       bool
}

// command is a claim or a settlement in flight to the ledger.
type command struct {
	claim  *message.ClaimItem
	settle *message.SettleItem
	from   *entryRequest
}

type dispatchInFlight struct {
	ref         message.Ref
	host        int
	incarnation host.Incarnation
	from        *entryRequest
}

type simulation struct {
	t             *rapid.T
	now           time.Time
	ledger        *Ledger
	agents        []*simulatedAgent
	entryRequests []*entryRequest
	commands      []command
	dispatches    []dispatchInFlight
	requests      byte
	runs          map[string]int
}

func (s *simulation) check(t *rapid.T) {
	for key, n := range s.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times", key, n)
		}
	}
}

// drawIndex draws an index below n. It returns false if n is 0.
func drawIndex(t *rapid.T, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	return rapid.IntRange(0, n-1).Draw(t, "which"), true
}

func seldom(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "seldom") == 0 }

// drawOpenRequest draws a request that its entry has not finished, or returns nil.
func (s *simulation) drawOpenRequest(t *rapid.T) *entryRequest {
	var open []*entryRequest
	for _, req := range s.entryRequests {
		if !req.done {
			open = append(open, req)
		}
	}
	i, ok := drawIndex(t, len(open))
	if !ok {
		return nil
	}
	return open[i]
}

func (s *simulation) arrive(t *rapid.T) {
	s.requests++
	req := &entryRequest{
		key:     fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "key")),
		request: request.ID{s.requests}, dispatched: map[request.Attempt]bool{},
	}
	s.entryRequests = append(s.entryRequests, req)
	s.sendClaim(t, req, nil)
}

func (s *simulation) sendClaim(t *rapid.T, req *entryRequest, supersedes *message.Attested) {
	h := rapid.IntRange(0, simulatedHosts-1).Draw(t, "host")
	req.unresolved = nil
	req.claim = message.ClaimItem{
		Team: "cascadia", Key: req.key, KeyHash: []byte{1}, Request: req.request, Attempt: req.claim.Attempt + 1,
		Host: host.ID(strconv.Itoa(h)), Incarnation: s.agents[h].incarnation, Supersedes: supersedes,
	}
	item := req.claim
	s.commands = append(s.commands, command{claim: &item, from: req})
}

func (s *simulation) sendSettlement(req *entryRequest, ref message.Ref, outcome request.Outcome) {
	s.commands = append(s.commands, command{from: req, settle: &message.SettleItem{
		Team: "cascadia", Key: req.key, Request: ref.Request, Attempt: ref.Attempt, Outcome: outcome,
	}})
}

// command delivers a command. It may be delivered again, and its answer may be lost.
func (s *simulation) command(t *rapid.T) {
	i, ok := drawIndex(t, len(s.commands))
	if !ok {
		return
	}
	c := s.commands[i]
	s.now = s.now.Add(time.Millisecond)
	if !rapid.Bool().Draw(t, "again") {
		s.commands = append(s.commands[:i:i], s.commands[i+1:]...)
	}
	if c.settle != nil {
		s.ledger.Settle(s.now, *c.settle)
		return
	}
	result := s.ledger.Claim(s.now, *c.claim)
	lost := rapid.Bool().Draw(t, "lost")
	if lost || c.from.done || c.claim.Attempt != c.from.claim.Attempt {
		return
	}
	s.receiveResult(c.from, result)
}

func (s *simulation) receiveResult(req *entryRequest, r message.ClaimItemResult) {
	switch r.State {
	case message.ClaimGranted:
		if req.dispatched[req.claim.Attempt] {
			return
		}
		req.dispatched[req.claim.Attempt] = true
		s.dispatches = append(s.dispatches, dispatchInFlight{
			ref:  message.Ref{Request: req.request, Attempt: req.claim.Attempt},
			host: int(req.claim.Host[0] - '0'), incarnation: req.claim.Incarnation, from: req,
		})
	case message.ClaimRunning, message.ClaimUnknown:
		req.unresolved = &r
	default:
		req.done = true
	}
}

func (s *simulation) dispatch(t *rapid.T) {
	i, ok := drawIndex(t, len(s.dispatches))
	if !ok {
		return
	}
	d := s.dispatches[i]
	s.dispatches = append(s.dispatches[:i:i], s.dispatches[i+1:]...)
	a := s.agents[d.host]
	_, seen := a.seen[d.ref]
	if d.incarnation == a.incarnation && !seen {
		a.seen[d.ref] = message.AskRunning
		s.runs[d.from.key]++
		s.markUnresolved(d)
		return
	}
	if d.incarnation == a.incarnation && a.seen[d.ref] != message.AskNotRun {
		return
	}
	s.reportNotRun(t, d)
}

// markUnresolved lets the entry ask the agent about its own attempt, as it does when the
// answer is overdue.
func (s *simulation) markUnresolved(d dispatchInFlight) {
	d.from.unresolved = &message.ClaimItemResult{
		Request: d.ref.Request, Attempt: d.ref.Attempt,
		Host: host.ID(strconv.Itoa(d.host)), Incarnation: d.incarnation,
	}
}

// reportNotRun tells the entry that the agent refused an attempt. This proves that the
// attempt has not run and never will, since it was sent only once.
func (s *simulation) reportNotRun(t *rapid.T, d dispatchInFlight) {
	req := d.from
	if req.done || d.ref.Attempt != req.claim.Attempt {
		return
	}
	if rapid.Bool().Draw(t, "give up") {
		req.done = true
		s.sendSettlement(req, d.ref, request.OutcomeNotRun)
		return
	}
	s.sendClaim(t, req, &message.Attested{Request: d.ref.Request, Attempt: d.ref.Attempt})
}

func (s *simulation) finish(t *rapid.T) {
	i, _ := drawIndex(t, len(s.agents))
	a := s.agents[i]
	for ref, state := range a.seen {
		if state == message.AskRunning {
			a.seen[ref] = message.AskComplete
		}
	}
}

func (s *simulation) ask(t *rapid.T) {
	req := s.drawOpenRequest(t)
	if req == nil || req.unresolved == nil {
		return
	}
	ref := message.Ref{Request: req.unresolved.Request, Attempt: req.unresolved.Attempt}
	a := s.agents[req.unresolved.Host[0]-'0']
	state, seen := a.seen[ref]
	switch {
	case a.incarnation != req.unresolved.Incarnation:
		req.done = true
		s.sendSettlement(req, ref, request.OutcomeUnknown)
	case !seen || state == message.AskNotRun:
		a.seen[ref] = message.AskNotRun
		s.sendClaim(t, req, &message.Attested{Request: ref.Request, Attempt: ref.Attempt})
	case state == message.AskComplete:
		req.done = true
		s.sendSettlement(req, ref, request.OutcomeComplete)
	}
}

func (s *simulation) resend(t *rapid.T) {
	req := s.drawOpenRequest(t)
	if req == nil {
		return
	}
	item := req.claim
	s.commands = append(s.commands, command{claim: &item, from: req})
}

// crash makes an entry forget a request. What it has sent before may still arrive.
func (s *simulation) crash(t *rapid.T) {
	if req := s.drawOpenRequest(t); req != nil && seldom(t) {
		req.done = true
	}
}

func (s *simulation) restart(t *rapid.T) {
	i, _ := drawIndex(t, len(s.agents))
	if !seldom(t) {
		return
	}
	a := s.agents[i]
	a.incarnation++
	a.seen = map[message.Ref]message.AskState{}
}

// restore replaces the ledger by one restored from its snapshot, as on another control
// host.
func (s *simulation) restore(t *rapid.T) {
	data, err := cbor.Marshal(s.ledger.Snapshot())
	require.NoError(t, err)
	var snapshot Snapshot
	require.NoError(t, cbor.Unmarshal(data, &snapshot))
	s.ledger = Restore(s.ledger.Policy, snapshot)
	again, err := cbor.Marshal(s.ledger.Snapshot())
	require.NoError(t, err)
	require.Equal(t, data, again)
}
