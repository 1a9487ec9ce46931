package event

import "github.com/phuslu/log"

// Events of the control daemon.
var (
	LeaderStarted   = register(100, "leader_started", log.InfoLevel)
	LeaderEnded     = register(101, "leader_ended", log.WarnLevel)
	DaemonAnnounced = register(102, "daemon_announced", log.InfoLevel)
	DaemonLeft      = register(103, "daemon_left", log.InfoLevel)
	HostLost        = register(104, "host_lost", log.WarnLevel)
	OrderNotDone    = register(105, "order_not_done", log.WarnLevel)
	ProposalFailed  = register(106, "proposal_failed", log.WarnLevel)
	PlacementAction = register(107, "placement_decided", log.InfoLevel)
)
