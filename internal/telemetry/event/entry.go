package event

import "github.com/phuslu/log"

// Events of the entry.
var (
	RequestRetried = register(320, "request_retried", log.InfoLevel)
	RequestGivenUp = register(321, "request_given_up", log.WarnLevel)
)
