package event

import "github.com/phuslu/log"

// Events of the control daemon.
var (
	LeaderStarted   = register(120, "leader_started", log.InfoLevel)
	LeaderEnded     = register(121, "leader_ended", log.WarnLevel)
	DaemonAnnounced = register(122, "daemon_announced", log.InfoLevel)
	DaemonLeft      = register(123, "daemon_left", log.InfoLevel)
	HostLost        = register(124, "host_lost", log.WarnLevel)
	OrderNotDone    = register(125, "order_not_done", log.WarnLevel)
	ProposalFailed  = register(126, "proposal_failed", log.WarnLevel)
	PlacementAction = register(127, "placement_decided", log.InfoLevel)
)
