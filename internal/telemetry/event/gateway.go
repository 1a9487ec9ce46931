package event

import "github.com/phuslu/log"

// Events of the gateway, which is the entry on platforms whose endpoints announce themselves.
var (
	RequestAnswered = register(300, "request_answered", log.InfoLevel)
	RequestRefused  = register(301, "request_refused", log.WarnLevel)
	RequestFailed   = register(302, "request_failed", log.WarnLevel)
	RequestLeft     = register(303, "request_left", log.InfoLevel)
	AttemptFailed   = register(304, "attempt_failed", log.WarnLevel)
	StreamResumed   = register(305, "stream_resumed", log.InfoLevel)
	ControlFollowed = register(306, "control_followed", log.InfoLevel)
	ControlLost     = register(307, "control_lost", log.WarnLevel)
	StandbyStarted  = register(308, "standby_started", log.InfoLevel)
	StandbyEnded    = register(309, "standby_ended", log.InfoLevel)

	EndpointMarked   = register(310, "endpoint_marked", log.InfoLevel)
	EndpointUnmarked = register(311, "endpoint_unmarked", log.InfoLevel)
	NoticeOdd        = register(312, "notice_odd", log.WarnLevel)
	CrashSeen        = register(313, "crash_seen", log.WarnLevel)
	LimitHeard       = register(314, "limit_heard", log.InfoLevel)
	SuspectCompleted = register(315, "suspect_completed", log.InfoLevel)
	UpdateSkipped    = register(316, "update_skipped", log.WarnLevel)
	// DomainStopped says that a gateway stopped sending to a failure domain, and DomainResumed that it sends to it again.
	DomainStopped = register(330, "domain_stopped", log.WarnLevel)
	DomainResumed = register(331, "domain_resumed", log.WarnLevel)
	// AttemptWithheld says that a placed request was not sent.
	AttemptWithheld = register(332, "attempt_withheld", log.InfoLevel)
	// HedgeRefused says that a request was slow and was not sent to a second endpoint.
	HedgeRefused      = register(333, "hedge_refused", log.InfoLevel)
	ExplanationFailed = register(334, "explanation_failed", log.ErrorLevel)
	// ReportTooLarge says that a report was sent without the parts that vary in size, ReportFailed that one could not be sent.
	ReportTooLarge = register(335, "report_too_large", log.ErrorLevel)
	ReportFailed   = register(336, "report_failed", log.InfoLevel)
	ColdHeard      = register(318, "cold_heard", log.InfoLevel)
)
