package quorum

import "time"

type progressState uint8

const (
	// progressProbe sends one Append at a time until the peer accepts one.
	progressProbe progressState = iota
	// progressReplicate sends entries without waiting for the replies.
	progressReplicate
	// progressSnapshot sends a snapshot, one chunk at a time.
	progressSnapshot
)

// progress is a leader's state for one peer.
type progress struct {
	state      progressState
	generation Generation
	admitted   bool
	next       Index
	match      Index
	// awaitingReply is true while a probe or chunk is unanswered.
	awaitingReply bool
	// sentAt is when entries or a chunk were last sent. advancedAt is when the peer's log last
	// advanced, or when entries were sent with none in flight.
	sentAt        time.Time
	advancedAt    time.Time
	inflight      []inflightAppend
	inflightBytes int
	// snapshot is the one being sent, and offset the start of its next chunk.
	snapshot Snapshot
	offset   uint64
	// lastReply is when the peer last answered. acked is the stamp of the latest message that it has answered, and
	// ackedSendTime when the leader sent that.
	lastReply     time.Time
	acked         LeaderTime
	ackedSendTime time.Time
}

type inflightAppend struct {
	last  Index
	bytes int
}

func (p *progress) inflightFull() bool {
	return p.inflightBytes >= maxInflightBytes || len(p.inflight) >= maxInflight
}

func (p *progress) addInflight(last Index, bytes int) {
	p.inflight = append(p.inflight, inflightAppend{last: last, bytes: bytes})
	p.inflightBytes += bytes
	p.next = last + 1
}

// releaseInflight removes the messages whose entries are acknowledged up to match.
func (p *progress) releaseInflight(match Index) {
	for len(p.inflight) > 0 && p.inflight[0].last <= match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// becomeProbe switches to sending one Append at a time, from next on.
func (p *progress) becomeProbe(next Index) {
	p.state, p.next, p.awaitingReply = progressProbe, max(next, p.match+1), false
	p.inflight, p.inflightBytes = nil, 0
	p.snapshot, p.offset = Snapshot{}, 0
}

// becomeReplicate switches to sending without waiting for the replies.
func (p *progress) becomeReplicate() {
	p.becomeProbe(p.match + 1)
	p.state = progressReplicate
}
