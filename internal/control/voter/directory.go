package voter

import (
	"context"
	"slices"
	"sync"

	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// Directory is the record of the address of each vote. The set on disk, the links of the log and the lists that other processes get are
// copies of it. What the replicated state and other control hosts tell is ordered by its sequence: of each vote the move with the highest
// sequence counts, whatever the order and the way in which the moves arrive, so that an address never goes back to an earlier one. All that
// is told was committed, so that a sequence has one address.
//
// The zero value knows no votes. A Directory is safe for concurrent use.
type Directory struct {
	// Logger may be nil. It is not changed once the Directory is in use.
	Logger *log.Logger

	mu sync.Mutex
	// votes is replaced as a whole, never changed.
	votes []message.Founder
	// changed is closed at the next change, or nil.
	changed chan struct{}
}

// NewDirectory returns a Directory of votes that have not been moved.
func NewDirectory(addresses map[host.ID]string) *Directory {
	d := &Directory{}
	for id, address := range addresses {
		d.votes = append(d.votes, message.Founder{Host: id, Address: address})
	}
	return d
}

// Votes returns the votes with their addresses and sequences. The caller must not change the slice.
func (d *Directory) Votes() []message.Founder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.votes
}

// Hosts returns the IDs of the votes in ascending order.
func (d *Directory) Hosts() []host.ID {
	votes := d.Votes()
	hosts := make([]host.ID, 0, len(votes))
	for _, v := range votes {
		hosts = append(hosts, v.Host)
	}
	slices.Sort(hosts)
	return hosts
}

// Vote returns the vote with an ID.
func (d *Directory) Vote(id host.ID) (message.Founder, bool) {
	return find(d.Votes(), func(v message.Founder) bool { return v.Host == id })
}

// VoteAt returns the vote at an address.
func (d *Directory) VoteAt(address string) (message.Founder, bool) {
	return find(d.Votes(), func(v message.Founder) bool { return v.Address == address })
}

// Address returns the address of a vote, or "" if it is not known.
func (d *Directory) Address(id host.ID) string {
	vote, _ := d.Vote(id)
	return vote.Address
}

func find(votes []message.Founder, matches func(message.Founder) bool) (message.Founder, bool) {
	i := slices.IndexFunc(votes, matches)
	if i < 0 {
		return message.Founder{}, false
	}
	return votes[i], true
}

// Adopt takes the set of votes over if none is known, and learns from it otherwise. source names where it comes from, for the log.
func (d *Directory) Adopt(set []message.Founder, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.votes) > 0 {
		d.learn(set, source)
		return
	}
	if len(set) > 0 {
		d.replace(slices.Clone(set))
	}
}

// Learn takes over those of the told addresses that are newer than the known ones, and returns the votes that have another address now. IDs
// that are not known are left out: the set of votes is fixed. source names who has told them, for the log.
func (d *Directory) Learn(told []message.Founder, source string) []host.ID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.learn(told, source)
}

// learn is Learn while mu is held.
func (d *Directory) learn(told []message.Founder, source string) []host.ID {
	var moved []host.ID
	votes, newer := slices.Clone(d.votes), false
	for _, v := range told {
		i := slices.IndexFunc(votes, func(known message.Founder) bool { return known.Host == v.Host })
		if i < 0 || v.Sequence <= votes[i].Sequence {
			continue
		}
		event.SeatLearned.On(d.Logger).Str("seat", string(v.Host)).Str("address", v.Address).Uint64("sequence", v.Sequence).
			Str("old_address", votes[i].Address).Uint64("old_sequence", votes[i].Sequence).Str("source", source).Msg("")
		if votes[i].Address != v.Address {
			moved = append(moved, v.Host)
		}
		votes[i], newer = v, true
	}
	if newer {
		d.replace(votes)
	}
	return moved
}

// replace puts other votes in place of the known ones. mu is held.
func (d *Directory) replace(votes []message.Founder) {
	d.votes = votes
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// AwaitMove waits until a vote has another address than the given one, or until ctx ends.
func (d *Directory) AwaitMove(ctx context.Context, id host.ID, address string) {
	for {
		changed := d.Changed()
		if d.Address(id) != address {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Moves returns the number of moves of votes that led to the known addresses.
func (d *Directory) Moves() uint64 {
	var moves uint64
	for _, v := range d.Votes() {
		moves += v.Sequence
	}
	return moves
}
