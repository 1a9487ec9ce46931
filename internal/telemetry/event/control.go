package event

import "github.com/phuslu/log"

// Events of the control daemon.
var (
	LeaderStarted    = register(120, "leader_started", log.InfoLevel)
	LeaderEnded      = register(121, "leader_ended", log.WarnLevel)
	DaemonAnnounced  = register(122, "daemon_announced", log.InfoLevel)
	DaemonLeft       = register(123, "daemon_left", log.InfoLevel)
	HostLost         = register(124, "host_lost", log.WarnLevel)
	OrderNotDone     = register(125, "order_not_done", log.WarnLevel)
	ProposalFailed   = register(126, "proposal_failed", log.WarnLevel)
	PlacementDecided = register(127, "placement_decided", log.InfoLevel)
	// GrantUnsure is logged by a leader that can't confirm the lease of a daemon.
	GrantUnsure = register(128, "grant_unsure", log.WarnLevel)
	// EvacuationAnswered is logged by the leader for each call that begins or withdraws an evacuation.
	EvacuationAnswered = register(129, "evacuation_answered", log.InfoLevel)
)

// Events of the portal, which is the control daemon on platforms whose endpoints announce themselves.
var (
	FoundersKnown     = register(130, "founders_known", log.InfoLevel)
	EndpointAnnounced = register(131, "endpoint_announced", log.InfoLevel)
	EndpointLost      = register(132, "endpoint_lost", log.WarnLevel)
	EndpointFound     = register(133, "endpoint_found", log.InfoLevel)
	ReplicaDecided    = register(134, "replica_decided", log.InfoLevel)
	EngineOrdered     = register(135, "engine_ordered", log.InfoLevel)
	RevisionTaken     = register(136, "revision_taken", log.InfoLevel)
	RevisionRefused   = register(137, "revision_refused", log.WarnLevel)
	RevisionUnsure    = register(138, "revision_unsure", log.WarnLevel)
	SubscriberJoined  = register(139, "subscriber_joined", log.InfoLevel)
	SubscriberLeft    = register(140, "subscriber_left", log.InfoLevel)
	LogRestarted      = register(141, "log_restarted", log.ErrorLevel)
	AnnouncementBad   = register(142, "announcement_bad", log.WarnLevel)
	SeatTaken         = register(143, "seat_taken", log.WarnLevel)
	SeatMoved         = register(144, "seat_moved", log.WarnLevel)
	RequestHeldBack   = register(145, "request_held_back", log.WarnLevel)
	// RevisionRedirected is logged in place of RevisionUnsure where another leader is known.
	RevisionRedirected = register(146, "revision_redirected", log.InfoLevel)
	RevisionRead       = register(147, "revision_read", log.InfoLevel)
	CrashCounted       = register(148, "crash_counted", log.WarnLevel)
	HoldTrial          = register(149, "hold_trial", log.InfoLevel)
	HoldEnded          = register(150, "hold_ended", log.InfoLevel)
	HoldUnsure         = register(151, "hold_unsure", log.WarnLevel)
	LimitChanged       = register(152, "limit_changed", log.InfoLevel)
	// QuestionsUnanswered is logged by a leader that can't confirm the configuration for gateways.
	QuestionsUnanswered = register(153, "questions_unanswered", log.WarnLevel)
	BlameWeighed        = register(154, "blame_weighed", log.InfoLevel)
	CrashesCleared      = register(155, "crashes_cleared", log.InfoLevel)
	EndpointSkipped     = register(156, "endpoint_skipped", log.WarnLevel)
	SeatLost            = register(157, "seat_lost", log.WarnLevel)
	DeparturesKept      = register(158, "departures_kept", log.InfoLevel)
	DeparturesUnsure    = register(159, "departures_unsure", log.WarnLevel)
	// EvacuationBegun says that the evacuation of a failure domain was acknowledged, and EvacuationWithdrawn that its end was.
	EvacuationBegun     = register(170, "evacuation_begun", log.WarnLevel)
	EvacuationWithdrawn = register(171, "evacuation_withdrawn", log.WarnLevel)
	// EvacuationsInForce says that the set of evacuated failure domains changed at a control host.
	EvacuationsInForce = register(172, "evacuations_in_force", log.InfoLevel)
	EndpointCold       = register(168, "endpoint_cold", log.InfoLevel)
	// SeatLearned says that a control host has learned of a newer address of a voter.
	SeatLearned = register(173, "seat_learned", log.InfoLevel)
	// EndpointUnlisted says that an endpoint of a service that the configuration doesn't list has announced itself.
	EndpointUnlisted = register(174, "endpoint_unlisted", log.InfoLevel)
)
