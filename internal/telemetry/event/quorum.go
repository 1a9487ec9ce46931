package event

import "github.com/phuslu/log"

// Events of the replicated log.
var (
	QuorumRole          = register(100, "quorum_role", log.InfoLevel)
	QuorumAdmitted      = register(101, "quorum_admitted", log.WarnLevel)
	QuorumExpelled      = register(102, "quorum_expelled", log.ErrorLevel)
	QuorumRestored      = register(103, "quorum_restored", log.InfoLevel)
	JournalOpened       = register(104, "journal_opened", log.InfoLevel)
	JournalTorn         = register(105, "journal_torn", log.WarnLevel)
	JournalFailed       = register(106, "journal_failed", log.ErrorLevel)
	SnapshotFailed      = register(107, "snapshot_failed", log.ErrorLevel)
	QuorumPeerConnected = register(108, "quorum_peer_connected", log.InfoLevel)
	QuorumWaiting       = register(109, "quorum_waiting", log.WarnLevel)
	QuorumHostsDiffer   = register(110, "quorum_hosts_differ", log.ErrorLevel)
	QuorumLearnerAdded  = register(111, "quorum_learner_added", log.InfoLevel)
	QuorumLearnerNamed  = register(112, "quorum_learner_named", log.WarnLevel)
)
