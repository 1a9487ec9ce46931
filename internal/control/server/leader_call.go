package server

import (
	"context"
	"time"

	"github.com/egretreach/egretreach/internal/control/state"
	"github.com/egretreach/egretreach/internal/fleet/config"
	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// answer executes one call. The caller has checked the role of peer.
func (l *leader) answer(ctx context.Context, peer identity.Identity, m message.Message) (message.Message, error) {
	s := l.server
	switch m := m.(type) {
	case *message.Claim:
		items, err := s.claims.submit(ctx, m.Items)
		return &message.ClaimResult{Items: items}, err
	case *message.Settle:
		recorded, err := s.settles.submit(ctx, m.Items)
		return &message.SettleResult{Recorded: recorded}, err
	case *message.ApplyConfig:
		m.Operator = string(peer.Host)
		return l.applyConfig(ctx, m)
	case *message.Drain:
		return l.proposeAndAck(ctx, state.Drain{Host: m.Host, Undo: m.Undo, Reason: m.Reason})
	case *message.Evacuate:
		return l.evacuate(ctx, peer, m)
	case *message.CrashReport:
		return l.proposeAndAck(ctx, state.Crash{Report: *m})
	case *message.SuspectsCleared:
		return l.proposeAndAck(ctx, state.ClearSuspects{BodyHashes: m.BodyHashes})
	case *message.QuarantineClear:
		return l.proposeAndAck(ctx, state.ClearQuarantine{BodyHash: m.BodyHash})
	default:
		return l.query(ctx, m)
	}
}

// proposeAndAck commits a change whose only result is an acknowledgement.
func (l *leader) proposeAndAck(ctx context.Context, c state.Command) (message.Message, error) {
	if _, err := l.server.propose(ctx, c); err != nil {
		return nil, err
	}
	return &message.Ack{}, nil
}

// evacuate commits the begin or the end of an evacuation. The log also orders a repeated call, so that no stale
// state acknowledges it.
func (l *leader) evacuate(ctx context.Context, peer identity.Identity, m *message.Evacuate) (message.Message, error) {
	started := time.Now()
	ack, err := l.proposeAndAck(ctx, state.Evacuate{Domain: m.Domain, Undo: m.Undo})
	line := event.EvacuationAnswered.On(l.server.opts.Logger).Str("domain", string(m.Domain)).Bool("cancel", m.Undo).
		Str("operator", string(peer.Host)).Uint64("revision", l.evacuated().Revision).Dur("after", time.Since(started))
	if err != nil {
		line = line.Err(err)
	}
	line.Msg("")
	return ack, err
}

// query answers a call that changes nothing. It first confirms the leadership, so that it does
// not read a stale state.
func (l *leader) query(ctx context.Context, m message.Message) (message.Message, error) {
	s := l.server
	if err := l.confirmLeadership(ctx); err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *message.ConfigQuery:
		return l.queryConfig(m)
	case *message.StatusQuery:
		return l.status(), nil
	case *message.RequestQuery:
		var result message.RequestResult
		s.store.read(func(machine *state.Machine) { result = machine.Request(m.Request) })
		return &result, nil
	case *message.QuarantineQuery:
		var result message.QuarantineResult
		s.store.read(func(machine *state.Machine) { result.Entries = machine.Quarantine(time.Now()) })
		return &result, nil
	default:
		return nil, ErrFailure{Code: codeMalformed, Reason: "not a call to control"}
	}
}

// applyConfig validates a configuration and, unless it is a dry run, proposes it.
func (l *leader) applyConfig(ctx context.Context, m *message.ApplyConfig) (message.Message, error) {
	parsed, err := config.Parse(configName, m.YAML)
	if err != nil {
		return &message.ApplyResult{Problems: problems(err)}, nil
	}
	if m.ChangeID == "" {
		return nil, ErrFailure{Code: codeMalformed, Reason: "a change needs an ID"}
	}
	revision, latest := l.latestConfig()
	diff := config.Diff(latest, m.YAML)
	if m.DryRun {
		return &message.ApplyResult{Revision: revision, Diff: diff}, nil
	}
	result, err := l.server.propose(ctx, state.ApplyConfig{
		YAML: m.YAML, Base: m.Base, ChangeID: m.ChangeID, Operator: m.Operator,
		Ledger:     ledgerPolicy(parsed.Defaults.Ledger),
		Quarantine: quarantinePolicy(parsed.Defaults.Quarantine),
	})
	if err != nil {
		return nil, err
	}
	applied, ok := result.(state.ConfigApplied)
	if !ok {
		return nil, unexpectedResult(result)
	}
	return &message.ApplyResult{
		Accepted: applied.Accepted, Revision: applied.Revision, Conflict: applied.Conflict, Diff: diff,
	}, nil
}

func (l *leader) queryConfig(m *message.ConfigQuery) (message.Message, error) {
	var result message.ConfigResult
	found := false
	l.server.store.read(func(machine *state.Machine) {
		result.Revision, result.YAML, found = machine.Config(m.Revision)
		if m.History {
			result.History = machine.History()
		}
	})
	if !found && m.Revision != 0 {
		return nil, ErrFailure{Code: codeNotFound, Reason: "no text of that revision is kept"}
	}
	return &result, nil
}

// status returns the state of the control hosts, hosts, replicas and deployments.
func (l *leader) status() *message.StatusResult {
	s := l.server
	logStatus := s.log.Status()
	result := &message.StatusResult{Leader: s.opts.Hosts[logStatus.Leader], Term: logStatus.Term}
	result.Revision, _ = l.latestConfig()
	result.Control = l.controlStatus(logStatus)
	result.Evacuated = l.evacuated().Domains
	fleet, waits := l.fleetSnapshot()
	result.Hosts = fleet.hostStatus()
	for _, r := range fleet.replicas {
		result.Replicas = append(result.Replicas, r.WithState(fleet.currentState(r)))
	}
	result.Deployments = fleet.deploymentStatus(waits)
	return result
}
