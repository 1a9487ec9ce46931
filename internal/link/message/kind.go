package message

// Kinds of the messages of a daemon's session with control, and of heartbeats between
// the members of a replica. They start at 1, claims at 20, dispatches at 40, operator
// calls at 60, messages of the replicated log at 80 and portal messages at 100.
const (
	kindAnnounce Kind = iota + 1
	kindWelcome
	kindNotLeader
	kindRenew
	kindGrant
	kindConfigPush
	kindViewPush
	kindOrder
	kindOrderDone
	kindGoodbye
	kindBeat
	kindBeatAck
)

const (
	kindClaim Kind = iota + 20
	kindClaimResult
	kindSettle
	kindSettleResult
	kindCrashReport
	kindAck
	kindFailure
	kindSuspectsCleared
)

const (
	kindDispatch Kind = iota + 40
	kindAccepted
	kindRefused
	kindHead
	kindChunk
	kindEnd
	kindCancel
	kindAsk
	kindAskResult
)

const (
	kindApplyConfig Kind = iota + 60
	kindApplyResult
	kindConfigQuery
	kindConfigResult
	kindStatusQuery
	kindStatusResult
	kindDrain
	kindQuarantineQuery
	kindQuarantineResult
	kindQuarantineClear
	kindRequestQuery
	kindRequestResult
	kindEvacuate
)

const kindQuorum Kind = 80

// Kinds of the messages between portals, and between a portal and its gateways.
const (
	kindRosterUpdate Kind = iota + 100
	kindSubscribe
	kindPicture
	kindGatewayReport
	kindFounderQuery
	kindFounders
	kindVersionQuery
	kindVersionAnswer
	kindDepart
	kindDepartAnswer
)

// newMessage returns an empty message of kind k, or nil if k is unknown.
func newMessage(k Kind) Message {
	if make, ok := constructors[k]; ok {
		return make()
	}
	return nil
}

var constructors = map[Kind]func() Message{
	kindAnnounce:         func() Message { return &Announce{} },
	kindWelcome:          func() Message { return &Welcome{} },
	kindNotLeader:        func() Message { return &NotLeader{} },
	kindRenew:            func() Message { return &Renew{} },
	kindGrant:            func() Message { return &Grant{} },
	kindConfigPush:       func() Message { return &ConfigPush{} },
	kindViewPush:         func() Message { return &ViewPush{} },
	kindOrder:            func() Message { return &Order{} },
	kindOrderDone:        func() Message { return &OrderDone{} },
	kindGoodbye:          func() Message { return &Goodbye{} },
	kindBeat:             func() Message { return &Beat{} },
	kindBeatAck:          func() Message { return &BeatAck{} },
	kindClaim:            func() Message { return &Claim{} },
	kindClaimResult:      func() Message { return &ClaimResult{} },
	kindSettle:           func() Message { return &Settle{} },
	kindSettleResult:     func() Message { return &SettleResult{} },
	kindCrashReport:      func() Message { return &CrashReport{} },
	kindAck:              func() Message { return &Ack{} },
	kindFailure:          func() Message { return &Failure{} },
	kindSuspectsCleared:  func() Message { return &SuspectsCleared{} },
	kindDispatch:         func() Message { return &Dispatch{} },
	kindAccepted:         func() Message { return &Accepted{} },
	kindRefused:          func() Message { return &Refused{} },
	kindHead:             func() Message { return &Head{} },
	kindChunk:            func() Message { return &Chunk{} },
	kindEnd:              func() Message { return &End{} },
	kindCancel:           func() Message { return &Cancel{} },
	kindAsk:              func() Message { return &Ask{} },
	kindAskResult:        func() Message { return &AskResult{} },
	kindApplyConfig:      func() Message { return &ApplyConfig{} },
	kindApplyResult:      func() Message { return &ApplyResult{} },
	kindConfigQuery:      func() Message { return &ConfigQuery{} },
	kindConfigResult:     func() Message { return &ConfigResult{} },
	kindStatusQuery:      func() Message { return &StatusQuery{} },
	kindStatusResult:     func() Message { return &StatusResult{} },
	kindDrain:            func() Message { return &Drain{} },
	kindQuarantineQuery:  func() Message { return &QuarantineQuery{} },
	kindQuarantineResult: func() Message { return &QuarantineResult{} },
	kindQuarantineClear:  func() Message { return &QuarantineClear{} },
	kindRequestQuery:     func() Message { return &RequestQuery{} },
	kindRequestResult:    func() Message { return &RequestResult{} },
	kindEvacuate:         func() Message { return &Evacuate{} },
	kindQuorum:           func() Message { return &Quorum{} },
	kindRosterUpdate:     func() Message { return &RosterUpdate{} },
	kindSubscribe:        func() Message { return &Subscribe{} },
	kindPicture:          func() Message { return &Picture{} },
	kindGatewayReport:    func() Message { return &GatewayReport{} },
	kindFounderQuery:     func() Message { return &FounderQuery{} },
	kindFounders:         func() Message { return &Founders{} },
	kindVersionQuery:     func() Message { return &VersionQuery{} },
	kindVersionAnswer:    func() Message { return &VersionAnswer{} },
	kindDepart:           func() Message { return &Depart{} },
	kindDepartAnswer:     func() Message { return &DepartAnswer{} },
}
