package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	// suspectFailures are the failures of a key that is only suspected, and confirmedFailures those of one that is confirmed.
	suspectFailures   = 1
	confirmedFailures = 2
	// firstHold is how long a confirmed key is held before a request with it is tried again. Each failed probe doubles
	// the time, up to maxHold. A request with a suspected key is tried at once.
	firstHold = time.Minute
	maxHold   = time.Hour
	// probeTimeout is how long a gateway has for a probe before another one gets it. A request may wait,
	// crash its endpoint and be reported within that time.
	probeTimeout = 15 * time.Second
	// suspectProbeTimeout is the same for a key that is only suspected, whose callers must not wait for long.
	suspectProbeTimeout = 3 * time.Second
	// refusalTime is how long a gateway's report that it refuses requests with a key is used.
	refusalTime = 3 * time.Second
	// idleHold is how long after the end of its time a key is held for which no requests come.
	idleHold = 10 * time.Minute
	// proposeRetry is the time between two proposals of the same change to the log.
	proposeRetry = 300 * time.Millisecond
)

// holdTime returns how long a key with a number of failures is held before a request with it is tried.
func holdTime(failures int) time.Duration {
	if failures < confirmedFailures {
		return 0
	}
	d := firstHold
	for range failures - confirmedFailures {
		d = min(2*d, maxHold)
	}
	return d
}

// Breaker decides which keys of requests are held back because they crash endpoints. The keys are kept in the
// replicated log, so that a new leader and a restarted host hold them too; what is known of the crashes is
// kept in memory, and gateways report it again to a new leader. The zero value is empty. It reads no clock and is
// not safe for concurrent use.
type Breaker struct {
	evidence Evidence
	// keys are the held keys by the log.
	keys map[uint64]heldKey
	// proposals are changes that the log has yet to commit.
	proposals map[uint64]*proposal
	// refusals are the last reports of gateways that refuse requests with a key.
	refusals map[uint64]refusal
	probes   map[uint64]*probe
	// suspected is the last key that Evaluate returned as Candidate.
	suspected Finding
}

// heldKey is a held key as this host knows it. Its time counts from when the host learned of it, since clocks of
// hosts differ and may jump.
type heldKey struct {
	failures int
	since    time.Time
	// completed says that a request with the key has completed since then.
	completed bool
}

// proposal is a change of a key's hold that is proposed to the log until it is committed.
type proposal struct {
	hold    Hold
	triedAt time.Time
}

type refusal struct {
	gateway host.ID
	at      time.Time
}

// probe is one request with a held key that a gateway may send.
type probe struct {
	number  uint64
	gateway host.ID
	at      time.Time
	// crashed and completed are the reported outcomes of requests sent since then.
	crashed, completed bool
}

// Added is what a gateway's report has changed.
type Added struct {
	// Crashes are those that are new to this host.
	Crashes []message.Crash
	Cleared []Cleared
}

// Endpoints returns the number of endpoints whose crashes are new. A crash is reported for each scope.
func (a Added) Endpoints() int {
	ids := map[CrashID]bool{}
	for _, c := range a.Crashes {
		ids[CrashID{c.Endpoint, c.StartedMs}] = true
	}
	return len(ids)
}

// Add records what a gateway reports.
func (b *Breaker) Add(from host.ID, r message.CrashEvidence, now time.Time) Added {
	var added Added
	for _, c := range r.Crashes {
		isNew, cleared := b.evidence.Observe(b.observation(from, c, now))
		if isNew {
			added.Crashes = append(added.Crashes, c)
		}
		added.Cleared = append(added.Cleared, cleared...)
	}
	for _, c := range r.Completions {
		counts := Completions{Scope: c.Scope, Total: c.Total, ByKey: map[uint64]int{}, At: now}
		for _, s := range c.Watched {
			counts.ByKey[s.Key] = s.Count
			if s.Count > 0 {
				added.Cleared = append(added.Cleared, b.complete(s.Key, now.Add(-s.Age))...)
			}
			if s.Lasted > 0 {
				added.Cleared = append(added.Cleared, b.evidence.Last(s.Key, s.Lasted, now.Add(-s.LastedAge))...)
			}
		}
		b.evidence.Count(string(from), counts)
	}
	for _, key := range r.Refused {
		if b.refusals == nil {
			b.refusals = map[uint64]refusal{}
		}
		b.refusals[key] = refusal{from, now}
	}
	return added
}

// observation converts a reported crash.
func (b *Breaker) observation(from host.ID, c message.Crash, now time.Time) Observation {
	o := Observation{
		ID: CrashID{Endpoint: c.Endpoint, StartedMs: c.StartedMs}, Observer: string(from), Scope: c.Scope, At: now.Add(-c.Age),
		Requests: c.Requests, Ongoing: c.Ongoing, Completed: c.Completed,
	}
	for _, s := range c.Suspects {
		suspect := Suspect{Key: s.Key, Whole: s.Whole, SentAt: now.Add(-s.SentAge), Completed: s.Completed, Lasted: s.Lasted, Late: s.Late}
		if s.Completed > 0 {
			suspect.CompletedAt = now.Add(-s.CompletedAge)
		}
		if t := b.probes[s.Key]; t != nil && suspect.SentAt.After(t.at) {
			t.crashed = true
		}
		o.Suspects = append(o.Suspects, suspect)
	}
	return o
}

// complete records that a request with a key completed, and returns the key if that clears it of crashes.
func (b *Breaker) complete(key uint64, at time.Time) []Cleared {
	if t := b.probes[key]; t != nil && at.After(t.at) {
		t.completed = true
	}
	if held, ok := b.keys[key]; ok && at.After(held.since) {
		held.completed = true
		b.keys[key] = held
	}
	return b.evidence.Complete(key, at)
}

// Sync takes over the held keys of the log.
func (b *Breaker) Sync(committed []Hold, now time.Time) {
	keys := make(map[uint64]heldKey, len(committed))
	for _, c := range committed {
		known, ok := b.keys[c.Key]
		if !ok || known.failures != c.Failures {
			known = heldKey{failures: c.Failures, since: now}
		}
		keys[c.Key] = known
	}
	b.keys = keys
	maps.DeleteFunc(b.proposals, func(key uint64, p *proposal) bool { return keys[key].failures == p.hold.Failures })
	maps.DeleteFunc(b.probes, func(key uint64, _ *probe) bool { return keys[key].failures == 0 })
	maps.DeleteFunc(b.refusals, func(key uint64, _ refusal) bool { return b.verdict(key) == VerdictNone })
}

// verdict returns what is held of a key, or will be.
func (b *Breaker) verdict(key uint64) Verdict {
	failures := b.keys[key].failures
	if p := b.proposals[key]; p != nil {
		failures = max(failures, p.hold.Failures)
	}
	switch {
	case failures >= confirmedFailures:
		return VerdictConfirmed
	case failures >= suspectFailures:
		return VerdictSuspected
	default:
		return VerdictNone
	}
}

// propose remembers a change of a key's hold.
func (b *Breaker) propose(key uint64, failures int) {
	if b.proposals == nil {
		b.proposals = map[uint64]*proposal{}
	}
	b.proposals[key] = &proposal{hold: Hold{Key: key, Failures: failures}}
}

// HoldChange is a decision about a held key.
type HoldChange struct {
	Key   uint64
	Cause Cause
}

// Cause is the cause of a HoldChange: one of Candidate, Opened, ProbeStarted, ProbeFailed and Released.
type Cause interface{ cause() }

// Candidate is the key that is closest to being confirmed since another crash was counted. It is not held.
type Candidate struct{ Finding }

// Opened is a key that is held from now on.
type Opened struct {
	Finding
	Failures int
	For      time.Duration
}

// ProbeStarted is a request with a held key that a gateway may send.
type ProbeStarted struct {
	Number  uint64
	Gateway host.ID
}

// ProbeFailed is a probe after which the key is held for longer.
type ProbeFailed struct {
	Failures int
	For      time.Duration
}

// Released is a key that is not held any more.
type Released struct{ Reason string }

func (Candidate) cause()    {}
func (Opened) cause()       {}
func (ProbeStarted) cause() {}
func (ProbeFailed) cause()  {}
func (Released) cause()     {}

// Evaluate decides which keys are held, tried and released. Only the leader calls it.
func (b *Breaker) Evaluate(now time.Time) []HoldChange {
	var changes []HoldChange
	for _, f := range b.evidence.Evaluate(now, b.verdict) {
		failures := suspectFailures
		if f.Verdict() == VerdictConfirmed {
			failures = confirmedFailures
		}
		b.propose(f.Key, failures)
		changes = append(changes, HoldChange{f.Key, Opened{f, failures, holdTime(failures)}})
	}
	if f := b.evidence.strongest; f.Crashes > 0 && (f.Key != b.suspected.Key || f.Crashes > b.suspected.Crashes) {
		b.suspected = f
		changes = append(changes, HoldChange{f.Key, Candidate{f}})
	}
	for _, key := range slices.Sorted(maps.Keys(b.keys)) {
		if b.proposals[key] != nil {
			continue
		}
		if cause := b.evaluateHeld(key, now); cause != nil {
			changes = append(changes, HoldChange{key, cause})
		}
	}
	return changes
}

// evaluateHeld decides about a held key. It returns nil if nothing changes.
func (b *Breaker) evaluateHeld(key uint64, now time.Time) Cause {
	held := b.keys[key]
	t := b.probes[key]
	over, timeout := now.Sub(held.since)-holdTime(held.failures), probeTimeout
	if held.failures < confirmedFailures {
		timeout = suspectProbeTimeout
	}
	refused, wanted := b.refusals[key]
	wanted = wanted && now.Sub(refused.at) < refusalTime
	switch {
	case t != nil && t.completed, held.completed && held.failures < confirmedFailures:
		b.propose(key, 0)
		return Released{"a request with it completed"}
	case t != nil && t.crashed:
		delete(b.probes, key)
		failures := max(held.failures, confirmedFailures) + 1
		b.propose(key, failures)
		return ProbeFailed{failures, holdTime(failures)}
	case over < 0 || t != nil && now.Sub(t.at) < timeout:
		return nil
	case wanted:
		started := probe{number: uint64(now.UnixNano()), gateway: refused.gateway, at: now}
		if b.probes == nil {
			b.probes = map[uint64]*probe{}
		}
		b.probes[key] = &started
		return ProbeStarted{started.number, started.gateway}
	case over > idleHold && now.Sub(refused.at) > idleHold:
		b.propose(key, 0)
		return Released{"no requests with it came"}
	}
	return nil
}

// Due returns the changes to propose to the log now.
func (b *Breaker) Due(now time.Time) []Hold {
	var due []Hold
	for _, p := range b.proposals {
		if now.Sub(p.triedAt) >= proposeRetry {
			p.triedAt = now
			due = append(due, p.hold)
		}
	}
	slices.SortFunc(due, func(a, f Hold) int { return cmp.Compare(a.Key, f.Key) })
	return due
}

// StepDown drops what only a leader decides. The next leader gets the crashes from the gateways.
func (b *Breaker) StepDown() { b.proposals, b.probes = nil, nil }

// View returns the held keys for a gateway.
func (b *Breaker) View(gateway host.ID, now time.Time) []message.HeldKey {
	var all []message.HeldKey
	for key, held := range b.keys {
		m := message.HeldKey{Key: key, For: max(0, held.since.Add(holdTime(held.failures)).Sub(now))}
		if t := b.probes[key]; t != nil && t.gateway == gateway {
			m.Trial = t.number
		}
		all = append(all, m)
	}
	for key, p := range b.proposals {
		if b.keys[key].failures == 0 && p.hold.Failures > 0 {
			all = append(all, message.HeldKey{Key: key, For: holdTime(p.hold.Failures)})
		}
	}
	slices.SortFunc(all, func(a, f message.HeldKey) int { return cmp.Compare(a.Key, f.Key) })
	return all
}

// Watched returns the keys of which gateways must report completed requests.
func (b *Breaker) Watched() []uint64 {
	keys := b.evidence.Watched()
	for key := range b.probes {
		keys = append(keys, key)
	}
	for key, held := range b.keys {
		if held.failures < confirmedFailures {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
