package quorum

import "time"

type progressState uint8

const (
	// progressProbe sends one Append at a time until one is accepted.
	progressProbe progressState = iota
	// progressStream sends ahead of the answers.
	progressStream
	// progressSnapshot sends a snapshot, one chunk at a time.
	progressSnapshot
)

// progress is what a leader knows of one peer.
type progress struct {
	state      progressState
	generation Generation
	admitted   bool
	next       Index
	match      Index
	// waiting says that a probe or chunk is unanswered.
	waiting bool
	// sent and advanced are when something was last sent, and when it last helped.
	sent     time.Time
	advanced time.Time
	inflight []inflight
	bytes    int
	// snapshot and offset are the snapshot under way.
	snapshot Snapshot
	offset   uint64
	// heard is when the peer last answered, and echo the latest of this leader's
	// own send times that the peer has answered.
	heard time.Time
	echo  time.Time
}

type inflight struct {
	last  Index
	bytes int
}

func (p *progress) full() bool {
	return p.bytes >= maxInflightBytes || len(p.inflight) >= maxInflight
}

func (p *progress) add(last Index, bytes int) {
	p.inflight = append(p.inflight, inflight{last: last, bytes: bytes})
	p.bytes += bytes
	p.next = last + 1
}

// free drops what has been answered up to match.
func (p *progress) free(match Index) {
	for len(p.inflight) > 0 && p.inflight[0].last <= match {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// probe goes back to one Append at a time, from next on.
func (p *progress) probe(next Index) {
	p.state, p.next, p.waiting = progressProbe, max(next, p.match+1), false
	p.inflight, p.bytes = nil, 0
	p.snapshot, p.offset = Snapshot{}, 0
}

// stream starts sending ahead.
func (p *progress) stream() {
	p.probe(p.match + 1)
	p.state = progressStream
}

// replace forgets a peer whose disk is another one now.
func (p *progress) replace(g Generation, next Index) {
	heard := p.heard
	*p = progress{generation: g, heard: heard}
	p.probe(next)
}
