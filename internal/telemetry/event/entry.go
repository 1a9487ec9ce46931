package event

import "github.com/phuslu/log"

// Events of the entry.
var (
	RequestRetried = register(320, "request_retried", log.InfoLevel)
	RequestGivenUp = register(321, "request_given_up", log.WarnLevel)
	// EvacuationLearned is logged by an entry that learns a newer set of evacuated failure domains.
	EvacuationLearned = register(322, "evacuation_learned", log.InfoLevel)
)
