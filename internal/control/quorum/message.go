package quorum

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/fleet/host"
)

// Message is a message from one control host to another.
type Message struct {
	From host.ID
	To   host.ID
	// Generation is that of the sender's disk.
	Generation Generation
	// ToGeneration is that of the receiver's disk that the message is meant for; 0 means any.
	ToGeneration Generation
	Term         Term
	// Admitted is true if the sender's disk may vote.
	Admitted bool
	Body     Body
}

// Body is the content of a Message. Only this package implements it.
type Body interface{ body() }

// PreVote asks whether the receiver would vote for the sender in term Next.
type PreVote struct {
	Next      Term  `cbor:"1,keyasint"`
	LastIndex Index `cbor:"2,keyasint"`
	LastTerm  Term  `cbor:"3,keyasint"`
}

// PreVoteReply answers PreVote.
type PreVoteReply struct {
	Next    Term `cbor:"1,keyasint"`
	Granted bool `cbor:"2,keyasint"`
	// UpToDate is true if the candidate's log contains all that the sender's does.
	UpToDate bool `cbor:"3,keyasint,omitempty"`
	// NeverLeads is true if the sender does not lead in the message's term and never will: a host becomes a candidate only by
	// entering a term.
	NeverLeads bool `cbor:"4,keyasint,omitempty"`
}

// Vote requests a vote in the message's term.
type Vote struct {
	LastIndex Index `cbor:"1,keyasint"`
	LastTerm  Term  `cbor:"2,keyasint"`
	// Transfer is true if the leader of the term before gave up its lease and asked for this
	// candidacy.
	Transfer bool `cbor:"3,keyasint,omitempty"`
	// Leaderless is true if no host leads in the term before, and none ever will.
	Leaderless bool `cbor:"4,keyasint,omitempty"`
}

// VoteReply answers Vote.
type VoteReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// Append contains the entries after PrevIndex.
type Append struct {
	PrevIndex Index   `cbor:"1,keyasint"`
	PrevTerm  Term    `cbor:"2,keyasint"`
	Commit    Index   `cbor:"3,keyasint"`
	Entries   []Entry `cbor:"4,keyasint"`
	// Sent is the leader's stamp of the message. The reply repeats it.
	Sent LeaderTime `cbor:"5,keyasint"`
}

// AppendReply answers Append, the SnapshotChunk that completes a snapshot or is not needed, and any
// message of a leader whose term is over.
type AppendReply struct {
	// Match is the highest index up to which the log is known to equal the leader's. It is 0 if
	// Rejected is set.
	Match Index `cbor:"1,keyasint"`
	// Rejected is true if the log has no entry with PrevIndex and PrevTerm, or the message was of
	// an earlier term. Hint is the index at which the leader should look for a common entry next.
	Rejected bool       `cbor:"2,keyasint,omitempty"`
	Hint     Index      `cbor:"3,keyasint,omitempty"`
	Sent     LeaderTime `cbor:"4,keyasint"`
}

// Heartbeat announces the leader and the commit index.
type Heartbeat struct {
	Commit Index      `cbor:"1,keyasint"`
	Sent   LeaderTime `cbor:"2,keyasint"`
}

// HeartbeatReply answers Heartbeat.
type HeartbeatReply struct {
	Sent LeaderTime `cbor:"1,keyasint"`
}

// SnapshotChunk is the part of a snapshot's data that starts at Offset.
type SnapshotChunk struct {
	// Snapshot has the snapshot's Index, Term and Membership, but no Data.
	Snapshot Snapshot   `cbor:"1,keyasint"`
	Offset   uint64     `cbor:"2,keyasint"`
	Total    uint64     `cbor:"3,keyasint"`
	Data     []byte     `cbor:"4,keyasint"`
	Sent     LeaderTime `cbor:"5,keyasint"`
}

// SnapshotChunkReply asks for the data from offset Next on of the snapshot at Index.
type SnapshotChunkReply struct {
	Index Index      `cbor:"1,keyasint"`
	Next  uint64     `cbor:"2,keyasint"`
	Sent  LeaderTime `cbor:"3,keyasint"`
}

// TimeoutNow asks the receiver to start an election at once (Ongaro 2014, section 3.10).
type TimeoutNow struct{}

// Join is sent to all peers, once every heartbeat interval, by a host that is not admitted.
type Join struct {
	// Fresh is true if the disk holds no entry.
	Fresh bool `cbor:"1,keyasint"`
	// Challenge is the sender's challenge. Echo is the latest one that it received from the
	// receiver of this message.
	Challenge Generation `cbor:"2,keyasint"`
	Echo      Generation `cbor:"3,keyasint"`
}

// Promise is a fresh host's durable promise to follow the disk BootstrapDisk of the bootstrap
// host and no other.
type Promise struct {
	BootstrapDisk Generation `cbor:"1,keyasint"`
}

// Admit contains the initial membership. It is sent to a host whose disk is listed in it.
type Admit struct {
	BootstrapDisk Generation             `cbor:"1,keyasint"`
	Initial       map[host.ID]Generation `cbor:"2,keyasint"`
	// Echo is the receiver's challenge. It shows that the sender held the initial membership
	// after the receiver's last promise.
	Echo Generation `cbor:"3,keyasint"`
}

// LeaderTime orders the messages of a leader: the time on its own clock, in microseconds since its Node was created, plus
// the number of its rounds of heartbeats until then. Replies repeat it, and only the leader interprets it.
type LeaderTime int64

func (PreVote) body() {}

func (PreVoteReply) body() {}

func (Vote) body() {}

func (VoteReply) body() {}

func (Append) body() {}

func (AppendReply) body() {}

func (Heartbeat) body() {}

func (HeartbeatReply) body() {}

func (SnapshotChunk) body() {}

func (SnapshotChunkReply) body() {}

func (TimeoutNow) body() {}

func (Join) body() {}

func (Promise) body() {}

func (Admit) body() {}

// wireMessage is the encoded form of a Message. It contains neither From nor To: the sender is
// known from its certificate, and the receiver is the host that reads the message.
type wireMessage struct {
	Generation         Generation          `cbor:"1,keyasint"`
	ToGeneration       Generation          `cbor:"2,keyasint,omitempty"`
	Term               Term                `cbor:"3,keyasint"`
	Admitted           bool                `cbor:"4,keyasint,omitempty"`
	PreVote            *PreVote            `cbor:"5,keyasint,omitempty"`
	PreVoteReply       *PreVoteReply       `cbor:"6,keyasint,omitempty"`
	Vote               *Vote               `cbor:"7,keyasint,omitempty"`
	VoteReply          *VoteReply          `cbor:"8,keyasint,omitempty"`
	Append             *Append             `cbor:"9,keyasint,omitempty"`
	AppendReply        *AppendReply        `cbor:"10,keyasint,omitempty"`
	Heartbeat          *Heartbeat          `cbor:"11,keyasint,omitempty"`
	HeartbeatReply     *HeartbeatReply     `cbor:"12,keyasint,omitempty"`
	SnapshotChunk      *SnapshotChunk      `cbor:"13,keyasint,omitempty"`
	SnapshotChunkReply *SnapshotChunkReply `cbor:"14,keyasint,omitempty"`
	TimeoutNow         *TimeoutNow         `cbor:"15,keyasint,omitempty"`
	Join               *Join               `cbor:"16,keyasint,omitempty"`
	Promise            *Promise            `cbor:"17,keyasint,omitempty"`
	Admit              *Admit              `cbor:"18,keyasint,omitempty"`
}

// Encode returns m in CBOR, without From and To.
func (m Message) Encode() ([]byte, error) {
	w := wireMessage{Generation: m.Generation, ToGeneration: m.ToGeneration, Term: m.Term, Admitted: m.Admitted}
	switch b := m.Body.(type) {
	case PreVote:
		w.PreVote = &b
	case PreVoteReply:
		w.PreVoteReply = &b
	case Vote:
		w.Vote = &b
	case VoteReply:
		w.VoteReply = &b
	case Append:
		w.Append = &b
	case AppendReply:
		w.AppendReply = &b
	case Heartbeat:
		w.Heartbeat = &b
	case HeartbeatReply:
		w.HeartbeatReply = &b
	case SnapshotChunk:
		w.SnapshotChunk = &b
	case SnapshotChunkReply:
		w.SnapshotChunkReply = &b
	case TimeoutNow:
		w.TimeoutNow = &b
	case Join:
		w.Join = &b
	case Promise:
		w.Promise = &b
	case Admit:
		w.Admit = &b
	}
	raw, err := cbor.Marshal(w)
	return raw, errors.Wrap(err, "encode quorum message")
}

// Decode decodes a message that from has sent to to.
func Decode(raw []byte, from, to host.ID) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(raw, &w); err != nil {
		return Message{}, errors.Wrap(err, "decode quorum message")
	}
	body := w.body()
	if body == nil {
		return Message{}, errors.New("decode quorum message: unknown body")
	}
	return Message{
		From: from, To: to, Generation: w.Generation, ToGeneration: w.ToGeneration,
		Term: w.Term, Admitted: w.Admitted, Body: body,
	}, nil
}

func (w wireMessage) body() Body {
	switch {
	case w.PreVote != nil:
		return *w.PreVote
	case w.PreVoteReply != nil:
		return *w.PreVoteReply
	case w.Vote != nil:
		return *w.Vote
	case w.VoteReply != nil:
		return *w.VoteReply
	case w.Append != nil:
		return *w.Append
	case w.AppendReply != nil:
		return *w.AppendReply
	case w.Heartbeat != nil:
		return *w.Heartbeat
	case w.HeartbeatReply != nil:
		return *w.HeartbeatReply
	case w.SnapshotChunk != nil:
		return *w.SnapshotChunk
	case w.SnapshotChunkReply != nil:
		return *w.SnapshotChunkReply
	case w.TimeoutNow != nil:
		return *w.TimeoutNow
	case w.Join != nil:
		return *w.Join
	case w.Promise != nil:
		return *w.Promise
	case w.Admit != nil:
		return *w.Admit
	default:
		return nil
	}
}
