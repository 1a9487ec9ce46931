package replication

import (
	"context"
	"fmt"
	"time"

	"github.com/egretreach/egretreach/internal/control/quorum"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// warnEvery is how often a host says that it waits to be admitted.
const warnEvery = 10 * time.Second

// loop feeds the state machine and carries its actions out.
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
			l.warn()
		case in := <-l.events:
			l.step(ctx, l.gather(ctx, in))
		}
	}
}

// gather takes in what has queued up, so that its writes are synced together. All
// proposals among it become one event.
func (l *Log) gather(ctx context.Context, in input) []quorum.Event {
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
			events = append(events, quorum.Read{ID: l.register(in.waiter)})
		case inputTransfer:
			if l.node.Status(time.Now()).Role != quorum.RoleLeader {
				in.waiter.finish(nil, nil)
				break
			}
			l.transfers = append(l.transfers, in.waiter)
			events = append(events, quorum.TransferLeadership{})
		case inputExpire:
			l.expire(in.term)
		}
		if n == batchEvents {
			break
		}
		if in = l.next(ctx); in == nil {
			break
		}
	}
	if len(proposals) > 0 {
		events = append(events, quorum.Propose{Proposals: proposals})
	}
	return events
}

// next returns a queued input, or nil if there is none.
func (l *Log) next(ctx context.Context) input {
	select {
	case <-ctx.Done():
		return nil
	case in := <-l.events:
		return in
	default:
		return nil
	}
}

func (l *Log) register(w *waiter) uint64 {
	l.sequence++
	l.proposals[l.sequence] = w
	return l.sequence
}

func (l *Log) step(ctx context.Context, events []quorum.Event) {
	now := time.Now()
	for _, e := range events {
		l.mu.Lock()
		actions := l.node.Step(now, e)
		l.mu.Unlock()
		for _, a := range actions {
			l.act(ctx, a)
		}
	}
	l.checkTransfers()
}

func (l *Log) act(ctx context.Context, action quorum.Action) {
	switch a := action.(type) {
	case quorum.Persist:
		l.writes.put(a)
	case quorum.Send:
		if s := l.senders[a.Message.To]; s != nil {
			s.offer(a.Message)
		}
	case quorum.Apply:
		l.applies.put(l.applyJob(a.Entries))
	case quorum.Restore:
		l.restore(a.Snapshot)
	case quorum.Accepted:
		w := l.take(a.ID)
		w.index, w.term = a.Index, a.Term
		l.pending[a.Index] = w
	case quorum.Rejected:
		l.reject(a)
	case quorum.ReadReady:
		l.applies.put(applyJob{barrier: l.take(a.ID)})
	case quorum.RoleChanged:
		l.roleChanged(ctx, a)
	case quorum.Admitted:
		event.QuorumAdmitted.On(l.opts.Logger).Uint64("generation", uint64(a.Generation)).Msg("")
	case quorum.HostsDiffer:
		event.QuorumHostsDiffer.On(l.opts.Logger).Str("founders", fmt.Sprint(a.InitialHosts)).Msg("")
	case quorum.Expelled:
		event.QuorumExpelled.On(l.opts.Logger).Uint64("generation", uint64(a.Generation)).Msg("")
	}
}

// warn says now and then that this host may not vote yet, and whom a founder lacks.
func (l *Log) warn() {
	now := time.Now()
	view := l.node.Status(now)
	if l.warned.IsZero() || view.Admitted {
		l.warned = now
	}
	if now.Sub(l.warned) >= warnEvery {
		l.warned = now
		event.QuorumWaiting.On(l.opts.Logger).Str("awaited", fmt.Sprint(view.MissingPromises)).Msg("")
	}
}

func (l *Log) take(id uint64) *waiter {
	w := l.proposals[id]
	delete(l.proposals, id)
	return w
}

func (l *Log) reject(r quorum.Rejected) {
	w := l.take(r.ID)
	switch r.Reason {
	case quorum.ReasonTooLarge:
		w.finish(nil, ErrTooLarge{Bytes: w.bytes})
	case quorum.ReasonBusy:
		w.finish(nil, ErrBusy{})
	case quorum.ReasonNotLeader:
		w.finish(nil, ErrNotLeader{Leader: l.addresses.of(r.Leader)})
	}
}

// restore hands a snapshot on. What waits for entries that it stands for cannot
// be told its outcome.
func (l *Log) restore(s quorum.Snapshot) {
	event.QuorumRestored.On(l.opts.Logger).Uint64("index", uint64(s.Index)).Msg("")
	for index, w := range l.pending {
		if index <= s.Index {
			delete(l.pending, index)
			w.finish(nil, ErrUncertain{Reason: "a snapshot took the place of the entry"})
		}
	}
	l.applies.put(applyJob{snapshot: &s})
}

func (l *Log) roleChanged(ctx context.Context, change quorum.RoleChanged) {
	event.QuorumRole.On(l.opts.Logger).Str("role", string(change.Role)).
		Uint64("term", uint64(change.Term)).Str("leader", string(change.Leader)).Msg("")
	l.changed(l.Status())
	if change.Role == quorum.RoleLeader || len(l.pending) == 0 {
		return
	}
	// A new leader will most likely tell what became of the proposals; no caller
	// waits for long if none does.
	term := change.Term
	time.AfterFunc(l.timing.ElectionTimeout, func() {
		select {
		case l.events <- inputExpire{term: term}:
		case <-ctx.Done():
		}
	})
}

// expire gives up on proposals of terms up to term.
func (l *Log) expire(term quorum.Term) {
	for index, w := range l.pending {
		if w.term <= term {
			delete(l.pending, index)
			w.finish(nil, ErrUncertain{Reason: "the leadership was lost"})
		}
	}
}

// checkTransfers answers those who wait for another leader.
func (l *Log) checkTransfers() {
	if len(l.transfers) == 0 {
		return
	}
	view := l.node.Status(time.Now())
	var err error
	switch {
	case view.Role == quorum.RoleLeader && view.Transferring:
		return
	case view.Role == quorum.RoleLeader:
		err = ErrNoSuccessor{}
	case view.Leader == "":
		return
	}
	for _, w := range l.transfers {
		w.finish(nil, err)
	}
	l.transfers = nil
}
