package replication

import (
	"context"
	"fmt"
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// warnInterval is the interval at which a host logs that it is waiting to be admitted.
const warnInterval = 10 * time.Second

// loop passes inputs and ticks to the Raft node and performs the actions that it returns.
func (l *Log) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(l.node.NextTick()))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			l.step(ctx, []quorum.Event{quorum.Tick{}})
			l.warnNotAdmitted()
		case in := <-l.inputs:
			l.step(ctx, l.collectBatch(ctx, in))
		}
	}
}

// collectBatch turns in and the inputs queued behind it into events, so that their writes are
// synced together. All proposals among them become one event, the last.
func (l *Log) collectBatch(ctx context.Context, in input) []quorum.Event {
	var events []quorum.Event
	var proposals []quorum.Proposal
	for n := 1; ; n++ {
		switch in := in.(type) {
		case inputEvent:
			events = append(events, in.event)
		case inputPropose:
			id := l.register(in.waiter)
			proposals = append(proposals, quorum.Proposal{ID: id, Command: in.command})
		case inputBarrier:
			events = append(events, quorum.Read{ID: l.register(in.waiter), Lazy: in.lazy})
		case inputTransfer:
			if l.node.Status(time.Now()).Role != quorum.RoleLeader {
				in.waiter.finish(nil, nil)
				break
			}
			l.transferWaiters = append(l.transferWaiters, in.waiter)
			events = append(events, quorum.TransferLeadership{})
		case inputExpire:
			l.expireProposals(in.term)
		}
		if n == maxBatchInputs {
			break
		}
		if in = l.nextQueued(ctx); in == nil {
			break
		}
	}
	if len(proposals) > 0 {
		events = append(events, quorum.Propose{Proposals: proposals})
	}
	return events
}

// nextQueued returns the next queued input, or nil if there is none or ctx has ended.
func (l *Log) nextQueued(ctx context.Context) input {
	select {
	case <-ctx.Done():
		return nil
	case in := <-l.inputs:
		return in
	default:
		return nil
	}
}

func (l *Log) register(w *waiter) uint64 {
	l.lastID++
	l.waiters[l.lastID] = w
	return l.lastID
}

func (l *Log) step(ctx context.Context, events []quorum.Event) {
	now := time.Now()
	for _, e := range events {
		l.mu.Lock()
		actions := l.node.Step(now, e)
		l.mu.Unlock()
		for _, a := range actions {
			l.perform(ctx, a)
		}
	}
	l.finishTransfers()
}

func (l *Log) perform(ctx context.Context, action quorum.Action) {
	switch a := action.(type) {
	case quorum.Persist:
		l.writeQueue.put(a)
	case quorum.Send:
		if s := l.senders[a.Message.To]; s != nil {
			s.enqueue(a.Message)
		}
	case quorum.Apply:
		l.applyQueue.put(l.newApplyJob(a.Entries))
	case quorum.Restore:
		l.restoreSnapshot(a.Snapshot)
	case quorum.Accepted:
		w := l.takeWaiter(a.ID)
		w.index, w.term = a.Index, a.Term
		l.pendingProposals[a.Index] = w
	case quorum.Rejected:
		l.reject(a)
	case quorum.ReadReady:
		l.applyQueue.put(applyJob{barrier: l.takeWaiter(a.ID)})
	case quorum.RoleChanged:
		l.handleRoleChange(ctx, a)
	case quorum.LearnerAdded:
		event.QuorumLearnerAdded.On(l.opts.Logger).Str("peer", string(a.Host)).Uint64("generation", uint64(a.Generation)).Msg("")
	case quorum.LearnerNamed:
		event.QuorumLearnerNamed.On(l.opts.Logger).Str("peer", string(a.Host)).Uint64("generation", uint64(a.Generation)).
			Uint64("index", uint64(a.Index)).Int64("after", a.After.Milliseconds()).Msg("")
	case quorum.Admitted:
		event.QuorumAdmitted.On(l.opts.Logger).Uint64("generation", uint64(a.Generation)).Msg("")
	case quorum.HostsDiffer:
		event.QuorumHostsDiffer.On(l.opts.Logger).Str("founders", fmt.Sprint(a.InitialHosts)).Msg("")
	case quorum.Expelled:
		event.QuorumExpelled.On(l.opts.Logger).Uint64("generation", uint64(a.Generation)).Msg("")
	}
}

// warnNotAdmitted logs every warnInterval that this host may not vote yet. On the bootstrap host
// the log line lists the hosts whose promises are missing.
func (l *Log) warnNotAdmitted() {
	now := time.Now()
	status := l.node.Status(now)
	if l.lastWarning.IsZero() || status.Admitted {
		l.lastWarning = now
	}
	if now.Sub(l.lastWarning) >= warnInterval {
		l.lastWarning = now
		event.QuorumWaiting.On(l.opts.Logger).Str("awaited", fmt.Sprint(status.MissingPromises)).Msg("")
	}
}

func (l *Log) takeWaiter(id uint64) *waiter {
	w := l.waiters[id]
	delete(l.waiters, id)
	return w
}

func (l *Log) reject(r quorum.Rejected) {
	w := l.takeWaiter(r.ID)
	switch r.Reason {
	case quorum.ReasonTooLarge:
		w.finish(nil, ErrTooLarge{Bytes: w.bytes})
	case quorum.ReasonBusy:
		w.finish(nil, ErrBusy{})
	case quorum.ReasonNotLeader:
		w.finish(nil, ErrNotLeader{LeaderAddress: l.opts.Voters.Address(r.Leader)})
	}
}

// restoreSnapshot passes a snapshot on to the application. Proposals whose entries it covers
// are answered with ErrUncertain, since their outcome is not known.
func (l *Log) restoreSnapshot(s quorum.Snapshot) {
	event.QuorumRestored.On(l.opts.Logger).Uint64("index", uint64(s.Index)).Msg("")
	for index, w := range l.pendingProposals {
		if index <= s.Index {
			delete(l.pendingProposals, index)
			w.finish(nil, ErrUncertain{Reason: "a snapshot took the place of the entry"})
		}
	}
	l.applyQueue.put(applyJob{snapshot: &s})
}

func (l *Log) handleRoleChange(ctx context.Context, change quorum.RoleChanged) {
	event.QuorumRole.On(l.opts.Logger).Str("role", string(change.Role)).
		Uint64("term", uint64(change.Term)).Str("leader", string(change.Leader)).Msg("")
	l.publishStatus(l.Status())
	if change.Role == quorum.RoleLeader || len(l.pendingProposals) == 0 {
		return
	}
	// Entries from a new leader will most likely decide the proposals. If none arrive within an
	// election timeout, the callers are answered anyway.
	term := change.Term
	time.AfterFunc(l.timing.ElectionTimeout, func() {
		select {
		case l.inputs <- inputExpire{term: term}:
		case <-ctx.Done():
		}
	})
}

// expireProposals answers the pending proposals of terms up to term with ErrUncertain.
func (l *Log) expireProposals(term quorum.Term) {
	for index, w := range l.pendingProposals {
		if w.term <= term {
			delete(l.pendingProposals, index)
			w.finish(nil, ErrUncertain{Reason: "the leadership was lost"})
		}
	}
}

// finishTransfers answers the calls of TransferLeadership once the transfer has succeeded or
// failed.
func (l *Log) finishTransfers() {
	if len(l.transferWaiters) == 0 {
		return
	}
	status := l.node.Status(time.Now())
	var err error
	switch {
	case status.Role == quorum.RoleLeader && status.Transferring:
		return
	case status.Role == quorum.RoleLeader:
		err = ErrNoSuccessor{}
	case status.Leader == "":
		return
	}
	for _, w := range l.transferWaiters {
		w.finish(nil, err)
	}
	l.transferWaiters = nil
}
